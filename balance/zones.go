package balance

const (
	// crossingTargets is the latency gain, in latency targets, that justifies a zone crossing which costs a
	// request's full value. Cheaper crossings need proportionally less.
	crossingTargets = 8.0
	// minCrossingGain is the smallest gain that justifies a crossing, as a share of the shortest latency target.
	minCrossingGain = 0.01
	// minZoneWeight is the minimum weight of other zones, enough to keep measuring their latency.
	minZoneWeight = 0.001
	// zoneWeightStep is the fraction of the remaining distance to its target by which the weight of other zones
	// moves in a tick.
	zoneWeightStep = 0.03
)

// adjustZoneWeight adjusts the weight of other zones relative to this sidecar's own zone, so that a zone with
// more traffic than its servers can handle spills some of it. Other zones get full weight once the own zone
// is slower by what a crossing is worth, capped at the threshold at which endpoints count as full, and only
// the minimum below half of that. The weight moves slowly so that the rotation stays even.
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
