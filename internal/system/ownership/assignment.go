package ownership

import (
	"slices"
	"sync"
)

// Assignment names the owners of keys under the newest membership that it was given, and the fencing token under which they act:
// the epoch of that membership. All nodes must get the same live nodes for one epoch, which an agreed view ensures; then at most
// one node owns a key under one token. It may be used by several goroutines at once.
type Assignment struct {
	self string

	mu    sync.Mutex
	epoch uint64
	live  []string
}

// NewAssignment returns the assignment of the node named self, which owns nothing until Update has given it a membership.
func NewAssignment(self string) *Assignment { return &Assignment{self: self} }

// Update replaces the membership by one of a higher epoch, and reports whether it did. Others are ignored: an epoch never
// decreases, and its live nodes never change.
func (a *Assignment) Update(epoch uint64, live []string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch <= a.epoch {
		return false
	}
	a.epoch, a.live = epoch, slices.Clone(live)
	return true
}

// Owner returns the owner of a key, empty where there is none, and the fencing token under which it acts.
func (a *Assignment) Owner(key string) (node string, token uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Owner(key, a.live), a.epoch
}

// Owns reports whether this node owns key, and the fencing token that it must send with everything that it does for it.
func (a *Assignment) Owns(key string) (token uint64, owns bool) {
	node, token := a.Owner(key)
	return token, node == a.self && token > 0
}
