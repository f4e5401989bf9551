package balance

// Here are the life of a request and the list; in route.go rules and rotation; in health.go what is believed.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const tickToken, discoveryToken uint64 = 0, 1

// New returns a Balancer, or an error that says what is wrong with the settings.
func New(set Settings, act Actions) (*Balancer, error) {
	b, err := newBalancer(set, act)
	if err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	b.setDestinations(b.destinationsOf(b.settings.Rules))
	act.Timer(time.Duration(b.rng.Float64()*float64(tickInterval)), tickToken)
	if set.SubscribeToDiscovery {
		// Danger: all sidecars start at once, and the list service serves few calls at a time.
		turn := (float64(set.Self) + b.rng.Float64()) / float64(set.Peers)
		act.Timer(time.Duration(turn*float64(max(set.DiscoveryDeadline/2, time.Second))), discoveryToken)
	}
	return b, nil
}

// Request takes in a client's request. One whose class or id cannot be is passed over.
func (b *Balancer) Request(now Time, r Request) {
	if _, twice := b.requests[r.ID]; twice || r.Class < 0 || r.Class >= len(b.settings.Classes) {
		return
	}
	q := &request{Request: r, class: &b.settings.Classes[r.Class], deadline: now + r.TimeLeft,
		overAllowance: b.exceedsAllowance(r.Tenant, now)}
	b.requests[r.ID] = q
	if !b.shedHeavyClient(q, now) {
		b.sendOrFinish(q, now)
	}
}

// sendOrFinish sends the request's next attempt, or ends the request if none may or should be sent.
func (b *Balancer) sendOrFinish(q *request, now Time) {
	var late float64
	if len(q.attempts) < b.settings.MaxAttempts && !q.bodyConsumed && now < q.clientDeadline(now) {
		var to *endpoint
		if to, late = b.pickEndpoint(q, now); to != nil {
			b.sendAttempt(q, to, now)
			return
		}
		b.creditWarmingUp()
	}
	if b.mayRefuse(q) {
		b.actions.Refuse(q.ID, time.Duration(min(max(late, 0), b.shortestTarget)*float64(time.Second)))
	} else {
		b.actions.Fail(q.ID)
	}
	b.finish(q)
}

// pickEndpoint lets the schedule choose among the endpoints that are not full, else among those where the
// request can still hope for an answer in time, the first of them in late seconds. Lesser classes give way
// only while all are full. Danger: their bar may lie under an idle slow machine: quiet days would lose their
// even turns.
func (b *Balancer) pickEndpoint(q *request, now Time) (to *endpoint, late float64) {
	bar, late := refusalThreshold*b.shortestTarget, b.shortestTarget
	if now < b.sheddingUntil {
		bar = b.sheddingThreshold(q.Class)
	}
	if q.overAllowance {
		bar *= overAllowanceShare
	}
	// Danger: an answer that comes when the client is gone is work for nothing, and its effect is not known. One
	// client's hurry prefers quick endpoints, but it refuses nothing and is no reason for others to give way.
	left := likelyShare * (q.clientDeadline(now) - now).Seconds()
	if to = b.probeCandidate(q, now); to != nil {
		return to, 0
	}
	for pass := range 2 {
		for _, e := range b.inUse {
			limit := bar
			if pass == 0 { // full above the zones' bar, but not just because its kind is slow
				limit = min(limit, left, max(spillThreshold*b.shortestTarget,
					fullThreshold*(1+unseenLoad)*cmp.Or(b.idleSeconds, b.fleet.secondsPerLoad())/e.Size))
			}
			e.eligible = e.isReady() && (b.inPanic || now >= e.ejectedUntil) &&
				b.maySendTo(q, e, now) && b.hasWarmUpTurn(e)
			if excess := b.expectedLatency(e, now) - limit; e.eligible {
				late = min(late, excess)
				e.eligible = excess <= 0 && e.owedSeconds(now) <= bar*float64(e.pendingAnswers())
			}
		}
		if to = b.nextTurn(); to != nil {
			return to, 0
		}
		// Danger: a class's bar while tight may lie under what an idle server takes; it must not prolong itself.
		if left >= bar && now >= b.sheddingUntil {
			b.sheddingUntil, bar = now+memoryTTL, min(bar, b.sheddingThreshold(q.Class))
		}
	}
	return nil, late
}

// creditWarmingUp lets cold endpoints earn turns by a request that found none open, where all that are used
// are cold: the part of it that they can do of what a whole warm fleet could. Danger: turns earned by sends
// to others alone would leave a fleet that restarts, or is put back by hand, without any until it is warm.
func (b *Balancer) creditWarmingUp() {
	var whole, ready, used float64
	for _, g := range b.groups {
		whole += g.maxReadySize
		for _, e := range g.ready {
			ready += e.Size
		}
	}
	for _, e := range b.inUse {
		if used += e.Size * b.zoneWeight[e.zoneIndex]; e.warmth >= 1 {
			return
		}
	}
	for _, e := range b.inUse {
		e.turnCredit += e.Size * e.warmth * b.zoneWeight[e.zoneIndex] / used * ready / whole
	}
}

func (b *Balancer) sendAttempt(q *request, to *endpoint, now Time) {
	held := float64(to.pendingAnswers()+1) + unseenLoad
	q.pendingAttempts++
	q.attempts = append(q.attempts, attempt{endpoint: to, sentAt: now, load: held, flight: to.addFlight(q, now)})
	// The share is of the least that a cold endpoint can do. Most can do more, and get warm by what they are
	// given, so it is half of what one at the least would fall over at.
	share := max(b.settings.OverloadMultiple/2, 1) / b.capacityInUse
	for _, e := range b.inUse {
		e.turnCredit += share * e.Size * e.warmth * b.zoneWeight[e.zoneIndex]
	}
	to.turnCredit = 0
	var within time.Duration
	if to.condemnedSince > 0 { // a try: if it fails, time is left for another attempt
		within = time.Duration(likelyShare * float64(q.clientDeadline(now)-now))
	}
	b.actions.Send(q.ID, to.ID, within)
}

// maySendTo tells whether the request may be sent to e. Danger: an effect that happens twice. What may have
// run is repeated only as its class allows: never, anywhere, or where repeats are dropped, and in good time.
func (b *Balancer) maySendTo(q *request, e *endpoint, now Time) bool {
	c := q.class
	for i := range q.attempts {
		switch a := &q.attempts[i]; {
		case a.endpoint == e:
			return false
		case a.done && !a.mayHaveExecuted || c.Effect == Idempotent:
		case c.Effect == AtMostOnce || now-a.sentAt >= c.DedupeWindow-time.Second/2,
			c.Scope == ScopeZone && a.endpoint.Zone != e.Zone, c.Scope == ScopeCell && a.endpoint.Cell != e.Cell:
			return false
		}
	}
	return true
}

// mayRefuse tells whether a refusal, which invites a retry anywhere, is safe.
func (b *Balancer) mayRefuse(q *request) bool {
	repeats := q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Scope == ScopeAll
	return repeats || !slices.ContainsFunc(q.attempts, func(a attempt) bool {
		return !a.done || a.mayHaveExecuted
	})
}

// Result takes in how an attempt ended.
func (b *Balancer) Result(now Time, r Result) {
	q := b.requests[r.ID]
	if q == nil || r.Attempt < 0 || r.Attempt >= len(q.attempts) || q.attempts[r.Attempt].done {
		return
	}
	a := &q.attempts[r.Attempt]
	a.done = true
	a.mayHaveExecuted = r.Outcome != Saturated && r.Outcome != ConnectFailed && r.Outcome != NotSent
	a.endpoint.removeFlight(a.flight, r.Outcome == Served)
	q.pendingAttempts--
	if r.Outcome == Served {
		q.latency = r.Latency
		b.observeClassLatency(q.Class, max(r.Latency.Seconds(), 1e-6))
	}
	b.observeResult(a, r, now)
	b.cancelLost(a.endpoint, now)
	switch {
	case r.Finished || q.finished:
		b.finish(q)
	case q.pendingAttempts == 0:
		b.sendOrFinish(q, now)
	}
}

// clientDeadline is when the client gives up, as far as that is known: while the body is coming its time has
// not begun.
func (q *request) clientDeadline(now Time) Time {
	if q.BodyIncomplete {
		return now + q.TimeLeft
	}
	return q.deadline
}

// finish marks a request as over, calls off what is still out for it, and forgets it once nothing is.
func (b *Balancer) finish(q *request) {
	for i := range q.attempts {
		if !q.attempts[i].done && !q.finished && b.settings.CancelAllowed {
			b.actions.Cancel(q.ID, i)
		}
	}
	if !q.finished && b.hitters != nil {
		b.observeClientWork(q)
	}
	if q.finished = true; q.pendingAttempts == 0 {
		delete(b.requests, q.ID)
	}
}

// exceedsAllowance tells whether a request is beyond its tenant's allowance, as far as this sidecar sees. Its
// part is the equal one or, where that is more, the one that goes with its own traffic. Danger: of a thousand
// sidecars most carry little and some much more; an equal part would be under one request a second.
func (b *Balancer) exceedsAllowance(i int, now Time) bool {
	b.arrivals++
	if i < 0 || i >= len(b.tenants) {
		return false
	}
	t, allowance := &b.tenants[i], b.settings.Tenants[i].Allowance
	part := math.Max(1/float64(b.settings.Peers),
		b.arrivals/memoryTTL.Seconds()/math.Max(b.totalAllowance, 1e-9))
	t.tokens = math.Min(t.tokens+allowance*part*(now-t.refilledAt).Seconds(),
		1+allowance*part*memoryTTL.Seconds())
	over := t.tokens < 1
	if t.refilledAt = now; !over {
		t.tokens--
	}
	return over
}

// Endpoints takes in discovery's news. Entries that discovery refused leave the list in hand as it is.
func (b *Balancer) Endpoints(now Time, kind ListKind, list []Endpoint) {
	switch kind {
	case ListRefused:
		// Danger: sidecars that call again at once, all together, keep a weak list service from ever answering.
		b.subscribed = false
		wait := min(time.Second<<min(b.discoveryFailures, 3), max(b.settings.DiscoveryDeadline/2, time.Second))
		b.discoveryFailures++
		b.actions.Timer(time.Duration((1+b.rng.Float64())*float64(wait)/2), discoveryToken)
		return
	case ListFull, ListRemembered:
		for _, e := range b.endpoints {
			e.State = Removed
		}
	}
	for _, entry := range list {
		e := b.byID[entry.ID]
		if e == nil && entry.State == Removed {
			continue
		}
		if e == nil {
			e = &endpoint{}
			b.byID[entry.ID] = e
		}
		if e.inGroup == nil || e.Zone != entry.Zone || e.Kind != entry.Kind {
			e.inGroup = b.matchGroups(entry)
			e.homeGroup = b.groups[slices.Index(e.inGroup, true)]
		}
		if e.zoneIndex = 0; entry.Zone != b.settings.Zone {
			e.zoneIndex = 1
		}
		if entry.Started != e.Started {
			// A new process, though under the same id. Danger: one whose machine's clock is ahead has started
			// by now all the same, and would count as cold until this clock has caught up.
			b.resetEndpoint(e, min(entry.Started, now))
		}
		e.outOfService = contains(b.outOfService, entry.ID)
		e.Endpoint, e.Size = entry, cmp.Or(max(entry.Size, 0), 1)
	}
	b.endpoints = b.endpoints[:0]
	for id, e := range b.byID {
		if e.State != Removed {
			b.endpoints = append(b.endpoints, e)
		} else if e.inFlight == 0 {
			delete(b.byID, id)
		}
	}
	slices.SortFunc(b.endpoints, func(x, y *endpoint) int { return strings.Compare(x.ID, y.ID) })
	b.regroup(now)
	b.decay(now, 0)
	b.adjustZoneWeight(now)
	if kind != ListRemembered {
		b.discoveryFailures = 0
	}
}

// Timer takes in that a timer is due.
func (b *Balancer) Timer(now Time, token uint64) {
	switch token {
	case discoveryToken:
		if !b.subscribed {
			b.subscribed = true
			b.actions.Subscribe()
		}
	case tickToken:
		b.actions.Timer(tickInterval, tickToken)
		b.applyVerdicts(now)
		b.decay(now, tickInterval)
		b.adjustZoneWeight(now)
		if now >= b.regroupedAt+time.Second {
			b.regroup(now)
		}
		if b.RulesPending() {
			if applied, _ := b.applyPendingRules(now); applied {
				b.actions.Log("the route table that waited is applied")
			}
		}
	}
}
