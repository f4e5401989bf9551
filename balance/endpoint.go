package balance

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/balance/signals"
)

// The indexes of zone weights and of sums by zone.
const (
	ownZone = iota
	otherZones
)

// minWarmth is the least share of its size that an endpoint is taken to have.
const minWarmth = 0.01

// endpoint is a server process and what this sidecar has seen of it.
type endpoint struct {
	Endpoint
	zoneIndex    int    // ownZone or otherZones
	homeGroup    *group // the first whose tags it carries; its peers there are alike
	inGroup      []bool // by group: it carries the group's tags
	inSubset     bool   // of one of the groups
	outOfService bool   // taken out by operators
	eligible     bool   // may be chosen for the request that is being placed

	inFlight int       // this sidecar's attempts
	flights  []*flight // the same, in the order of their sending

	latencySums         // of its answers and of the requests it held
	freshness   float64 // share of these sums that still counts: 1 with each answer, and decaying fast

	outlierState
	probeState

	warmUpStart Time    // when it started, as far as its warmth goes; 0: long ago
	warmth      float64 // share of its capacity that it has
	turnCredit  float64 // part of a turn that it has earned since the last send to it, by its share of the sends
}

// isReady tells whether an endpoint may be used at all.
func (e *endpoint) isReady() bool { return e.State == Ready && !e.outOfService }

// isEjected tells whether an ejection is in force, panic aside.
func (e *endpoint) isEjected(now Time) bool { return now < e.ejectedUntil }

// isWarm tells whether an endpoint has all of its capacity.
func (e *endpoint) isWarm() bool { return e.warmth >= 1 }

// capacity is the part of its registered size that an endpoint has now.
func (e *endpoint) capacity() float64 { return e.Size * math.Max(e.warmth, minWarmth) }

// process is the endpoint's present process, as far as the list says.
func (e *endpoint) process() signals.Process {
	return signals.Process{Server: e.ID, Start: int64(e.Started)}
}

// orderHash is the endpoint's place in the order that members share.
func (e *endpoint) orderHash() uint64 { return xxhash.Sum64String(e.ID) }
