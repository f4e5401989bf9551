package balance

import (
	"cmp"
	"math"
	"slices"

	"gradeusher.example/gradeusher/balance/subset"
)

// levelInterval is the minimum time between changes of the traffic level. It is long enough to measure the
// traffic.
const levelInterval = 2 * memoryTTL

// regroup assigns the ready endpoints to the groups and selects this sidecar's subset of each. The groups
// keep their rotation. If endpoints are ready but none is in a group of the rule, all ready endpoints form
// one group, as they do without a rule.
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

// fillGroup sets the ready endpoints of a group. The group of all endpoints is left empty if it is not needed
// (isSpare).
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

// selectSubset selects the subset of a group that this sidecar uses. It is sized so that each of its
// endpoints gets a request within memoryTTL. Ejected endpoints are replaced. Endpoints with neighbouring
// names tend to fail together, and in name order all sidecars would replace them by the same next ones, so
// sidecars that know each other use hash order.
func (b *Balancer) selectSubset(target *group, trafficShare float64, now Time) {
	count := len(target.ready)
	first, wanted := subset.ForIndex(count, b.settings.Index, trafficShare)
	if count > 0 && now >= b.levelCheckedAt+levelInterval {
		b.updateTrafficLevel(trafficShare, now)
	}
	if b.levelPosition.count > 0 {
		slices.SortFunc(target.ready, func(x, y *endpoint) int { return cmp.Compare(x.orderHash(), y.orderHash()) })
		first, wanted = subset.ForMember(count, b.trafficLevel, b.levelPosition.index, b.levelPosition.count)
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

// updateTrafficLevel updates the traffic level. At the first list, when levelCheckedAt is 0, the traffic is
// unknown.
func (b *Balancer) updateTrafficLevel(trafficShare float64, now Time) {
	known := trafficShare * min(b.levelCheckedAt.Seconds(), 1)
	b.trafficLevel = subset.Level(known, len(b.endpoints), b.trafficLevel)
	b.levelCheckedAt = now
}
