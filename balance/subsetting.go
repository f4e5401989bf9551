package balance

import (
	"cmp"
	"math"
	"slices"

	"gradeusher.example/gradeusher/balance/subset"
)

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
	first, want := subset.ForIndex(n, b.settings.Index, share)
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
