package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// runRandomEvents runs random events in steps of a millisecond and returns the checker with the violations it found.
func runRandomEvents(t testing.TB, seed uint64, steps int) *checker {
	t.Helper()
	return runRandomEventsOn(t, seed, steps, func(c *checker) Actions { return c })
}

// runRandomEventsOn is runRandomEvents with a host that may wrap the checker.
func runRandomEventsOn(t testing.TB, seed uint64, steps int, host func(*checker) Actions) *checker {
	t.Helper()
	events := newRandomEvents(t, seed, host)
	for range steps {
		events.step()
	}
	if len(events.b.requests) > len(events.c.requests) {
		events.c.violation("the balancer still stores %d requests, but %d are open", len(events.b.requests), len(events.c.requests))
	}
	return events.c
}

// randomEvents is one sidecar with random requests, lists and failures.
type randomEvents struct {
	rng           *rand.Rand
	b             *Balancer
	c             *checker
	endpoints     []Endpoint
	failing       map[string]Outcome // failing servers and the outcome of their attempts
	scheduledEnds []scheduledEnd
	lastID        RequestID
}

// scheduledEnd is the scheduled end of an attempt.
type scheduledEnd struct {
	at      Time
	id      RequestID
	attempt int
	outcome Outcome
}

func newRandomEvents(t testing.TB, seed uint64, host func(*checker) Actions) *randomEvents {
	t.Helper()
	events := &randomEvents{rng: rand.New(rand.NewPCG(seed, 7)), failing: map[string]Outcome{}}
	set := events.randomSettings(seed)
	events.c = &checker{set: set, now: time.Minute, requests: map[RequestID]*modelRequest{}, servers: map[string]*modelServer{},
		timers: map[Time][]uint64{}}
	b, err := New(set, host(events.c))
	if err != nil {
		t.Fatal(err)
	}
	events.b = b
	for i := range 1 + events.rng.IntN(8) {
		events.endpoints = append(events.endpoints, Endpoint{ID: fmt.Sprint("s", i),
			Zone: set.Zones[events.rng.IntN(2)], Kind: set.Kinds[events.rng.IntN(2)],
			Cell: events.rng.IntN(2), Size: 1})
	}
	events.notify(ListCached, events.endpoints)
	return events
}

// chance returns true with the given probability.
func (d *randomEvents) chance(probability float64) bool { return d.rng.Float64() < probability }

func (d *randomEvents) randomSettings(seed uint64) Settings {
	set := settings()
	set.Seed, set.PeerCount, set.Index = seed, 1+d.rng.IntN(5), 0
	set.MaxAttempts = 1 + d.rng.IntN(4)
	set.CancelAllowed = d.chance(.5)
	set.SubscribeToDiscovery, set.DiscoveryDeadline = d.chance(.7), 10*time.Second
	set.Tenants = []Tenant{{"a", 40}, {"b", 20}}
	set.Classes = nil
	for i, e := range []Effect{Idempotent, Deduplicated, Deduplicated, Deduplicated, AtMostOnce} {
		set.Classes = append(set.Classes, Class{Name: fmt.Sprint(i), Effect: e, Scope: Scope((i - 1 + 3) % 3),
			DedupeWindow: 300 * time.Millisecond, LatencyTarget: 200 * time.Millisecond, Deadline: time.Second, Value: float64(1 + i)})
	}
	return set
}

// step simulates a millisecond.
func (d *randomEvents) step() {
	d.c.now += time.Millisecond
	for _, token := range d.c.timers[d.c.now] {
		d.b.Timer(d.c.now, token)
	}
	delete(d.c.timers, d.c.now)
	d.answerDiscovery()
	if d.chance(.01) {
		d.changeList()
	}
	if d.chance(.005) {
		d.changeFailures()
	}
	d.sendRequests()
	d.scheduleEnds()
	d.endDueAttempts()
	d.removeFinished()
}

// notify passes a list to the Balancer and the checker.
func (d *randomEvents) notify(kind ListKind, entries []Endpoint) {
	if kind != ListChanges {
		for _, s := range d.c.servers {
			s.listed = false
		}
	}
	for _, e := range entries {
		s := d.c.servers[e.ID]
		if s == nil {
			s = &modelServer{}
			d.c.servers[e.ID] = s
			d.c.order = append(d.c.order, e.ID)
		}
		s.Endpoint, s.listed = e, e.State != Removed
	}
	d.b.Endpoints(d.c.now, kind, entries)
}

func (d *randomEvents) answerDiscovery() {
	for ; d.c.subscriptions > 0; d.c.subscriptions-- {
		if d.chance(.5) {
			d.b.Endpoints(d.c.now, ListRefused, nil)
		} else {
			d.notify(ListFull, d.endpoints)
		}
	}
}

func (d *randomEvents) changeList() {
	e := &d.endpoints[d.rng.IntN(len(d.endpoints))]
	switch d.rng.IntN(4) {
	case 0:
		e.State = Draining
	case 1:
		e.State, e.Started = Ready, d.c.now-time.Duration(d.rng.IntN(3000))*time.Millisecond
	case 2:
		e.State = Removed
	case 3:
		e.State = Ready
	}
	kind, entries := ListChanges, []Endpoint{*e}
	if d.chance(.3) {
		kind = ListFull
		entries = slices.DeleteFunc(slices.Clone(d.endpoints), func(e Endpoint) bool { return e.State == Removed })
	}
	d.notify(kind, entries)
}

// changeFailures makes a server start or stop failing.
func (d *randomEvents) changeFailures() {
	id := d.endpoints[d.rng.IntN(len(d.endpoints))].ID
	if _, failing := d.failing[id]; failing {
		delete(d.failing, id)
	} else {
		d.failing[id] = Outcome(1 + d.rng.IntN(7))
	}
}

// sendRequests sends requests: usually none, and sometimes many.
func (d *randomEvents) sendRequests() {
	burst := 0
	if d.chance(.05) {
		burst = 1 + d.rng.IntN(3)
	}
	if d.chance(.002) {
		burst = 60
	}
	for range burst {
		d.lastID++
		r := Request{ID: d.lastID, Class: d.rng.IntN(len(d.c.set.Classes)), Tenant: d.rng.IntN(3) - 1,
			TimeLeft: time.Duration(50+d.rng.IntN(950)) * time.Millisecond}
		d.c.requests[d.lastID] = &modelRequest{class: &d.c.set.Classes[r.Class], deadline: d.c.now + r.TimeLeft}
		d.b.Request(d.c.now, r)
		if d.chance(.02) && !d.c.requests[d.lastID].finished {
			d.b.Request(d.c.now, r) // a host that sends a request twice by mistake
		}
	}
}

// scheduleEnds schedules the ends of new attempts of the latest requests.
func (d *randomEvents) scheduleEnds() {
	for id := max(d.lastID, 3000) - 2999; id <= d.lastID; id++ {
		r := d.c.requests[id]
		if r == nil || id == 0 {
			continue
		}
		for n := range r.attempts {
			isScheduled := slices.ContainsFunc(d.scheduledEnds, func(e scheduledEnd) bool { return e.id == id && e.attempt == n })
			if !isScheduled && !r.attempts[n].done {
				d.scheduledEnds = append(d.scheduledEnds, d.scheduleEnd(id, n, r))
			}
		}
		if !r.finished && d.chance(.0005) {
			r.finished = true
			d.b.ClientDisconnected(d.c.now, id)
		}
	}
}

func (d *randomEvents) scheduleEnd(id RequestID, attempt int, r *modelRequest) scheduledEnd {
	e := scheduledEnd{at: d.c.now + time.Duration(20+d.rng.IntN(20))*time.Millisecond, id: id, attempt: attempt, outcome: Served}
	if outcome, failing := d.failing[r.attempts[attempt].to]; failing {
		e.outcome = outcome
		e.at = d.c.now + time.Duration(10+d.rng.IntN(390))*time.Millisecond
	}
	if d.chance(.02) {
		e.outcome = Outcome(d.rng.IntN(8))
	}
	if e.outcome == TimedOut || e.at > r.deadline {
		e.at, e.outcome = r.deadline, TimedOut
	}
	return e
}

// endDueAttempts ends the attempts whose scheduled end has come.
func (d *randomEvents) endDueAttempts() {
	scheduled := d.scheduledEnds
	d.scheduledEnds = nil
	for _, next := range scheduled {
		if next.at > d.c.now {
			d.scheduledEnds = append(d.scheduledEnds, next)
			continue
		}
		r := d.c.requests[next.id]
		a := &r.attempts[next.attempt]
		a.done, a.mayHaveRun = true, next.outcome != Saturated && next.outcome != ConnectFailed && next.outcome != NotSent
		if next.outcome == Served {
			r.finished = true
		}
		result := Result{ID: next.id, Attempt: next.attempt, Endpoint: a.to, Outcome: next.outcome,
			Latency: d.c.now - a.sent, Finished: r.finished}
		d.b.Result(d.c.now, result)
		if d.chance(.02) { // reported twice
			d.b.Result(d.c.now, Result{ID: next.id, Attempt: next.attempt, Endpoint: a.to, Outcome: next.outcome})
		}
	}
}

// removeFinished removes requests that are finished, and reports those that got no answer in time.
func (d *randomEvents) removeFinished() {
	for id, r := range d.c.requests {
		if !r.finished && d.c.now > r.deadline+15*time.Millisecond {
			d.c.violation("request %d got no final answer", id)
			r.finished = true
		}
	}
	for id, r := range d.c.requests {
		open := !r.finished || slices.ContainsFunc(r.attempts, func(a modelAttempt) bool { return !a.done })
		if !open {
			delete(d.c.requests, id)
		}
	}
}

// TestRules checks the invariants of the package on random events.
func TestRules(t *testing.T) {
	sends := 0
	for seed := range uint64(40) {
		c := runRandomEvents(t, seed, 6000)
		sends += c.sends
		for i, f := range c.violations {
			if i == 5 {
				break
			}
			t.Errorf("seed %d: %s", seed, f)
		}
	}
	if sends < 5000 {
		t.Errorf("only %d sends in all runs, too few to test anything", sends)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a, b := runRandomEvents(t, seed, 3000), runRandomEvents(t, seed, 3000)
		if !slices.Equal(a.actions, b.actions) {
			t.Errorf("seed %d: two runs with the same events led to different actions", seed)
		}
	}
}
