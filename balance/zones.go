package balance

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
