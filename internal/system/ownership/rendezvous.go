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

// mixBits spreads every bit of x over the whole word (the finalizer of SplitMix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// weight gives the weight of a node for a key, each told by its hash. Both are mixed before they meet, so that nodes
// whose hashes are alike in some bits do not rank alike for many keys.
func weight(key, node uint64) uint64 { return mixBits(mixBits(key) + bits.RotateLeft64(mixBits(node), 17)) }

// Owner names the node of the highest weight for key among the live, whose order does not matter: whoever counts the
// same nodes live names the same one. It is empty where none is live.
func Owner(key string, live []string) string {
	var (
		best   string
		bestWeight uint64
		keyHash      = xxhash.Sum64String(key)
	)
	for n, node := range live {
		candidate := weight(keyHash, xxhash.Sum64String(node))
		if n == 0 || candidate > bestWeight || candidate == bestWeight && node < best {
			best, bestWeight = node, candidate
		}
	}
	return best
}

// Owners names the k nodes of the highest weights, the highest first, or all where fewer are live. The first is
// Holder's. A node that comes or goes changes at most one place of any key.
func Owners(key string, live []string, count int) []string {
	if count <= 0 {
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
	top := make([]ranked, 0, min(count, len(live))+1)
	keyHash := xxhash.Sum64String(key)
	for _, node := range live {
		candidate := ranked{node, weight(keyHash, xxhash.Sum64String(node))}
		if len(top) == count && less(candidate, top[count-1]) >= 0 {
			continue
		}
		at, found := slices.BinarySearchFunc(top, candidate, less)
		if found {
			continue // told twice
		}
		top = slices.Insert(top, at, candidate)
		top = top[:min(len(top), count)]
	}
	nodes := make([]string, len(top))
	for n, candidate := range top {
		nodes[n] = candidate.node
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
	nodes := &Nodes{names: live, hashes: make([]uint64, len(live))}
	for i, name := range live {
		nodes.hashes[i] = xxhash.Sum64String(name)
	}
	return nodes
}

// IsOwner tells whether node, one of the live, is one of Holders(key, live without except, k). It is faster than to name
// them all.
func (n *Nodes) IsOwner(key, node, except string, count int) bool {
	if count <= 0 || node == except {
		return false
	}
	keyHash := xxhash.Sum64String(key)
	ownWeight := weight(keyHash, xxhash.Sum64String(node))
	higher := 0
	for i, name := range n.names {
		other := weight(keyHash, n.hashes[i])
		if other < ownWeight || name == except || name == node || other == ownWeight && name > node {
			continue
		}
		if higher++; higher == count {
			return false
		}
	}
	return true
}
