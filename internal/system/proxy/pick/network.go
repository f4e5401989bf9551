package pick

import "time"

const (
	crossRegionCost      = 15    // milliseconds per request that crosses regions, in addition to its time
	crossRegionTokenCost = 0.01  // and per token of its prompt, because the bytes are billed
	crossZoneCost        = 3     // milliseconds per request that crosses zones of a region
	crossZoneTokenCost   = 0.003 // and per token of its prompt
)

// network describes the location of this proxy and its distance to other zones and regions.
type network struct {
	zone                   string
	crossRegion, crossZone time.Duration // one-way latencies
}

// roundTripMS returns the round-trip time to s, in milliseconds.
func (n *network) roundTripMS(s *server) float64 {
	switch {
	case s.regionIndex != ownRegion:
		return 2 * ms(n.crossRegion)
	case s.Zone != n.zone:
		return 2 * ms(n.crossZone)
	}
	return 0
}

// crossingCost returns the penalty, in milliseconds in addition to the latency, for
// sending a request with a prompt of this many tokens out of the zone or the region to s.
func (n *network) crossingCost(s *server, tokens int) float64 {
	switch {
	case s.regionIndex != ownRegion:
		return crossRegionCost + crossRegionTokenCost*float64(tokens)
	case s.Zone != n.zone:
		return crossZoneCost + crossZoneTokenCost*float64(tokens)
	}
	return 0
}
