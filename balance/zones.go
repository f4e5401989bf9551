package balance

const (
	// crossingTargets is how many latency targets a crossing that costs all of a request's value is worth: it is
	// made where the answer comes sooner by that.
	crossingTargets = 8.0
	// minCrossingGain is the least of the same, as a share of the shortest latency target.
	minCrossingGain = 0.01
	// minZoneWeight is the least weight of other zones: enough to know them.
	minZoneWeight = 0.001
	// zoneWeightStep is the share of its way that a tick moves the weight of other zones.
	zoneWeightStep = 0.03
)

// adjustZoneWeight moves the weight of other zones, as a share of the own zone's, so that a zone with more
// traffic than its servers can carry sends some elsewhere. Other zones count in full once the own one answers
// later by what a crossing is worth, at most the threshold of full, and not at all below half of that. The
// weight moves slowly, so that turns stay even.
func (b *Balancer) adjustZoneWeight(now Time) {
	var seconds, size [2]float64
	for _, e := range b.inUse {
		if !e.isEjected(now) {
			seconds[e.zoneIndex] += b.expectedLatency(e, now) * e.Size
			size[e.zoneIndex] += e.Size
		}
	}
	if size[ownZone] == 0 || size[otherZones] == 0 {
		b.zoneWeight[otherZones] = 1
		return
	}
	gainShare := min(max(crossingTargets*b.settings.ZoneCrossingCost, minCrossingGain), spillThreshold)
	worthSeconds := gainShare * b.shortestTarget
	gainSeconds := seconds[ownZone]/size[ownZone] - seconds[otherZones]/size[otherZones]
	root := min(max(2*gainSeconds/worthSeconds-1, 0), 1)
	weight := b.zoneWeight[otherZones]
	b.zoneWeight[otherZones] = max(weight+(root*root-weight)*zoneWeightStep, minZoneWeight)
}
