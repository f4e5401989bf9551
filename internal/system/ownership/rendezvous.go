// Package ownership names the owners of keys by rendezvous hashing over the live nodes, and gives each owner the fencing token
// under which it acts. It is pure: no I/O, no clock, no goroutine.
//
// The problem: one process of a fleet is to do some work (a singleton role), several are to watch another one, and all have to
// agree on which without a message for each key; a node that comes or goes is to move as few keys as possible; and an owner that
// does not know yet that it was replaced must not be taken for the present one.
//
// Rendezvous hashing, or highest random weight (D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
// IEEE/ACM Transactions on Networking 6(1), 1998): every node has a pseudo-random weight for every key, and the live nodes of the
// highest weights own it. Whoever knows the same live nodes computes the same owners, in any order of the nodes. A node that
// goes moves only the keys that it owned, each to the node of the next weight.
//
// Fencing: the token of an owner is the epoch of the membership that named it. It rises with each membership, and whoever is
// acted upon rejects tokens below the highest that it has seen (M. Kleppmann, "How to do distributed locking", 2016).
// Invariant: under one token one node at most owns a key, since all nodes have the same live nodes for one epoch.
//
// Bound: a key whose owner fails has a new one within the time in which a failed node leaves the agreed view, plus that of the
// agreement, plus one interval of the work. For an owner that lives but gets nothing done, a Standby acts once the work is stale.
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

// weight is the weight of a node for a key, both given by their hashes. Both are mixed before they are combined, so that nodes
// whose hashes agree in some bits do not rank alike for many keys.
func weight(keyHash, nodeHash uint64) uint64 {
	return mixBits(mixBits(keyHash) + bits.RotateLeft64(mixBits(nodeHash), 17))
}

// candidate is a node with its weight for a key.
type candidate struct {
	node   string
	weight uint64
}

// ranksBefore orders candidates by falling weight, those of one weight by name.
func (c candidate) ranksBefore(other candidate) bool {
	if c.weight != other.weight {
		return c.weight > other.weight
	}
	return c.node < other.node
}

// compareCandidates is the order of ranksBefore as a comparison.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
}

// Owner returns the live node of the highest weight for key, empty where none is live. The order of live has no effect.
func Owner(key string, live []string) string {
	keyHash := xxhash.Sum64String(key)
	var best candidate
	for i, node := range live {
		other := candidate{node, weight(keyHash, xxhash.Sum64String(node))}
		if i == 0 || other.ranksBefore(best) {
			best = other
		}
	}
	return best.node
}

// Owners returns the count live nodes of the highest weights for key, the highest first, or all where fewer are live. The first
// is Owner's. A node that comes or goes changes at most one place of any key.
func Owners(key string, live []string, count int) []string {
	if count <= 0 {
		return nil
	}
	keyHash := xxhash.Sum64String(key)
	// The count is small beside the live nodes: insertion into a short sorted list avoids sorting them all.
	top := make([]candidate, 0, min(count, len(live))+1)
	for _, node := range live {
		other := candidate{node, weight(keyHash, xxhash.Sum64String(node))}
		if len(top) == count && !other.ranksBefore(top[count-1]) {
			continue
		}
		at, duplicate := slices.BinarySearchFunc(top, other, compareCandidates)
		if duplicate {
			continue
		}
		top = slices.Insert(top, at, other)
		top = top[:min(len(top), count)]
	}
	nodes := make([]string, len(top))
	for i, c := range top {
		nodes[i] = c.node
	}
	return nodes
}

// Nodes are live nodes with their hashes, for callers that ask about many keys.
type Nodes struct {
	names  []string
	hashes []uint64
}

// NewNodes hashes the live nodes, each of which must be given once.
func NewNodes(live []string) *Nodes {
	hashed := &Nodes{names: live, hashes: make([]uint64, len(live))}
	for i, name := range live {
		hashed.hashes[i] = xxhash.Sum64String(name)
	}
	return hashed
}

// IsOwner reports whether node, a live one, is one of Owners(key, live without except, count). It is faster than Owners.
func (n *Nodes) IsOwner(key, node, except string, count int) bool {
	if count <= 0 || node == except {
		return false
	}
	keyHash := xxhash.Sum64String(key)
	own := candidate{node, weight(keyHash, xxhash.Sum64String(node))}
	higher := 0
	for i, name := range n.names {
		if name == except || name == node {
			continue
		}
		other := candidate{name, weight(keyHash, n.hashes[i])}
		if !other.ranksBefore(own) {
			continue
		}
		if higher++; higher == count {
			return false
		}
	}
	return true
}
