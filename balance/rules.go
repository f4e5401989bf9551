package balance

import (
	"errors"
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
)

const (
	// pendingRulesTTL is how long a route table without a ready endpoint waits for one before it is applied all
	// the same.
	pendingRulesTTL = 30 * time.Second
	// maxFirstIndex bounds the index at which a group's rotation starts.
	maxFirstIndex = 1 << 16
)

// ErrNoReadyEndpoint says that a route table waits until its best rule has a ready endpoint.
var ErrNoReadyEndpoint = errors.New("its best rule has no ready endpoint, and the one that holds has")

// SetRules takes over another complete route table; an empty one stands for the rules of the settings. Groups
// of the same tags keep their turns, credit, size and subset; new weights count from the next turn on.
//
// An error says why the table is not applied: it is invalid, or it is ErrNoReadyEndpoint, as its best rule
// for this client has no ready endpoint while the rule in force has some. Then the last table that came waits
// until it has one, or pendingRulesTTL is over; see RulesPending.
func (b *Balancer) SetRules(now Time, rules []Rule) error {
	if err := routes.Table(rules).Check(); err != nil {
		return err
	}
	if len(rules) == 0 {
		rules = b.settings.Rules
	}
	if b.pendingRules == nil { // else tables that come often would each begin the wait anew
		b.pendingSince = now
	}
	b.pendingRules = rules
	return b.applyPendingRules(now)
}

// RulesPending tells whether a route table waits for a ready endpoint.
func (b *Balancer) RulesPending() bool { return b.pendingRules != nil }

// applyPendingRules applies the table that waits, or returns ErrNoReadyEndpoint.
func (b *Balancer) applyPendingRules(now Time) error {
	destinations := b.destinationsOf(b.pendingRules)
	expired := now >= b.pendingSince+pendingRulesTTL
	if !expired && !b.hasReadyEndpoint(destinations) && b.hasReadyEndpoint(b.destinations) {
		return ErrNoReadyEndpoint
	}
	b.setDestinations(destinations)
	for _, e := range b.byID {
		b.joinGroups(e, e.Endpoint)
	}
	b.regroup(now)
	b.boundCredit()
	return nil
}

// boundCredit bounds the groups' credit by what a round brings: credit of weights that were much larger would
// rule for as long.
func (b *Balancer) boundCredit() {
	var maxCredit float64
	for _, g := range b.groups {
		maxCredit += g.weight(b.zoneWeight)
	}
	for _, g := range b.groups {
		g.credit = min(max(g.credit, -maxCredit), maxCredit)
	}
}

// destinationsOf are those of the best rule, and a last one of all endpoints.
func (b *Balancer) destinationsOf(rules []Rule) (destinations []Destination) {
	client := map[string]string{"region": b.settings.Zone}
	maps.Copy(client, b.settings.Tags)
	if best := routes.Best(rules, client, b.settings.Service); best != nil {
		destinations = slices.Clone(best.Destinations)
	}
	return append(destinations, Destination{Weight: 1, PerSize: true})
}

// hasReadyEndpoint tells whether any endpoint that is ready is in a destination with a weight. The last
// destination counts only where there is no rule.
func (b *Balancer) hasReadyEndpoint(destinations []Destination) bool {
	ofRule := destinations[:max(1, len(destinations)-1)]
	return slices.ContainsFunc(ofRule, func(d Destination) bool {
		return d.Weight > 0 && slices.ContainsFunc(b.endpoints, func(e *endpoint) bool {
			matches, _ := d.Match.Matches(b.tagsOf(e.Endpoint))
			return matches && e.isReady()
		})
	})
}

// setDestinations makes the groups of destinations, or keeps those that there are. Each sidecar's rotations
// start elsewhere, so that sidecars do not go round in step.
func (b *Balancer) setDestinations(destinations []Destination) {
	previous, last := b.groups, len(destinations)-1
	b.groups, b.destinations, b.pendingRules = nil, destinations, nil
	for i, destination := range destinations {
		at := slices.IndexFunc(previous, func(g *group) bool {
			sameRole := (g == b.fleet) == (i == last)
			return sameRole && maps.Equal(g.destination.Match, destination.Match)
		})
		if at < 0 {
			at = len(previous)
			previous = append(previous, &group{nextIndex: b.rng.IntN(maxFirstIndex), credit: b.rng.Float64()})
		}
		previous[at].destination = destination
		b.groups = append(b.groups, previous[at])
		previous = slices.Delete(previous, at, at+1)
	}
	b.fleet = b.groups[last]
}

// joinGroups notes which groups' tags an endpoint carries by an entry, and the first of them.
func (b *Balancer) joinGroups(e *endpoint, entry Endpoint) {
	tags := b.tagsOf(entry)
	e.inGroup = make([]bool, len(b.groups))
	for i, g := range b.groups {
		e.inGroup[i], _ = g.destination.Match.Matches(tags)
	}
	e.homeGroup = b.groups[slices.Index(e.inGroup, true)]
}

// tagsOf are the tags that an endpoint carries.
func (b *Balancer) tagsOf(e Endpoint) map[string]string {
	return map[string]string{"service": b.settings.Service, "region": e.Zone, "version": e.Kind}
}
