package replication

import (
	"cmp"
	"slices"
)

// exposure states how many nodes are lost in the worst tolerated losses, and how unevenly the nodes are distributed over failure
// domains (regions and zones). Of two sets of the same size, the one with the lower exposure is better.
type exposure struct {
	regionExposure int // nodes lost in the worst loss of the number of regions that must be tolerated
	zoneExposure   int // nodes lost in the worst loss of the number of zones that must be tolerated, at least one
	unevenness     int // sum of the squares of the node counts per zone
}

func (e exposure) compare(other exposure) int {
	return cmp.Or(
		cmp.Compare(e.regionExposure, other.regionExposure),
		cmp.Compare(e.zoneExposure, other.zoneExposure),
		cmp.Compare(e.unevenness, other.unevenness),
	)
}

func zoneOf(m Member) string   { return m.Zone }
func regionOf(m Member) string { return m.Region }

// domainCounts returns the number of members of each failure domain, the largest first.
func domainCounts(members []Member, domain func(Member) string) []int {
	byDomain := map[string]int{}
	for _, m := range members {
		byDomain[domain(m)]++
	}
	var counts []int
	for _, n := range byDomain {
		counts = append(counts, n)
	}
	slices.SortFunc(counts, func(a, b int) int { return b - a })
	return counts
}

// worstLoss returns how many of the members are lost in the worst loss of the given number of domains.
func worstLoss(members []Member, domain func(Member) string, domains int) int {
	lost := 0
	counts := domainCounts(members, domain)
	for _, n := range counts[:min(domains, len(counts))] {
		lost += n
	}
	return lost
}

// exposure returns the exposure of the members to losses. It counts the loss of a zone even if none must be tolerated, since taking
// it into account costs nothing.
func (c *Config) exposure(members []Member) exposure {
	e := exposure{
		regionExposure: worstLoss(members, regionOf, c.RegionLosses),
		zoneExposure:   worstLoss(members, zoneOf, max(1, c.ZoneLosses)),
	}
	for _, n := range domainCounts(members, zoneOf) {
		e.unevenness += n * n
	}
	return e
}

// worstToleratedLoss returns how many of the members may be lost at once.
func (c *Config) worstToleratedLoss(members []Member) int {
	return max(c.MachineLosses, worstLoss(members, zoneOf, c.ZoneLosses), worstLoss(members, regionOf, c.RegionLosses))
}

// votersTolerateLosses reports whether a majority of the voters remains after any loss that must be tolerated.
func (c *Config) votersTolerateLosses(voters []Member) bool {
	return len(voters)-c.worstToleratedLoss(voters) > len(voters)/2
}

// chainToleratesLosses reports whether a replica remains after any loss that must be tolerated.
func (c *Config) chainToleratesLosses(replicas []Member) bool {
	return len(replicas) > c.worstToleratedLoss(replicas)
}

// minChainLength returns the minimum number of replicas of a chain that may acknowledge. Placing them in enough zones is a goal, but
// it is not enforced: after the loss of a zone, the remaining replicas may all be in one zone, and must continue.
func (c *Config) minChainLength() int {
	if c.knobs.AllowShortChain {
		return 1
	}
	return c.MachineLosses + 1
}

// targetChainLength returns the target number of replicas: more than the minimum, so that after the loss of one, changes need not
// wait until another has caught up.
func (c *Config) targetChainLength() int {
	return max(defaultChainLength, c.MachineLosses+1, c.ZoneLosses+1, c.RegionLosses+1)
}

// targetVoters returns the target number of voters, which is always odd: a majority remains after the loss of any machines, zones or
// regions that may be lost at once, provided that the voters are placed in enough of them.
func (c *Config) targetVoters() int {
	return 2*max(1, c.MachineLosses, c.ZoneLosses, c.RegionLosses) + 1
}

// addBestSpread adds the candidate that leaves the members best spread; among equals, the first one. It returns false if no candidate
// is allowed.
func (c *Config) addBestSpread(members, candidates []Member, isAllowed func(Member) bool) ([]Member, bool) {
	var best []Member
	for _, m := range candidates {
		if slices.Contains(members, m) || !isAllowed(m) {
			continue
		}
		if with := append(slices.Clone(members), m); best == nil || c.exposure(with).compare(c.exposure(best)) < 0 {
			best = with
		}
	}
	if best == nil {
		return members, false
	}
	return best, true
}
