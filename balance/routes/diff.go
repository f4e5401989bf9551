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
	changes := newDiff(from, to)
	stays := make([]bool, len(to))
	for _, i := range longestIncreasing(changes.common) {
		stays[i] = true
	}
	// Each rule that does not stay is put right behind its predecessor in the target. Those placed so far are
	// then in order, and all that stay and come later are behind them; what else stands between is yet to move.
	ops, after := changes.drops, ""
	for i, rule := range to {
		switch {
		case !changes.inBoth[i]:
			ops = append(ops, Op{Kind: Add, Name: rule.Name, After: after, Rule: rule})
		case !stays[i]:
			ops = append(ops, Op{Kind: Move, Name: rule.Name, After: after})
		}
		ops = append(ops, changes.edits[i]...)
		after = rule.Name
	}
	return ops
}

// diff says what happens to each rule of two tables, apart from its place.
type diff struct {
	drops  []Op   // of rules that go, or that cost less to add anew
	inBoth []bool // by index in the target: the rule is not dropped
	edits  [][]Op // by index in the target, of kept rules
	common []int  // indexes in the target of the kept rules, in their old order
}

func newDiff(from, to Table) diff {
	index := make(map[string]int, len(to))
	for i, rule := range to {
		index[rule.Name] = i
	}
	changes := diff{inBoth: make([]bool, len(to)), edits: make([][]Op, len(to))}
	for _, rule := range from {
		i, inBoth := index[rule.Name]
		if inBoth {
			if ops := edit(rule, to[i]); len(ops) <= len(to[i].Destinations)+1 {
				changes.edits[i] = ops
				changes.inBoth[i] = true
				changes.common = append(changes.common, i)
				continue
			}
		}
		changes.drops = append(changes.drops, Op{Kind: Drop, Name: rule.Name})
	}
	return changes
}

// edit is what makes a rule like another of its name.
func edit(from, to Rule) (ops []Op) {
	if !from.Source.equal(to.Source) || !from.Service.equal(to.Service) {
		ops = append(ops, Op{Kind: Rematch, Name: to.Name, Source: to.Source, Service: to.Service})
	}
	inBoth := 0
	for i, destination := range to.Destinations {
		at := destinationIndex(from.Destinations, destination.Match, i)
		if at >= 0 {
			inBoth++
		}
		if at < 0 || !from.Destinations[at].sameWeight(destination) {
			ops = append(ops, Op{
				Kind:    Set,
				Name:    to.Name,
				Match:   destination.Match,
				Weight:  destination.Weight,
				PerSize: destination.PerSize,
			})
		}
	}
	if inBoth >= len(from.Destinations) {
		return ops
	}
	for i, destination := range from.Destinations {
		if destinationIndex(to.Destinations, destination.Match, i) < 0 {
			ops = append(ops, Op{Kind: Unset, Name: to.Name, Match: destination.Match})
		}
	}
	return ops
}

func (d Destination) sameWeight(other Destination) bool {
	return d.Weight == other.Weight && d.PerSize == other.PerSize
}
