package ownership

import (
	"slices"
	"sync"
	"time"
)

// Assignment holds the membership that duties are cut over, and the number under which their holders act: the epoch of that
// membership, which rises with every change of it. All nodes of one epoch must be told the same live nodes (an agreed
// view gives that); then one node at most holds a key under one fence, and while views differ, one for each epoch that
// is still believed in. It may be used by many goroutines.
type Assignment struct {
	self string

	mu    sync.Mutex
	epoch uint64
	live  []string
}

// NewAssignment makes a fence for the node named self, which holds nothing until Observe tells it of a membership.
func NewAssignment(self string) *Assignment { return &Assignment{self: self} }

// Update takes over a membership of a higher epoch than the one that is held, and tells whether it did. Anything else
// is ignored: an epoch never goes back, and its nodes never change.
func (f *Assignment) Update(epoch uint64, live []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch <= f.epoch {
		return false
	}
	f.epoch, f.live = epoch, slices.Clone(live)
	return true
}

// Owner names the holder of a key, empty where there is none, and the fence under which it acts.
func (f *Assignment) Owner(key string) (node string, fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Owner(key, f.live), f.epoch
}

// Owns tells whether this node holds key, and the fence that it must send with everything that it does for it.
func (f *Assignment) Owns(key string) (fence uint64, owns bool) {
	node, fence := f.Owner(key)
	return fence, node == f.self && fence > 0
}

// Standby lets a node that does not hold a duty step in while its work grows old, rarely and at a moment of its own.
type Standby struct {
	Interval time.Duration // of the duty
	After    time.Duration // work older than this is done by others as well
}

// Next tells whether to act now, and how long to wait until the next look: from the start of what is done now, or from
// now. age is that of the newest work, whoever did it; random lies in [0, 1) and differs from node to node.
func (s Standby) Next(owns bool, age time.Duration, random float64) (act bool, wait time.Duration) {
	jitter := time.Duration(random * float64(s.Interval))
	switch {
	case owns:
		return true, s.Interval
	case age < s.After:
		return false, s.Interval/2 + jitter
	default:
		return true, max(s.Interval, s.After/2) + jitter
	}
}
