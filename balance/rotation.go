package balance

import (
	"math"
	"slices"
)

// group is one destination of the best rule, or all endpoints.
type group struct {
	destination Destination
	ready       []*endpoint // by id
	members     []*endpoint // the sidecar's subset of them, in order of rotation
	// Registered size of the ready ones for their warmth, in the own zone and elsewhere.
	readyCapacity [2]float64
	latencySum    float64 // fading sum of the seconds that answers of endpoints at home in it took
	loadSum       float64 // and of the requests held for a unit of size
	owedSeconds   float64 // seconds for which answers of those have been due, at the last tick
	maxReadySize  float64 // the largest registered size ever ready in it
	nextIndex     int     // whose turn it is
	credit        float64 // of the smooth weighted schedule
}

// weight is the configured weight for what the group's ready members can do. Danger: a shrunken, lost or cold
// group that keeps its full weight swamps its last members.
func (g *group) weight(near [2]float64) float64 {
	size := g.readyCapacity[0]*near[0] + g.readyCapacity[1]*near[1]
	if g.destination.PerSize {
		return g.destination.Weight * size
	}
	return g.destination.Weight * size / math.Max(g.maxReadySize, 1e-9)
}

// nextEndpoint takes the next nextEndpoint of the smooth interleaved schedule among the groups with an open
// member, and in that group the next nextEndpoint of the rotation. It returns nil if no member of any group
// is open.
func (b *Balancer) nextEndpoint() *endpoint {
	var due *group
	var total float64
	for _, g := range b.groups {
		w := g.weight(b.zoneWeight)
		if w <= 0 || !slices.ContainsFunc(g.members, func(e *endpoint) bool { return e.eligible }) {
			continue
		}
		total += w
		if g.credit += w; due == nil || g.credit > due.credit {
			due = g
		}
	}
	if due == nil {
		return nil
	}
	due.credit -= total
	return due.nextEndpoint()
}

// nextEndpoint gives the turn to the first open member from the due one on. If the open member after it has
// less of this sidecar's requests in flight, the due one yields.
func (g *group) nextEndpoint() (due *endpoint) {
	n, at := len(g.members), 0
	for i, seen := 0, 0; i < n && seen < 2; i++ {
		if e := g.members[(g.nextIndex+i)%n]; e.eligible {
			if seen++; due == nil || e.inFlight < due.inFlight {
				due, at = e, i
			}
		}
	}
	g.nextIndex = (g.nextIndex + at + 1) % n
	return due
}
