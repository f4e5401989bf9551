package pick

import "time"

const (
	crossRegionCost      = 15    // milliseconds that a request between regions is worth, beside its time
	crossRegionTokenCost = 0.01  // and each token of its prompt, as the bytes are billed
	crossZoneCost        = 3     // the same between zones of a region
	crossZoneTokenCost   = 0.003 // and each token
)

// network says how far servers are from this proxy.
type network struct {
	zone                   string
	crossRegion, crossZone time.Duration // one way
}

// roundTripMS is how many milliseconds the way to s and back takes.
func (n *network) roundTripMS(s *server) float64 {
	switch {
	case s.regionIndex != ownRegion:
		return 2 * ms(n.crossRegion)
	case s.Zone != n.zone:
		return 2 * ms(n.crossZone)
	}
	return 0
}

// crossingCost is what a request with a prompt of that many tokens is worth not leaving the zone, in milliseconds beside its time.
func (n *network) crossingCost(s *server, tokens int) float64 {
	switch {
	case s.regionIndex != ownRegion:
		return crossRegionCost + crossRegionTokenCost*float64(tokens)
	case s.Zone != n.zone:
		return crossZoneCost + crossZoneTokenCost*float64(tokens)
	}
	return 0
}
