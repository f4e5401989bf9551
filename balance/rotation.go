package balance

import (
	"math"
	"slices"
)

// minGroupSize keeps the weight of a group that never had an endpoint finite.
const minGroupSize = 1e-9

// group is one destination of the best rule, or all endpoints.
type group struct {
	destination    Destination
	ready          []*endpoint // sorted by id, or by orderHash if the members are known
	members        []*endpoint // the sidecar's subset of the ready endpoints, in rotation order
	readyCapacity  [2]float64  // total size of the ready endpoints scaled by their warmth, by zoneIndex
	maxReadySize   float64     // the largest total size that was ever ready
	latencySums                // over endpoints whose home group this is, with load per unit of size
	pendingSeconds float64     // sum of pendingSeconds of those endpoints at the last tick
	nextIndex      int         // index of the member whose turn is next, modulo the number of members
	credit         float64     // for the smooth weighted round robin
}

// weight returns the configured weight scaled by the capacity of the group's ready endpoints. If a group that
// has shrunk or is warming up kept its full weight, its remaining members would be overloaded.
func (g *group) weight(zoneWeight [2]float64) float64 {
	capacity := g.readyCapacity[ownZone]*zoneWeight[ownZone] + g.readyCapacity[otherZones]*zoneWeight[otherZones]
	if g.destination.PerSize {
		return g.destination.Weight * capacity
	}
	return g.destination.Weight * capacity / math.Max(g.maxReadySize, minGroupSize)
}

// hasEligible reports whether any member may be chosen for the request that is being placed.
func (g *group) hasEligible() bool {
	return slices.ContainsFunc(g.members, func(e *endpoint) bool { return e.eligible })
}

// nextEndpoint picks a group by smooth weighted round robin (as in nginx) among the groups with an eligible
// member, and then the next endpoint in that group's rotation. It returns nil if no member of any group is
// eligible.
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

// nextEndpoint picks the first eligible member in rotation order, or the next eligible one after it if that
// has fewer of this sidecar's requests in flight.
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
