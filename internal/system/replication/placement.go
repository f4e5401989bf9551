package replication

import (
	"cmp"
	"slices"
)

// spread tells how unevenly keepers stand over regions and zones. Of two sets of one size the lesser is better.
type spread struct {
	regionExposure, zoneExposure int // keepers that the worst loss of as many regions or zones as may be lost takes away
	unevenness                   int // sum of the squares of the keepers per zone
}

func (s spread) compare(o spread) int {
	return cmp.Or(cmp.Compare(s.regionExposure, o.regionExposure), cmp.Compare(s.zoneExposure, o.zoneExposure), cmp.Compare(s.unevenness, o.unevenness))
}

func zoneOf(m Member) string   { return m.Zone }
func regionOf(m Member) string { return m.Region }

// domainCounts gives the number of members of each domain, the largest first.
func domainCounts(members []Member, domain func(Member) string) []int {
	by := map[string]int{}
	for _, m := range members {
		by[domain(m)]++
	}
	var out []int
	for _, n := range by {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b int) int { return b - a })
	return out
}

// worstLoss is how many of the members go with the worst loss of so many domains.
func worstLoss(members []Member, domain func(Member) string, losses int) int {
	n := 0
	for _, k := range domainCounts(members, domain)[:min(losses, len(domainCounts(members, domain)))] {
		n += k
	}
	return n
}

// spread of members. A zone counts as one that may be lost even where none must be: it costs nothing.
func (c *Config) spread(members []Member) spread {
	s := spread{regionExposure: worstLoss(members, regionOf, c.RegionLosses), zoneExposure: worstLoss(members, zoneOf, max(1, c.ZoneLosses))}
	for _, n := range domainCounts(members, zoneOf) {
		s.unevenness += n * n
	}
	return s
}

// votersTolerateLosses tells whether a majority of the voters is left after any loss that is tolerated.
func (c *Config) votersTolerateLosses(voters []Member) bool {
	worst := max(c.MachineLosses, worstLoss(voters, zoneOf, c.ZoneLosses), worstLoss(voters, regionOf, c.RegionLosses))
	return len(voters)-worst > len(voters)/2
}

// chainToleratesLosses tells whether a link is left after any loss that is tolerated.
func (c *Config) chainToleratesLosses(links []Member) bool {
	return len(links) > max(c.MachineLosses, worstLoss(links, zoneOf, c.ZoneLosses), worstLoss(links, regionOf, c.RegionLosses))
}

// minChainLength is the least number of minChainLength that may acknowledge. That they stand in enough zones is aimed at and not enforced:
// where a zone is lost, those that are left may be all in one, and must go on.
func (c *Config) minChainLength() int {
	if c.knobs.AllowShortChain {
		return 1
	}
	return c.MachineLosses + 1
}

// defaultChainLength is the number of links aimed at: more than may acknowledge, so that the loss of one need not wait for another
// to catch up.
func (c *Config) targetChainLength() int {
	return max(defaultChainLength, c.MachineLosses+1, c.ZoneLosses+1, c.RegionLosses+1)
}

// targetVoters is the number of targetVoters aimed at, always odd: a majority is left when any machines, zones or regions that may be
// lost at once are, provided that the targetVoters stand in enough of them.
func (c *Config) targetVoters() int {
	return 2*max(1, c.MachineLosses, c.ZoneLosses, c.RegionLosses) + 1
}

// addBestSpread adds the candidate that leaves the members spread best, the first of those that are alike. It gives false where
// none is allowed.
func (c *Config) addBestSpread(members, candidates []Member, allowed func(Member) bool) ([]Member, bool) {
	var best []Member
	for _, m := range candidates {
		if slices.Contains(members, m) || !allowed(m) {
			continue
		}
		if with := append(slices.Clone(members), m); best == nil || c.spread(with).compare(c.spread(best)) < 0 {
			best = with
		}
	}
	if best == nil {
		return members, false
	}
	return best, true
}
