package balance

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
)

// SetRules takes in another route table, whole; an empty one stands for the rules of the settings. Groups of
// the same tags keep their turns, credit, size and subset; new weights count from the next turn on. It tells
// why a table is not applied: it is wrong, or its best rule for this client has no ready endpoint while the
// rule that holds has some. Then the last one that came waits until it has, or pendingRulesTTL is over.
func (b *Balancer) SetRules(now Time, rules []Rule) (applied bool, why string) {
	if err := routes.Table(rules).Check(); err != nil {
		return false, err.Error()
	}
	if len(rules) == 0 {
		rules = b.settings.Rules
	}
	if b.pendingRules == nil {
		b.pendingSince = now // Danger: tables that come often would each begin the wait anew.
	}
	b.pendingRules = rules
	return b.applyPendingRules(now)
}

// applyPendingRules applies the table that waits, if it may be.
func (b *Balancer) applyPendingRules(now Time) (applied bool, why string) {
	to := b.destinationsOf(b.pendingRules)
	if now < b.pendingSince+pendingRulesTTL && !b.hasReadyEndpoint(to) && b.hasReadyEndpoint(b.destinations) {
		return false, "its best rule has no ready endpoint, and the one that holds has"
	}
	b.setDestinations(to)
	for _, e := range b.byID {
		e.inGroup = b.groupMembership(e.Endpoint)
		e.homeGroup = b.groups[slices.Index(e.inGroup, true)]
	}
	b.regroup(now)
	var most float64
	for _, g := range b.groups {
		most += g.weight(b.zoneWeight)
	}
	for _, g := range b.groups { // Danger: credit of weights that were much larger would rule for as long.
		g.credit = min(max(g.credit, -most), most)
	}
	return true, ""
}

// destinationsOf are those of the best rule, and a last one of all endpoints.
func (b *Balancer) destinationsOf(rules []Rule) (all []Destination) {
	client := map[string]string{"region": b.settings.Zone}
	maps.Copy(client, b.settings.Tags)
	if best := routes.Best(rules, client, b.settings.Service); best != nil {
		all = slices.Clone(best.Destinations)
	}
	return append(all, Destination{Weight: 1, PerSize: true})
}

// hasReadyEndpoint tells whether any endpoint that is ready is in a destination with a weight. The last one
// counts only where there is no rule.
func (b *Balancer) hasReadyEndpoint(all []Destination) bool {
	return slices.ContainsFunc(all[:max(1, len(all)-1)], func(d Destination) bool {
		return d.Weight > 0 && slices.ContainsFunc(b.endpoints, func(e *endpoint) bool {
			ok, _ := d.Match.Matches(b.tagsOf(e.Endpoint))
			return ok && e.isReady()
		})
	})
}

// setDestinations makes the groups of destinations, or keeps those that there are. Each sidecar's rotations
// start elsewhere, so that sidecars do not march in step.
func (b *Balancer) setDestinations(to []Destination) {
	old, last := b.groups, len(to)-1
	b.groups, b.destinations, b.pendingRules = nil, to, nil
	for i, d := range to {
		at := slices.IndexFunc(old, func(g *group) bool {
			return maps.Equal(g.destination.Match, d.Match) && (g == b.fleet) == (i == last)
		})
		if at < 0 {
			at, old = len(old), append(old, &group{nextIndex: b.rng.IntN(1 << 16), credit: b.rng.Float64()})
		}
		old[at].destination = d
		b.groups, old = append(b.groups, old[at]), slices.Delete(old, at, at+1)
	}
	b.fleet = b.groups[last]
}

// groupMembership tells which groups' tags an endpoint carries.
func (b *Balancer) groupMembership(e Endpoint) (joins []bool) {
	tags := b.tagsOf(e)
	for _, g := range b.groups {
		ok, _ := g.destination.Match.Matches(tags)
		joins = append(joins, ok)
	}
	return joins
}

// tagsOf are the tags that an endpoint carries.
func (b *Balancer) tagsOf(e Endpoint) map[string]string {
	return map[string]string{"service": b.settings.Service, "region": e.Zone, "version": e.Kind}
}

// RulesPending tells whether a route table waits for a ready endpoint.
func (b *Balancer) RulesPending() bool { return b.pendingRules != nil }

const pendingRulesTTL = 30 * time.Second // that a table without a ready endpoint waits for one
