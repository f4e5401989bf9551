package balance

import (
	"cmp"
	"math"
	"slices"

	"gradeusher.example/gradeusher/balance/subset"
)

// matchGroups tells which groups' tags an endpoint carries.
func (b *Balancer) matchGroups(e Endpoint) (joins []bool) {
	tags := b.tagsOf(e)
	for _, g := range b.groups {
		ok, _ := g.destination.Match.Matches(tags)
		joins = append(joins, ok)
	}
	return joins
}

// regroup sorts the ready endpoints into the groups, which keep their turns, and takes this sidecar's subset
// of each. Danger: endpoints are ready, but none is in a group of the rule. As without a rule, all ready ones
// then form one group.
func (b *Balancer) regroup(now Time) {
	near, listed := 0.0, 0
	for _, e := range b.endpoints {
		e.inSubset, e.warmth = false, b.warmthOf(e, now)
		near += b.zoneWeight[e.zoneIndex]
	}
	b.regroupedAt, b.inUse = now, b.inUse[:0]
	for i, g := range b.groups {
		size, spare := 0.0, i == len(b.groups)-1 && listed > 0
		g.ready, g.readyCapacity = g.ready[:0], [2]float64{}
		for _, e := range b.endpoints {
			if !spare && e.isReady() && e.inGroup[i] {
				g.ready = append(g.ready, e)
				size += e.Size
				g.readyCapacity[e.zoneIndex] += e.Size * e.warmth
			}
		}
		listed += len(g.ready)
		g.maxReadySize = math.Max(g.maxReadySize, size)
		b.selectSubset(g, b.arrivals/near, now)
	}
}

// selectSubset takes the part of a group that this sidecar uses, so long that each member gets a request
// within the memory. Members that are ejected are made up for. Danger: neighbours by name fail together, and
// all who make up for them would turn to the next; sidecars that know each other go by an order of hashes.
func (b *Balancer) selectSubset(g *group, share float64, now Time) {
	n := len(g.ready)
	first, want := subset.ForIndex(n, b.settings.Self, share)
	if n > 0 && now >= b.levelCheckedAt+levelInterval {
		known := share * min(b.levelCheckedAt.Seconds(), 1) // at the first list nothing
		b.trafficLevel, b.levelCheckedAt = subset.Level(known, len(b.endpoints), b.trafficLevel), now
	}
	if b.amongAlike.count > 0 {
		slices.SortFunc(g.ready, func(x, y *endpoint) int { return cmp.Compare(x.orderHash(), y.orderHash()) })
		first, want = subset.ForMember(n, b.trafficLevel, b.amongAlike.index, b.amongAlike.count)
	}
	g.members = g.members[:0]
	for i := 0; i < n && want > 0; i++ {
		e := g.ready[(first+i)%n]
		g.members = append(g.members, e)
		if now >= e.ejectedUntil {
			want--
		}
		if !e.inSubset {
			e.inSubset = true
			b.inUse = append(b.inUse, e)
		}
	}
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

// nextTurn takes the next nextTurn of the smooth interleaved schedule among the groups with an open member,
// and in that group the next nextTurn of the rotation. It returns nil if no member of any group is open.
func (b *Balancer) nextTurn() *endpoint {
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
	return due.nextMember()
}

// nextMember gives the turn to the first open member from the due one on. If the open member after it has
// less of this sidecar's requests in flight, the due one yields.
func (g *group) nextMember() (due *endpoint) {
	n, at := len(g.members), 0
	for i, seen := 0, 0; i < n && seen < 2; i++ {
		if e := g.members[(g.nextTurn+i)%n]; e.eligible {
			if seen++; due == nil || e.inFlight < due.inFlight {
				due, at = e, i
			}
		}
	}
	g.nextTurn = (g.nextTurn + at + 1) % n
	return due
}

// adjustZoneWeight moves the weight that other zones get, as a share of the own zone's. Danger: a zone with
// more traffic than its servers can carry. Elsewhere counts in full once the own zone answers later by what a
// crossing is worth, at most the zones' bar, and not at all below half of that. It moves slowly, so that
// turns stay even.
func (b *Balancer) adjustZoneWeight(now Time) {
	var wait, size [2]float64
	for _, e := range b.inUse {
		if now >= e.ejectedUntil {
			wait[e.zoneIndex] += b.expectedLatency(e, now) * e.Size
			size[e.zoneIndex] += e.Size
		}
	}
	if size[0] == 0 || size[1] == 0 {
		b.zoneWeight[1] = 1
		return
	}
	pays := min(max(crossingTargets*b.settings.ZoneCrossingCost, 0.01), spillThreshold) * b.shortestTarget
	to := min(max(2*(wait[0]/size[0]-wait[1]/size[1])/pays-1, 0), 1)
	b.zoneWeight[1] = max(b.zoneWeight[1]+(to*to-b.zoneWeight[1])*zoneWeightStep, minZoneWeight)
}
