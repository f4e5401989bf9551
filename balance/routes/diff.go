package routes

// Diff is the ops of least cost that lead from one table to another, the order of destinations aside; none:
// they are the same. Both have unique names, and unique matches in a rule. It takes O(n log n) in rules.
//
// Why it is least. Say a rule in both tables takes e edits (match, set, unset) and has d destinations in the
// target. Ops that drop it must add it again: 2+d at least, wherever it then stands. Others pay the e edits,
// as no op edits two things, and 1 more if they move it. Rules that are neither dropped nor moved keep their
// order: they are a subsequence of both tables. So a rule costs e in it, and min(e+1, d+2) outside: being in
// it saves 1 if e <= d+1, and nothing otherwise. Most is saved by the longest common subsequence of the rules
// with e <= d+1: the longest increasing one of their places in the target. Those outside it are moved, and
// the rest dropped and added again. Rules of one table alone cost 1 to drop, or 1+d to add.
func Diff(from, to Table) []Op {
	place := make(map[string]int, len(to))
	for i, r := range to {
		place[r.Name] = i
	}
	var ops []Op
	edits, kept := make([][]Op, len(to)), make([]bool, len(to)) // by place in the target
	var places []int                                            // there, of those kept, in their old order
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
	for _, i := range longestIncreasing(places) {
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
	if !from.Source.equal(to.Source) || !from.Service.equal(to.Service) {
		ops = append(ops, Op{Kind: Rematch, Name: to.Name, Source: to.Source, Service: to.Service})
	}
	stay := 0
	for i, d := range to.Destinations {
		at := destinationIndex(from.Destinations, d.Match, i)
		if at >= 0 {
			stay++
		}
		if at < 0 || from.Destinations[at].Weight != d.Weight || from.Destinations[at].PerSize != d.PerSize {
			ops = append(ops, Op{Kind: Set, Name: to.Name, Match: d.Match, Weight: d.Weight, PerSize: d.PerSize})
		}
	}
	for i, d := range from.Destinations {
		if stay < len(from.Destinations) && destinationIndex(to.Destinations, d.Match, i) < 0 {
			ops = append(ops, Op{Kind: Unset, Name: to.Name, Match: d.Match})
		}
	}
	return ops
}
