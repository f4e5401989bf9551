package routes

import (
	"maps"
	"slices"
	"sort"
)

// Diff is the ops of least cost that lead from one table to another, the order of destinations aside; none:
// they are the same. Both have unique names, and unique matches in a rule. It takes O(n log n) in rules.
//
// Why it is least. Let a rule in both tables take e edits (match, set, unset) and have d destinations in
// the target. Every list of ops either drops it once at least, which with adding it again costs 2+d or
// more, wherever it then stands; or does not, and then pays its e edits, for no op edits two things, and 1
// more if it ever moves it. Rules that are neither dropped nor moved keep their order among themselves, so
// they are a subsequence of both tables. Thus the cost of a rule outside that subsequence is min(e+1, d+2)
// at the least, and in it e: being in it gains 1 if e <= d+1, and nothing otherwise. So the most is gained
// by the longest common subsequence of the rules with e <= d+1, which is the longest increasing one of
// their places in the target; of them those outside it are moved, and all others dropped and added again.
// The rules of one table alone cost 1 to drop, or 1+d to add, and no op does two of these.
func Diff(from, to Table) []Op {
	place := make(map[string]int, len(to))
	for i, r := range to {
		place[r.Name] = i
	}
	var ops []Op
	edits, kept := make([][]Op, len(to)), make([]bool, len(to)) // by place in the target
	// Places in it of the rules that are kept, in their old order.
	var places []int
	for _, r := range from {
		i, both := place[r.Name]
		if both {
			if e := edit(r, to[i]); len(e) <= len(to[i].Destinations)+1 {
				edits[i], kept[i], places = e, true, append(places, i)
				continue
			}
		}
		ops = append(ops, Op{Kind: Drop, Name: r.Name})
	}
	stays := make([]bool, len(to))
	for _, i := range rising(places) {
		stays[i] = true
	}
	// Each rule that does not stay is put right behind its predecessor in the target. Those placed so far are
	// then in order, and all that stay and come later are behind them; what else stands between is yet to move.
	after := ""
	for i, r := range to {
		switch {
		case !kept[i]:
			ops = append(ops, Op{Kind: Add, Name: r.Name, After: after, Rule: r})
		case !stays[i]:
			ops = append(ops, Op{Kind: Move, Name: r.Name, After: after})
		}
		ops, after = append(ops, edits[i]...), r.Name
	}
	return ops
}

// edit is what makes a rule like another of its name.
func edit(from, to Rule) (ops []Op) {
	if !maps.Equal(from.Source, to.Source) || !maps.Equal(from.Service, to.Service) {
		ops = append(ops, Op{Kind: Rematch, Name: to.Name, Source: to.Source, Service: to.Service})
	}
	stay := 0
	for i, d := range to.Destinations {
		at := find(from.Destinations, d.Match, i)
		if at >= 0 {
			stay++
		}
		if at < 0 || from.Destinations[at].Weight != d.Weight || from.Destinations[at].PerSize != d.PerSize {
			ops = append(ops, Op{Kind: Set, Name: to.Name, Match: d.Match, Weight: d.Weight, PerSize: d.PerSize})
		}
	}
	for i, d := range from.Destinations {
		if stay < len(from.Destinations) && find(to.Destinations, d.Match, i) < 0 {
			ops = append(ops, Op{Kind: Unset, Name: to.Name, Match: d.Match})
		}
	}
	return ops
}

// find is where the destination of a match stands, likely at a place; below 0: nowhere.
func find(all []Destination, m Match, likely int) int {
	if likely < len(all) && maps.Equal(all[likely].Match, m) {
		return likely
	}
	return slices.IndexFunc(all, func(d Destination) bool { return maps.Equal(d.Match, m) })
}

// rising is a longest increasing subsequence of different numbers, by patience sorting (Fredman, "On
// computing the length of longest increasing subsequences", 1975).
func rising(numbers []int) []int {
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
