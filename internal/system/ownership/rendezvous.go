// Package ownership determines the owners of keys by rendezvous hashing over the live nodes, and gives each owner the fencing
// token with which it acts. It is pure: no I/O, no clock, no goroutine.
//
// The problem: one process of a fleet has to do some work (a singleton role), several have to watch another one, and all have to
// agree on which ones without a message for each key; a node that joins or leaves should move as few keys as possible; and an owner
// that does not know yet that it was replaced must not be mistaken for the current one.
//
// Rendezvous hashing, or highest random weight (D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
// IEEE/ACM Transactions on Networking 6(1), 1998): every node has a pseudo-random weight for every key, and the live nodes with
// the highest weights own it. All processes that know the same live nodes compute the same owners, whatever the order of the nodes.
// A node that leaves moves only the keys that it owned, each to the node with the next highest weight.
//
// Fencing: the token of an owner is the epoch of the membership that made it the owner. The token increases with each membership,
// and the receiver of an action rejects tokens below the highest that it has seen (M. Kleppmann, "How to do distributed locking",
// 2016). Invariant: at most one node owns a key under one token, since all nodes have the same live nodes for one epoch.
//
// Bound: a key whose owner fails has a new owner within the time that a failed node takes to leave the agreed view, plus the time
// of the agreement, plus one interval of the work. If an owner is live but makes no progress, a Standby acts once the work is
// stale.
package ownership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mixBits spreads every bit of x over all 64 bits (the finalizer of SplitMix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// weight returns the weight of a node for a key, given their hashes. Both hashes are mixed before they are combined, so that nodes
// whose hashes share some bits do not get similar ranks for many keys.
func weight(keyHash, nodeHash uint64) uint64 {
	return mixBits(mixBits(keyHash) + bits.RotateLeft64(mixBits(nodeHash), 17))
}

// candidate is a node with its weight for a key.
type candidate struct {
	node   string
	weight uint64
}

// ranksBefore reports whether c comes before other, by decreasing weight and, for equal weights, by name.
func (c candidate) ranksBefore(other candidate) bool {
	if c.weight != other.weight {
		return c.weight > other.weight
	}
	return c.node < other.node
}

// compareCandidates compares two candidates in the order of ranksBefore.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
}

// Owner returns the live node with the highest weight for key, or an empty name if none is live. The order of live has no effect.
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

// Owners returns the count live nodes with the highest weights for key, the highest first, or all if fewer are live. The first one
// is the result of Owner. A node that joins or leaves changes at most one owner of any key.
func Owners(key string, live []string, count int) []string {
	if count <= 0 {
		return nil
	}
	keyHash := xxhash.Sum64String(key)
	// The count is small compared to the number of live nodes: insertion into a short sorted list avoids sorting them all.
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

// Nodes holds the live nodes with their precomputed hashes, for callers that look up many keys.
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

// IsOwner reports whether node, which must be live, is one of Owners(key, live without except, count). It is faster than Owners.
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
