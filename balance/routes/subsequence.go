package routes

import (
	"slices"
	"sort"
)

// longestIncreasing returns a longest increasing subsequence of distinct numbers, by patience sorting (Fredman, "On computing
// the length of longest increasing subsequences", 1975).
func longestIncreasing(numbers []int) []int {
	var tops []int // by length-1: the index of the smallest number that ends an increasing subsequence of that length
	previous := make([]int, len(numbers))
	for i, number := range numbers {
		pile := sort.Search(len(tops), func(p int) bool { return numbers[tops[p]] >= number })
		previous[i] = -1
		if pile > 0 {
			previous[i] = tops[pile-1]
		}
		if pile == len(tops) {
			tops = append(tops, i)
		}
		tops[pile] = i
	}
	if len(tops) == 0 {
		return nil
	}
	longest := make([]int, 0, len(tops))
	for i := tops[len(tops)-1]; i >= 0; i = previous[i] {
		longest = append(longest, numbers[i])
	}
	slices.Reverse(longest)
	return longest
}
