package routes

// Diff returns the ops of minimal cost that lead from one table to another, ignoring the order of
// destinations. It returns none if the tables are equal. Both tables must have unique rule names, and unique
// matches within a rule. Diff takes O(n log n) time in the number of rules.
//
// Proof that the cost is minimal: Consider a rule that is in both tables, takes e edits (match, set, unset)
// and has d destinations in the target. Ops that drop it must add it again, which costs at least 2+d,
// wherever the rule is then placed. Ops that keep it pay for the e edits, since no op makes two edits, and 1
// more if they move it. The rules that are neither dropped nor moved keep their order, so they form a
// subsequence of both tables. A rule therefore costs e inside this subsequence and min(e+1, d+2) outside it:
// being inside saves 1 if e <= d+1, and nothing otherwise. So the savings are largest for the longest common
// subsequence of the rules with e <= d+1, which is the longest increasing subsequence of their indexes in the
// target. Those rules that are outside it are moved, and the rules with e > d+1 are dropped and added again.
// Rules that are in only one of the tables cost 1 to drop, or 1+d to add.
func Diff(from, to Table) []Op {
	changes := newDiff(from, to)
	stays := make([]bool, len(to))
	for _, i := range longestIncreasing(changes.common) {
		stays[i] = true
	}
	// Each rule that does not stay is inserted right after its predecessor in the target. The rules placed so
	// far are then in order, and all later rules that stay are behind them. Any other rules in between have yet
	// to be moved.
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

// diff describes the changes to each rule of two tables, apart from its position.
type diff struct {
	drops  []Op   // drops of rules that are not in the target, or that are cheaper to drop and add again
	inBoth []bool // by index in the target: the rule is in both tables and is kept
	edits  [][]Op // by index in the target: edits of the kept rules
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

// edit returns the ops that change a rule into another one of the same name.
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
