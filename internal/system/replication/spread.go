package replication

import (
	"cmp"
	"slices"
)

// spread tells how unevenly keepers stand over regions and zones. Of two sets of one size the lesser is better.
type spread struct {
	regions, zones int // keepers that the worst loss of as many regions or zones as may be lost takes away
	uneven         int // sum of the squares of the keepers per zone
}

func (s spread) compare(o spread) int {
	return cmp.Or(cmp.Compare(s.regions, o.regions), cmp.Compare(s.zones, o.zones), cmp.Compare(s.uneven, o.uneven))
}

func zoneOf(m Member) string   { return m.Zone }
func regionOf(m Member) string { return m.Region }

// counts gives the number of members of each domain, the largest first.
func counts(members []Member, domain func(Member) string) []int {
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

// exposed is how many of the members go with the worst loss of so many domains.
func exposed(members []Member, domain func(Member) string, losses int) int {
	n := 0
	for _, k := range counts(members, domain)[:min(losses, len(counts(members, domain)))] {
		n += k
	}
	return n
}

// spread of members. A zone counts as one that may be lost even where none must be: it costs nothing.
func (c *Config) spread(members []Member) spread {
	s := spread{regions: exposed(members, regionOf, c.RegionLosses), zones: exposed(members, zoneOf, max(1, c.ZoneLosses))}
	for _, n := range counts(members, zoneOf) {
		s.uneven += n * n
	}
	return s
}

// votersBear tells whether a majority of the voters is left after any loss that is tolerated.
func (c *Config) votersBear(voters []Member) bool {
	worst := max(c.MachineLosses, exposed(voters, zoneOf, c.ZoneLosses), exposed(voters, regionOf, c.RegionLosses))
	return len(voters)-worst > len(voters)/2
}

// linksBear tells whether a link is left after any loss that is tolerated.
func (c *Config) linksBear(links []Member) bool {
	return len(links) > max(c.MachineLosses, exposed(links, zoneOf, c.ZoneLosses), exposed(links, regionOf, c.RegionLosses))
}

// links is the least number of links that may acknowledge. That they stand in enough zones is aimed at and not enforced:
// where a zone is lost, those that are left may be all in one, and must go on.
func (c *Config) links() int {
	if c.hooks.shortChain {
		return 1
	}
	return c.MachineLosses + 1
}

// maxLinks is the number of links aimed at: more than may acknowledge, so that the loss of one need not wait for another
// to catch up.
func (c *Config) maxLinks() int {
	return max(maxLinks, c.MachineLosses+1, c.ZoneLosses+1, c.RegionLosses+1)
}

// voters is the number of voters aimed at, always odd: a majority is left when any machines, zones or regions that may be
// lost at once are, provided that the voters stand in enough of them.
func (c *Config) voters() int {
	return 2*max(1, c.MachineLosses, c.ZoneLosses, c.RegionLosses) + 1
}

// pick adds the candidate that leaves the members spread best, the first of those that are alike. It gives false where
// none is allowed.
func (c *Config) pick(members, candidates []Member, allowed func(Member) bool) ([]Member, bool) {
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
