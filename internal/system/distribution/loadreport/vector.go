package loadreport

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TTL is how long a load is valid after the message that brought it.
const TTL = time.Second

const (
	prefillUnit = 64  // prompt tokens per unit on the wire
	tokensUnit  = 256 // tokens per unit on the wire
)

const (
	// materialPrefill and materialTokens are the changes in tokens up to which a load counts as unchanged, unless it begins or ends.
	materialPrefill = 256
	materialTokens  = 1024
	// maxLoad bounds a load in tokens, so that rounding does not overflow.
	maxLoad = 1 << 40
	// slotSlack is how many indexes beyond two per load a vector may have before it is rebuilt.
	slotSlack = 1024
)

// minorChangeDelay is how long a change that is not material may wait to be published.
const minorChangeDelay = time.Second

// Vector publishes loads as numbered changes. Servers get indexes, so that an id is sent once to each reader. A change that is not
// material (up to an eighth) is held back for up to minorChangeDelay, unless the vector is exact.
//
// The changes after a number are encoded as follows: for each changed server, uvarint(index - previous index - 1)<<1 | new, the id
// (uvarint length, bytes) if the reader cannot know it yet, then uvarints requests, prefill and tokens in their units.
//
// A Vector is not safe for concurrent use; the owner must lock it.
type Vector struct {
	softstate.Cursor // number of the newest change

	exact   bool // publish every change
	indexes map[string]int
	slots   []slot

	cachedFrom, cachedAt uint64 // cached has the changes after cachedFrom up to cachedAt
	cached               []byte
}

type slot struct {
	id            string
	load          pick.Load
	addedNumber   uint64 // number of the change that added the id
	changedNumber uint64 // number of the last change
	changedAt     time.Time
}

// NewVector returns an empty vector with its own boot id. An exact one publishes every change.
func NewVector(exact bool) *Vector {
	return &Vector{Cursor: softstate.Cursor{BootID: rand.Uint64() | 1}, exact: exact, indexes: map[string]int{}}
}

// Publish sets the vector to loads, by server id, and reports whether that changed it. Loads are rounded up to units.
func (v *Vector) Publish(now time.Time, loads map[string]pick.Load) bool {
	if len(v.slots) > 2*len(loads)+slotSlack {
		// Most indexes belong to servers that are long gone.
		*v = *NewVector(v.exact)
	}
	next := v.Number + 1
	v.addSlots(next, loads)
	changed := false
	for i := range v.slots {
		s := &v.slots[i]
		load := roundUpToUnits(loads[s.id])
		mayWait := !v.exact && !isMaterial(s.load, load) && now.Sub(s.changedAt) < minorChangeDelay
		if load == s.load || mayWait {
			continue
		}
		s.load, s.changedNumber, s.changedAt, changed = load, next, now, true
	}
	if changed {
		v.Number = next
	}
	return changed
}

// addSlots assigns an index to each server that has a load and no index yet. An index is assigned only together with a load, so that the
// change of the load brings it to readers.
func (v *Vector) addSlots(number uint64, loads map[string]pick.Load) {
	for id, load := range loads {
		if load.Requests <= 0 && load.Prefill <= 0 && load.Tokens <= 0 {
			continue
		}
		if _, ok := v.indexes[id]; !ok && len(v.slots) < softstate.MaxServers && len(id) <= softstate.MaxIDBytes {
			v.indexes[id] = len(v.slots)
			v.slots = append(v.slots, slot{id: id, addedNumber: number})
		}
	}
}

// ChangesSince returns the changes after the cursor; all of them for a cursor of another vector. The body is shared and must not be
// modified.
func (v *Vector) ChangesSince(cursor softstate.Cursor) *distributionpb.Loads {
	from := cursor.Number
	if cursor.BootID != v.BootID || from > v.Number {
		from = 0
	}
	out := &distributionpb.Loads{Boot: v.BootID, From: from, Number: v.Number}
	if from == v.Number {
		return out
	}
	if v.cached == nil || v.cachedFrom != from || v.cachedAt != v.Number {
		v.cached, v.cachedFrom, v.cachedAt = v.encode(from), from, v.Number
	}
	out.Body = v.cached
	return out
}

func (v *Vector) encode(from uint64) []byte {
	out := make([]byte, 0, 64)
	last := -1
	for i := range v.slots {
		entry := &v.slots[i]
		if entry.changedNumber <= from {
			continue
		}
		head := uint64(i-last-1) << 1
		last = i
		if entry.addedNumber > from {
			out = binary.AppendUvarint(out, head|1)
			out = binary.AppendUvarint(out, uint64(len(entry.id)))
			out = append(out, entry.id...)
		} else {
			out = binary.AppendUvarint(out, head)
		}
		out = binary.AppendUvarint(out, uint64(entry.load.Requests))
		out = binary.AppendUvarint(out, uint64(entry.load.Prefill/prefillUnit))
		out = binary.AppendUvarint(out, uint64(entry.load.Tokens/tokensUnit))
	}
	return out
}

// roundUpToUnits rounds a load up to whole units.
func roundUpToUnits(load pick.Load) pick.Load {
	up := func(n, unit int64) int64 { return (max(0, min(n, maxLoad)) + unit - 1) / unit * unit }
	return pick.Load{Requests: max(0, load.Requests), Prefill: up(load.Prefill, prefillUnit), Tokens: up(load.Tokens, tokensUnit)}
}

// isMaterial reports whether a load differs by so much that the change is to be published immediately.
func isMaterial(old, now pick.Load) bool {
	return differs(int64(old.Requests), int64(now.Requests), 0) || differs(old.Prefill, now.Prefill, materialPrefill) ||
		differs(old.Tokens, now.Tokens, materialTokens)
}

// differs reports whether two numbers differ by more than an eighth and more than atLeast, or whether exactly one of them is 0.
func differs(a, b, atLeast int64) bool {
	distance := max(a-b, b-a)
	return distance > 0 && (a == 0 || b == 0 || distance > max(atLeast, max(a, b)/8))
}
