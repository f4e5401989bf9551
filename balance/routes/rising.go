package routes

import (
	"slices"
	"sort"
)

// longestIncreasing is a longest increasing subsequence of different numbers, by patience sorting (Fredman, "On
// computing the length of longest increasing subsequences", 1975).
func longestIncreasing(numbers []int) []int {
	var tops []int // by length: the index of the least number that a rising sequence ends in
	before := make([]int, len(numbers))
	for i, n := range numbers {
		pile := sort.Search(len(tops), func(p int) bool { return numbers[tops[p]] >= n })
		if before[i] = -1; pile > 0 {
			before[i] = tops[pile-1]
		}
		if pile == len(tops) {
			tops = append(tops, i)
		}
		tops[pile] = i
	}
	if len(tops) == 0 {
		return nil
	}
	best := make([]int, 0, len(tops))
	for i := tops[len(tops)-1]; i >= 0; i = before[i] {
		best = append(best, numbers[i])
	}
	slices.Reverse(best)
	return best
}
