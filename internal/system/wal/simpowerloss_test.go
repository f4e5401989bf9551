package wal_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
)

// afterKill returns the disk as the successor of a killed process finds it: nothing is lost, and unsynced data stays unsynced.
func (s *simFS) afterKill() *simFS {
	clones := map[*inode]*inode{}
	clone := func(node *inode) *inode {
		if clones[node] == nil {
			clones[node] = &inode{content: node.content, durable: node.durable, pending: slices.Clone(node.pending), failed: node.failed}
		}
		return clones[node]
	}
	left := newSimFS()
	left.folder, left.knobs, left.ignored = s.folder, s.knobs, s.ignored
	for name, node := range s.visible {
		left.visible[name] = clone(node)
	}
	for name, node := range s.durable {
		left.durable[name] = clone(node)
	}
	for _, op := range s.pending {
		left.pending = append(left.pending, dirOp{op.from, op.to, clone(op.node)})
	}
	return left
}

// visitPowerLosses calls visit with the possible states of the disk after a power loss. If there are at most bound cases, it visits
// all of them; otherwise it visits bound cases: first the one where everything unsynced is lost, then the one where all of it
// survives, then randomly drawn ones.
func (s *simFS) visitPowerLosses(bound int, r *rand.Rand, visit func(*simFS)) {
	if s.folder == folderCreated {
		none := newSimFS()
		none.knobs, none.ignored = s.knobs, s.ignored
		visit(none)
	}
	unsynced := s.unsyncedFiles()
	sizes := s.choiceSizes(unsynced)
	choice := make([]int, len(sizes))
	total := countCases(sizes, bound)
	if total <= bound {
		for range total {
			visit(s.afterPowerLoss(choice, unsynced))
			nextCase(choice, sizes)
		}
		return
	}
	for k := range bound {
		drawCase(choice, sizes, k, r)
		visit(s.afterPowerLoss(choice, unsynced))
	}
}

// unsyncedFiles returns the files that a power loss may affect, in the order of their contents.
func (s *simFS) unsyncedFiles() []*inode {
	nodes := map[*inode]bool{}
	for _, node := range s.durable {
		nodes[node] = true
	}
	for _, op := range s.pending {
		nodes[op.node] = true
	}
	var unsynced []*inode
	for node := range nodes {
		if len(node.pending) > 0 {
			unsynced = append(unsynced, node)
		}
	}
	sort.Slice(unsynced, func(i, j int) bool { return string(unsynced[i].content) < string(unsynced[j].content) })
	return unsynced
}

// choiceSizes returns the number of outcomes of each unsynced operation: first those on names, then those on files.
func (s *simFS) choiceSizes(unsynced []*inode) []int {
	var sizes []int
	for range s.pending {
		sizes = append(sizes, 2)
	}
	for _, node := range unsynced {
		for _, op := range node.pending {
			sizes = append(sizes, len(op.outcomes()))
		}
	}
	return sizes
}

// countCases returns the product of the sizes, or bound+1 if the product exceeds bound.
func countCases(sizes []int, bound int) int {
	total := 1
	for _, size := range sizes {
		if total *= size; total > bound {
			return bound + 1
		}
	}
	return total
}

// nextCase increments choice as a mixed-radix number with the radices sizes.
func nextCase(choice, sizes []int) {
	for i := range choice {
		if choice[i]++; choice[i] < sizes[i] {
			return
		}
		choice[i] = 0
	}
}

// drawCase sets choice to the k-th case: in case 0 everything is lost, in case 1 everything survives, the others are drawn.
func drawCase(choice, sizes []int, k int, r *rand.Rand) {
	for i := range choice {
		switch k {
		case 0:
			choice[i] = 0
		case 1:
			choice[i] = min(1, sizes[i]-1)
		default:
			choice[i] = r.IntN(sizes[i])
		}
	}
}

// afterPowerLoss returns the disk after one power loss with the given outcomes of the unsynced operations.
func (s *simFS) afterPowerLoss(choice []int, unsynced []*inode) *simFS {
	names := maps.Clone(s.durable)
	for i, op := range s.pending {
		if choice[i] == 1 {
			op.apply(names)
		}
	}
	content := contentAfterPowerLoss(choice[len(s.pending):], unsynced)
	left := newSimFS()
	left.knobs, left.ignored = s.knobs, s.ignored
	if s.folder != folderMissing {
		left.folder = folderDurable
	}
	clones := map[*inode]*inode{}
	for name, node := range names {
		if clones[node] == nil {
			b, ok := content[node]
			if !ok {
				b = node.durable
			}
			clones[node] = &inode{content: b, durable: b}
		}
		left.visible[name], left.durable[name] = clones[node], clones[node]
	}
	return left
}

func contentAfterPowerLoss(choice []int, unsynced []*inode) map[*inode][]byte {
	content := map[*inode][]byte{}
	for _, node := range unsynced {
		b := node.durable
		for _, op := range node.pending {
			for _, part := range op.outcomes()[choice[0]] {
				b = part.apply(b)
			}
			choice = choice[1:]
		}
		content[node] = b
	}
	return content
}
