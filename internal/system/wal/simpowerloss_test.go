package wal_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
)

// afterKill returns the disk as a process finds it that comes after one that was afterKill: nothing is lost, nothing synced.
func (s *simFS) afterKill() *simFS {
	twin := map[*inode]*inode{}
	of := func(n *inode) *inode {
		if twin[n] == nil {
			twin[n] = &inode{content: n.content, durable: n.durable, pending: slices.Clone(n.pending), failed: n.failed}
		}
		return twin[n]
	}
	c := newSimFS()
	c.folder, c.knobs, c.ignored = s.folder, s.knobs, s.ignored
	for name, n := range s.visible {
		c.visible[name] = of(n)
	}
	for name, n := range s.durable {
		c.durable[name] = of(n)
	}
	for _, d := range s.pending {
		c.pending = append(c.pending, dirOp{d.from, d.to, of(d.node)})
	}
	return c
}

// powerLosses calls f with what losses of power may leave: every case where there are at most most, otherwise that many,
// drawn, the one where everything unsynced is gone and the one where all is there among them.
func (s *simFS) powerLosses(most int, r *rand.Rand, f func(*simFS)) {
	nodes := map[*inode]bool{}
	for _, n := range s.durable {
		nodes[n] = true
	}
	for _, d := range s.pending {
		nodes[d.node] = true
	}
	var ordered []*inode
	for n := range nodes {
		if len(n.pending) > 0 {
			ordered = append(ordered, n)
		}
	}
	sort.Slice(ordered, func(i, j int) bool { return string(ordered[i].content) < string(ordered[j].content) })
	var sizes []int // of each choice
	if s.folder == folderMade {
		none := newSimFS()
		none.knobs, none.ignored = s.knobs, s.ignored
		f(none)
	}
	for range s.pending {
		sizes = append(sizes, 2)
	}
	for _, n := range ordered {
		for _, op := range n.pending {
			sizes = append(sizes, len(op.outcomes()))
		}
	}
	total := 1
	for _, n := range sizes {
		if total *= n; total > most {
			total = most + 1
			break
		}
	}
	choice := make([]int, len(sizes))
	if total <= most {
		for range total {
			f(s.afterPowerLoss(choice, ordered))
			for i := range choice {
				if choice[i]++; choice[i] < sizes[i] {
					break
				}
				choice[i] = 0
			}
		}
		return
	}
	for k := range most {
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
		f(s.afterPowerLoss(choice, ordered))
	}
}

// afterPowerLoss returns the disk after one loss of power.
func (s *simFS) afterPowerLoss(choice []int, ordered []*inode) *simFS {
	names := maps.Clone(s.durable)
	for i, d := range s.pending {
		if choice[i] == 1 {
			d.apply(names)
		}
	}
	choice = choice[len(s.pending):]
	content := map[*inode][]byte{}
	for _, n := range ordered {
		b := n.durable
		for _, op := range n.pending {
			for _, part := range op.outcomes()[choice[0]] {
				b = part.apply(b)
			}
			choice = choice[1:]
		}
		content[n] = b
	}
	c := newSimFS()
	c.knobs, c.ignored = s.knobs, s.ignored
	if s.folder != folderMissing {
		c.folder = folderDurable
	}
	twin := map[*inode]*inode{}
	for name, n := range names {
		if twin[n] == nil {
			b, ok := content[n]
			if !ok {
				b = n.durable
			}
			twin[n] = &inode{content: b, durable: b}
		}
		c.visible[name], c.durable[name] = twin[n], twin[n]
	}
	return c
}
