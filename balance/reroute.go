package balance

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
)

const routeWait = 30 * time.Second // that a table without a ready endpoint waits for one

// SetRules takes in another route table, whole; an empty one stands for the rules of the settings. Groups of
// the same tags keep their turns, credit, size and subset; new weights count from the next turn on. It tells
// why a table is not applied: it is wrong, or its best rule for this client has no ready endpoint while the
// rule that holds has some. Then the last one that came waits until it has, or routeWait is over.
func (b *Balancer) SetRules(now Time, rules []Rule) (applied bool, why string) {
	if err := routes.Table(rules).Check(); err != nil {
		return false, err.Error()
	}
	if len(rules) == 0 {
		rules = b.set.Rules
	}
	if b.waits == nil {
		b.waitsFrom = now // Danger: tables that come often would each begin the wait anew.
	}
	b.waits = rules
	return b.reroute(now)
}

// reroute applies the table that waits, if it may be.
func (b *Balancer) reroute(now Time) (applied bool, why string) {
	to := b.destinations(b.waits)
	if now < b.waitsFrom+routeWait && !b.serves(to) && b.serves(b.routed) {
		return false, "its best rule has no ready endpoint, and the one that holds has"
	}
	b.setRoutes(to)
	for _, e := range b.known {
		e.joins = b.groupsOf(e.Endpoint)
		e.home = b.groups[slices.Index(e.joins, true)]
	}
	b.regroup(now)
	var most float64
	for _, g := range b.groups {
		most += g.weight(b.near)
	}
	for _, g := range b.groups { // Danger: credit of weights that were much larger would rule for as long.
		g.credit = min(max(g.credit, -most), most)
	}
	return true, ""
}

// destinations are those of the best rule, and a last one of all endpoints.
func (b *Balancer) destinations(rules []Rule) (all []Destination) {
	client := map[string]string{"region": b.set.Zone}
	maps.Copy(client, b.set.Tags)
	if best := routes.Best(rules, client, b.set.Service); best != nil {
		all = slices.Clone(best.Destinations)
	}
	return append(all, Destination{Weight: 1, PerSize: true})
}

// serves tells whether any endpoint that is ready is in a destination with a weight. The last one counts only
// where there is no rule.
func (b *Balancer) serves(all []Destination) bool {
	return slices.ContainsFunc(all[:max(1, len(all)-1)], func(d Destination) bool {
		return d.Weight > 0 && slices.ContainsFunc(b.endpoints, func(e *endpoint) bool {
			ok, _ := d.Match.Fits(b.tagsOf(e.Endpoint))
			return ok && e.ready()
		})
	})
}

// setRoutes makes the groups of destinations, or keeps those that there are. Each sidecar's rotations start
// elsewhere, so that sidecars do not march in step.
func (b *Balancer) setRoutes(to []Destination) {
	old, last := b.groups, len(to)-1
	b.groups, b.routed, b.waits = nil, to, nil
	for i, d := range to {
		at := slices.IndexFunc(old, func(g *group) bool {
			return maps.Equal(g.dest.Match, d.Match) && (g == b.fleet) == (i == last)
		})
		if at < 0 {
			at, old = len(old), append(old, &group{next: b.rng.IntN(1 << 16), credit: b.rng.Float64()})
		}
		old[at].dest = d
		b.groups, old = append(b.groups, old[at]), slices.Delete(old, at, at+1)
	}
	b.fleet = b.groups[last]
}
