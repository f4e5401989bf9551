package balance

import (
	"cmp"
	"math"
	"slices"

	"gradeusher.example/gradeusher/balance/subset"
)

// levelInterval is how long a traffic level stays at least: the traffic is known by then.
const levelInterval = 2 * memoryTTL

// regroup sorts the ready endpoints into the groups, which keep their turns, and selects this sidecar's
// subset of each. Where endpoints are ready, but none is in a group of the rule, all ready ones form one
// group, as without a rule.
func (b *Balancer) regroup(now Time) {
	sumZoneWeight := 0.0
	for _, e := range b.endpoints {
		e.inSubset = false
		e.warmth = b.warmthOf(e, now)
		sumZoneWeight += b.zoneWeight[e.zoneIndex]
	}
	b.regroupedAt = now
	b.inUse = b.inUse[:0]
	grouped := 0
	for i, g := range b.groups {
		isSpare := g == b.fleet && grouped > 0
		b.fillGroup(g, i, isSpare)
		grouped += len(g.ready)
		b.selectSubset(g, b.arrivals/sumZoneWeight, now)
	}
}

// fillGroup lists the ready endpoints of a group, or none for the group of all endpoints where it is not
// needed.
func (b *Balancer) fillGroup(g *group, index int, isSpare bool) {
	g.ready, g.readyCapacity = g.ready[:0], [2]float64{}
	size := 0.0
	for _, e := range b.endpoints {
		if isSpare || !e.isReady() || !e.inGroup[index] {
			continue
		}
		g.ready = append(g.ready, e)
		size += e.Size
		g.readyCapacity[e.zoneIndex] += e.Size * e.warmth
	}
	g.maxReadySize = math.Max(g.maxReadySize, size)
}

// selectSubset selects the part of a group that this sidecar uses, so large that each member gets a request
// within memoryTTL. Members that are ejected are replaced. As neighbours by name fail together, and all who
// replace them would turn to the next, sidecars that know each other go by an order of hashes.
func (b *Balancer) selectSubset(target *group, trafficShare float64, now Time) {
	count := len(target.ready)
	first, wanted := subset.ForIndex(count, b.settings.Index, trafficShare)
	if count > 0 && now >= b.levelCheckedAt+levelInterval {
		b.updateTrafficLevel(trafficShare, now)
	}
	if b.amongAlike.count > 0 {
		slices.SortFunc(target.ready, func(x, y *endpoint) int { return cmp.Compare(x.orderHash(), y.orderHash()) })
		first, wanted = subset.ForMember(count, b.trafficLevel, b.amongAlike.index, b.amongAlike.count)
	}
	target.members = target.members[:0]
	for i := 0; i < count && wanted > 0; i++ {
		e := target.ready[(first+i)%count]
		target.members = append(target.members, e)
		if !e.isEjected(now) {
			wanted--
		}
		if !e.inSubset {
			e.inSubset = true
			b.inUse = append(b.inUse, e)
		}
	}
}

// updateTrafficLevel follows the traffic. Nothing is known of it at the first list, when levelCheckedAt is 0.
func (b *Balancer) updateTrafficLevel(trafficShare float64, now Time) {
	known := trafficShare * min(b.levelCheckedAt.Seconds(), 1)
	b.trafficLevel = subset.Level(known, len(b.endpoints), b.trafficLevel)
	b.levelCheckedAt = now
}
