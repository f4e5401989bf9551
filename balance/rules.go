package balance

import (
	"errors"
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
)

const (
	// pendingRulesTTL is how long a route table waits for a ready endpoint before it is applied regardless.
	pendingRulesTTL = 30 * time.Second
	// maxFirstIndex bounds the index at which a group's rotation starts.
	maxFirstIndex = 1 << 16
)

// ErrNoReadyEndpoint is returned for a route table that stays pending until its best rule has a ready
// endpoint.
var ErrNoReadyEndpoint = errors.New("its best rule has no ready endpoint, and the one that holds has")

// SetRules replaces the complete route table; an empty table stands for the rules of the settings. Groups
// with the same tags keep their rotation, credit, size and subset. New weights apply from the next turn on.
//
// SetRules returns an error if it did not apply the table: either the table is invalid, or the error is
// ErrNoReadyEndpoint because the table's best rule for this client has no ready endpoint while the rule in
// force has some. In the latter case the most recent table stays pending until it has a ready endpoint or
// pendingRulesTTL has passed; see RulesPending.
func (b *Balancer) SetRules(now Time, rules []Rule) error {
	if err := routes.Table(rules).Check(); err != nil {
		return err
	}
	if len(rules) == 0 {
		rules = b.settings.Rules
	}
	if b.pendingRules == nil { // otherwise frequent updates would keep restarting the wait
		b.pendingSince = now
	}
	b.pendingRules = rules
	return b.applyPendingRules(now)
}

// RulesPending reports whether a route table is waiting for a ready endpoint.
func (b *Balancer) RulesPending() bool { return b.pendingRules != nil }

// applyPendingRules applies the pending table, or returns ErrNoReadyEndpoint if it has to keep waiting.
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

// boundCredit caps the groups' credit at what they earn in one round. Credit earned under much larger weights
// would otherwise dominate the schedule for a long time.
func (b *Balancer) boundCredit() {
	var maxCredit float64
	for _, g := range b.groups {
		maxCredit += g.weight(b.zoneWeight)
	}
	for _, g := range b.groups {
		g.credit = min(max(g.credit, -maxCredit), maxCredit)
	}
}

// destinationsOf returns the destinations of the best rule, followed by one that matches all endpoints.
func (b *Balancer) destinationsOf(rules []Rule) (destinations []Destination) {
	client := map[string]string{"region": b.settings.Zone}
	maps.Copy(client, b.settings.Tags)
	if best := routes.Best(rules, client, b.settings.Service); best != nil {
		destinations = slices.Clone(best.Destinations)
	}
	return append(destinations, Destination{Weight: 1, PerSize: true})
}

// hasReadyEndpoint reports whether a destination with a positive weight has a ready endpoint. The last
// destination, which matches all endpoints, counts only if there is no rule.
func (b *Balancer) hasReadyEndpoint(destinations []Destination) bool {
	ofRule := destinations[:max(1, len(destinations)-1)]
	return slices.ContainsFunc(ofRule, func(d Destination) bool {
		return d.Weight > 0 && slices.ContainsFunc(b.endpoints, func(e *endpoint) bool {
			matches, _ := d.Match.Matches(b.tagsOf(e.Endpoint))
			return matches && e.isReady()
		})
	})
}

// setDestinations creates a group for each destination, reusing existing groups with the same tags. Rotations
// start at a random index so that sidecars do not rotate in lockstep.
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

// joinGroups records which groups the tags of a list entry match, and the first of them as the endpoint's
// home group.
func (b *Balancer) joinGroups(e *endpoint, entry Endpoint) {
	tags := b.tagsOf(entry)
	e.inGroup = make([]bool, len(b.groups))
	for i, g := range b.groups {
		e.inGroup[i], _ = g.destination.Match.Matches(tags)
	}
	e.homeGroup = b.groups[slices.Index(e.inGroup, true)]
}

// tagsOf returns the tags that an endpoint carries.
func (b *Balancer) tagsOf(e Endpoint) map[string]string {
	return map[string]string{"service": b.settings.Service, "region": e.Zone, "version": e.Kind}
}
