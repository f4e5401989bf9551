package members

import "maps"

// This file has members agree on an epoch for the set that they form, without a member that decides it.

// claim says that a member gave the set of members with this hash this count.
type claim struct{ count, hash uint32 }

// epoch returns the count in the high half and the hash in the low one. Equal epochs mean equal sets, unless 32 bits of hash collide.
func (c claim) epoch() uint64 { return uint64(c.count)<<32 | uint64(c.hash) }

// maxClaims is how many claims a member stores.
const maxClaims = 16

// epochs is what one member knows of claims. The counts are logical clocks (Lamport, Time, clocks, and the ordering of events in a
// distributed system, CACM 1978). A member whose set changes adopts the count that others gave the new set, if that is above its own.
// Else it takes a count above all that it has received, and announces it. A member that receives a higher count for its own set adopts it.
// Invariants:
//
//  1. A member's own epoch never decreases, and increases with each change of its set.
//  2. Two members with the same epoch have the same set.
//  3. Once sets change no more and each member has received all claims, equal sets have equal epochs: the highest count of any member.
//
// A member that claims wrong counts causes traffic, but does not break 2, which holds by the hash. At the highest count of 32 bits epochs
// increase no more. The zero value is that of a member that knows no set.
type epochs struct {
	own          claim
	highestCount uint32            // of all received claims
	claims       map[uint32]uint32 // the highest count received, by hash; at most maxClaims
	droppedCount uint32            // the highest count of an evicted claim
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

// receiveClaim records a claim, and reports whether the member's own epoch rose by it. Only then is the claim to be forwarded: where sets
// change fast, as in a fleet that starts, claims of sets of a moment would otherwise be most of the gossip.
func (e *epochs) receiveClaim(c claim) (rose bool) {
	// Without the second condition, a claim that was evicted would be new each time that it arrives, and be forwarded for ever.
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

// storeClaim stores a claim. Beyond maxClaims it evicts the lowest, since the oldest sets are the least likely to come back.
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
