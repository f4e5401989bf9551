package members

import "maps"

// This file has members agree on a number for the set that they form, without any of them deciding it.

// claim states that a member has given the set with this hash this count.
type claim struct{ count, hash uint32 }

// epoch is the count over the hash: equal epochs mean equal sets, but for a collision of 32 bits.
func (c claim) epoch() uint64 { return uint64(c.count)<<32 | uint64(c.hash) }

const maxClaims = 16

// epochs is one member's view of the count, in the manner of Lamport's clocks (Time, clocks, and the ordering of events,
// CACM 1978). A member whose set changes takes the count under which others already know the new set, if that is above its
// own, else one above all that it has received, and announces it. A member that receives its own set under a higher count takes
// that. Invariants:
//
//  1. A member's own epoch never goes down, and rises with each change of its set.
//  2. Two members with the same epoch have the same set.
//  3. Once sets rest and each has received all claims, equal sets have equal epochs: the highest count that any of them holds.
//
// A member that lies about counts costs calls to others, not agreement: 2 holds by the hash. At the highest count they cease
// to rise. The zero value is that of a member which knows no set.
type epochs struct {
	own          claim
	highestCount uint32            // of all received claims
	claims       map[uint32]uint32 // the highest count received, by hash; at most maxClaims
	droppedCount uint32            // the highest count that was evicted
}

// adoptSet sets the hash of the member's own set, and reports whether its claim is to be sent to the others.
func (e *epochs) adoptSet(hash uint32) (announce bool) {
	if e.own.count > 0 && hash == e.own.hash {
		return false
	}
	if known := e.claims[hash]; known > e.own.count {
		e.own = claim{known, hash}
		return true
	}
	e.highestCount = max(e.highestCount, e.own.count)
	if e.highestCount < 1<<32-1 {
		e.highestCount++
	}
	e.own = claim{e.highestCount, hash}
	e.storeClaim(e.own)
	return true
}

// receiveClaim records a claim, and reports whether the member's own epoch rose by it: only then it is to be forwarded. Where sets
// change fast, as in a fleet that starts, claims of short-lived sets would otherwise be most of the gossip.
func (e *epochs) receiveClaim(c claim) (rose bool) {
	// A claim that was evicted would be new each time that it arrives, and circulate for ever.
	if c.count <= e.claims[c.hash] || c.count <= e.droppedCount && c.hash != e.own.hash {
		return false
	}
	e.highestCount = max(e.highestCount, c.count)
	e.storeClaim(c)
	if c.hash == e.own.hash && c.count > e.own.count {
		e.own = c
		return true
	}
	return false
}

// storeClaim stores a claim. Over maxClaims the lowest is evicted: the oldest sets are the ones that do not come back.
func (e *epochs) storeClaim(c claim) {
	if e.claims == nil {
		e.claims = map[uint32]uint32{}
	}
	e.claims[c.hash] = c.count
	for len(e.claims) > maxClaims {
		lowest := c
		for hash, count := range e.claims {
			if k := (claim{count, hash}); k.epoch() < lowest.epoch() && k != e.own {
				lowest = k
			}
		}
		if lowest == e.own {
			return
		}
		e.droppedCount = max(e.droppedCount, lowest.count)
		delete(e.claims, lowest.hash)
	}
}

// storedClaims returns the stored claims, in no order.
func (e *epochs) storedClaims() []claim {
	var c []claim
	for hash, count := range maps.All(e.claims) {
		c = append(c, claim{count, hash})
	}
	return c
}
