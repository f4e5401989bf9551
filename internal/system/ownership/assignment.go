package ownership

import (
	"slices"
	"sync"
)

// Assignment determines the owners of keys under the newest membership that it was given, and the fencing token with which they
// act: the epoch of that membership. All nodes must get the same live nodes for one epoch, which an agreed view ensures; then at
// most one node owns a key under one token. It is safe for concurrent use.
type Assignment struct {
	self string

	mu    sync.Mutex
	epoch uint64
	live  []string
}

// NewAssignment returns the assignment of the node named self, which owns nothing until Update sets a membership.
func NewAssignment(self string) *Assignment { return &Assignment{self: self} }

// Update replaces the membership with one of a higher epoch and reports whether it did. It ignores a membership whose epoch is not
// higher, so the epoch never decreases and the live nodes of an epoch never change.
func (a *Assignment) Update(epoch uint64, live []string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch <= a.epoch {
		return false
	}
	a.epoch, a.live = epoch, slices.Clone(live)
	return true
}

// Owner returns the owner of a key, or an empty name if there is none, and the fencing token with which it acts.
func (a *Assignment) Owner(key string) (node string, token uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Owner(key, a.live), a.epoch
}

// Owns reports whether this node owns key, and returns the fencing token that the node must send with every action for the key.
func (a *Assignment) Owns(key string) (token uint64, owns bool) {
	node, token := a.Owner(key)
	return token, node == a.self && token > 0
}
