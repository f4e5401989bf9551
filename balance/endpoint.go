package balance

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/balance/signals"
)

// Indexes of zone weights and of sums by zone.
const (
	ownZone = iota
	otherZones
)

// minWarmth is the minimum share of its size that an endpoint is assumed to have.
const minWarmth = 0.01

// endpoint is a server process and what this sidecar has observed of it.
type endpoint struct {
	Endpoint
	zoneIndex    int    // ownZone or otherZones
	homeGroup    *group // the first group whose tags it carries; the endpoints there are similar
	inGroup      []bool // by group: whether it carries the group's tags
	inSubset     bool   // it is in the subset of a group
	outOfService bool   // taken out of service by operators
	eligible     bool   // may be chosen for the request that is being placed

	inFlight int       // number of this sidecar's attempts in flight
	flights  []*flight // the attempts in flight, in the order in which they were sent

	latencySums         // over its own answers
	freshness   float64 // share of these sums that still counts: 1 after each answer, and decaying fast

	outlierState
	probeState

	warmUpStart Time    // when it started to warm up; 0: long ago
	warmth      float64 // share of its full capacity that it has now
	turnCredit  float64 // fraction of a turn earned since the last send to it, from its share of all sends
}

// isReady reports whether an endpoint may be used at all.
func (e *endpoint) isReady() bool { return e.State == Ready && !e.outOfService }

// isEjected reports whether the endpoint is ejected. It does not take panic into account.
func (e *endpoint) isEjected(now Time) bool { return now < e.ejectedUntil }

// isWarm reports whether an endpoint has its full capacity.
func (e *endpoint) isWarm() bool { return e.warmth >= 1 }

// capacity returns the part of its registered size that an endpoint currently has.
func (e *endpoint) capacity() float64 { return e.Size * math.Max(e.warmth, minWarmth) }

// process returns the endpoint's current process according to the list.
func (e *endpoint) process() signals.Process {
	return signals.Process{Server: e.ID, Start: int64(e.Started)}
}

// orderHash returns the sort key of the endpoint in the order that all members share.
func (e *endpoint) orderHash() uint64 { return xxhash.Sum64String(e.ID) }
