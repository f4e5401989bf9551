package balance

import (
	"math"
	"slices"
)

// minGroupSize keeps the weight of a group that never had an endpoint finite.
const minGroupSize = 1e-9

// group is one destination of the best rule, or all endpoints.
type group struct {
	destination   Destination
	ready         []*endpoint // by id, or by orderHash where the members are known
	members       []*endpoint // the sidecar's subset of them, in order of rotation
	readyCapacity [2]float64  // size of the ready ones for their warmth, by zoneIndex
	maxReadySize  float64     // the largest size that was ever ready
	latencySums               // of answers of endpoints at home in it, the load for a unit of size
	owedSeconds   float64     // for which answers of those have been due, at the last tick
	nextIndex     int         // of the member whose turn is next, modulo their number
	credit        float64     // of the smooth weighted schedule
}

// weight is the configured weight for what the group's ready members can do. A group that got smaller, or
// warms up, and kept its full weight would overload its last members.
func (g *group) weight(zoneWeight [2]float64) float64 {
	capacity := g.readyCapacity[ownZone]*zoneWeight[ownZone] + g.readyCapacity[otherZones]*zoneWeight[otherZones]
	if g.destination.PerSize {
		return g.destination.Weight * capacity
	}
	return g.destination.Weight * capacity / math.Max(g.maxReadySize, minGroupSize)
}

// hasEligible tells whether a member may be chosen for the request that is being placed.
func (g *group) hasEligible() bool {
	return slices.ContainsFunc(g.members, func(e *endpoint) bool { return e.eligible })
}

// nextEndpoint takes the next turn of the smooth weighted round robin (as in nginx) among the groups with an
// eligible member, and in that group the next turn of the rotation. It returns nil if no member of any group
// is eligible.
func (b *Balancer) nextEndpoint() *endpoint {
	var next *group
	var total float64
	for _, g := range b.groups {
		weight := g.weight(b.zoneWeight)
		if weight <= 0 || !g.hasEligible() {
			continue
		}
		total += weight
		g.credit += weight
		if next == nil || g.credit > next.credit {
			next = g
		}
	}
	if next == nil {
		return nil
	}
	next.credit -= total
	return next.nextEndpoint()
}

// nextEndpoint gives the turn to the first eligible member from the next one on, or to the eligible one after
// it if that has less of this sidecar's requests in flight.
func (g *group) nextEndpoint() (next *endpoint) {
	count, offset := len(g.members), 0
	for i, seen := 0, 0; i < count && seen < 2; i++ {
		e := g.members[(g.nextIndex+i)%count]
		if !e.eligible {
			continue
		}
		seen++
		if next == nil || e.inFlight < next.inFlight {
			next, offset = e, i
		}
	}
	g.nextIndex = (g.nextIndex + offset + 1) % count
	return next
}
