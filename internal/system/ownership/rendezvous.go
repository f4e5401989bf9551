// Package ownership assigns duties by rendezvous (highest random weight) hashing over the live nodes, and fences their holders
// with the epoch of the membership that named them. It is pure: no I/O, no clock, no goroutine.
//
// A duty that lost its holder is taken over within the bound by which a silent node leaves the agreed view, plus the
// time of that view's agreement, plus one interval of the duty. Where a holder lives but gets nothing done, a Standby
// lets another step in once the work is older than a bound.
package ownership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mix spreads every bit of x over the whole word (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// weigh gives the weight of a node for a key, each told by its hash. Both are mixed before they meet, so that nodes
// whose hashes are alike in some bits do not rank alike for many keys.
func weigh(key, node uint64) uint64 { return mix(mix(key) + bits.RotateLeft64(mix(node), 17)) }

// Owner names the node of the highest weight for key among the live, whose order does not matter: whoever counts the
// same nodes live names the same one. It is empty where none is live.
func Owner(key string, live []string) string {
	var (
		best   string
		weight uint64
		k      = xxhash.Sum64String(key)
	)
	for n, node := range live {
		w := weigh(k, xxhash.Sum64String(node))
		if n == 0 || w > weight || w == weight && node < best {
			best, weight = node, w
		}
	}
	return best
}

// Owners names the k nodes of the highest weights, the highest first, or all where fewer are live. The first is
// Holder's. A node that comes or goes changes at most one place of any key.
func Owners(key string, live []string, k int) []string {
	if k <= 0 {
		return nil
	}
	type ranked struct {
		node   string
		weight uint64
	}
	less := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	}
	// k is small beside the live: an insertion into a short sorted list does it without sorting them all.
	top := make([]ranked, 0, min(k, len(live))+1)
	h := xxhash.Sum64String(key)
	for _, node := range live {
		r := ranked{node, weigh(h, xxhash.Sum64String(node))}
		if len(top) == k && less(r, top[k-1]) >= 0 {
			continue
		}
		at, found := slices.BinarySearchFunc(top, r, less)
		if found {
			continue // told twice
		}
		top = slices.Insert(top, at, r)
		top = top[:min(len(top), k)]
	}
	nodes := make([]string, len(top))
	for n, r := range top {
		nodes[n] = r.node
	}
	return nodes
}

// Nodes are live nodes hashed once, for whoever asks about many keys.
type Nodes struct {
	names  []string
	hashes []uint64
}

// NewNodes hashes the live nodes, each of which is told once.
func NewNodes(live []string) *Nodes {
	n := &Nodes{names: live, hashes: make([]uint64, len(live))}
	for i, name := range live {
		n.hashes[i] = xxhash.Sum64String(name)
	}
	return n
}

// IsOwner tells whether node, one of the live, is one of Holders(key, live without except, k). It is faster than to name
// them all.
func (n *Nodes) IsOwner(key, node, except string, k int) bool {
	if k <= 0 || node == except {
		return false
	}
	h := xxhash.Sum64String(key)
	own := weigh(h, xxhash.Sum64String(node))
	before := 0
	for i, name := range n.names {
		w := weigh(h, n.hashes[i])
		if w < own || name == except || name == node || w == own && name > node {
			continue
		}
		if before++; before == k {
			return false
		}
	}
	return true
}
