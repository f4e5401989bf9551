package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// playDay runs random events in steps of a millisecond and returns the checker with the violations it found.
func playDay(t testing.TB, seed uint64, steps int) *checker {
	t.Helper()
	return playDayOn(t, seed, steps, func(c *checker) Actions { return c })
}

// playDayOn is playDay with a host that may wrap the checker.
func playDayOn(t testing.TB, seed uint64, steps int, host func(*checker) Actions) *checker {
	t.Helper()
	drawn := newDay(t, seed, host)
	for range steps {
		drawn.step()
	}
	if len(drawn.b.requests) > len(drawn.c.requests) {
		drawn.c.violation("the balancer still stores %d requests, but %d are open", len(drawn.b.requests), len(drawn.c.requests))
	}
	return drawn.c
}

// day is one sidecar with random requests, lists and failures.
type day struct {
	rng     *rand.Rand
	b       *Balancer
	c       *checker
	list    []Endpoint
	failing map[string]Outcome // failing servers and the outcome of their attempts
	endings []ending
	last    RequestID
}

// ending is the scheduled end of an attempt.
type ending struct {
	at      Time
	id      RequestID
	attempt int
	outcome Outcome
}

func newDay(t testing.TB, seed uint64, host func(*checker) Actions) *day {
	t.Helper()
	drawn := &day{rng: rand.New(rand.NewPCG(seed, 7)), failing: map[string]Outcome{}}
	set := drawn.drawSettings(seed)
	drawn.c = &checker{set: set, now: time.Minute, requests: map[RequestID]*modelRequest{}, servers: map[string]*modelServer{}, timers: map[Time][]uint64{}}
	b, err := New(set, host(drawn.c))
	if err != nil {
		t.Fatal(err)
	}
	drawn.b = b
	for i := range 1 + drawn.rng.IntN(8) {
		drawn.list = append(drawn.list, Endpoint{ID: fmt.Sprint("s", i), Zone: set.Zones[drawn.rng.IntN(2)], Kind: set.Kinds[drawn.rng.IntN(2)],
			Cell: drawn.rng.IntN(2), Size: 1})
	}
	drawn.notify(ListCached, drawn.list)
	return drawn
}

// flip returns true with the given probability.
func (d *day) flip(probability float64) bool { return d.rng.Float64() < probability }

func (d *day) drawSettings(seed uint64) Settings {
	set := settings()
	set.Seed, set.PeerCount, set.Index = seed, 1+d.rng.IntN(5), 0
	set.MaxAttempts = 1 + d.rng.IntN(4)
	set.CancelAllowed = d.flip(.5)
	set.SubscribeToDiscovery, set.DiscoveryDeadline = d.flip(.7), 10*time.Second
	set.Tenants = []Tenant{{"a", 40}, {"b", 20}}
	set.Classes = nil
	for i, e := range []Effect{Idempotent, Deduplicated, Deduplicated, Deduplicated, AtMostOnce} {
		set.Classes = append(set.Classes, Class{Name: fmt.Sprint(i), Effect: e, Scope: Scope((i - 1 + 3) % 3),
			DedupeWindow: 300 * time.Millisecond, LatencyTarget: 200 * time.Millisecond, Deadline: time.Second, Value: float64(1 + i)})
	}
	return set
}

// step simulates a millisecond.
func (d *day) step() {
	d.c.now += time.Millisecond
	for _, token := range d.c.timers[d.c.now] {
		d.b.Timer(d.c.now, token)
	}
	delete(d.c.timers, d.c.now)
	d.answerDiscovery()
	if d.flip(.01) {
		d.changeList()
	}
	if d.flip(.005) {
		d.changeFailures()
	}
	d.ask()
	d.drawEndings()
	d.end()
	d.forget()
}

// notify passes a list to the Balancer and the checker.
func (d *day) notify(kind ListKind, entries []Endpoint) {
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

func (d *day) answerDiscovery() {
	for ; d.c.asked > 0; d.c.asked-- {
		if d.flip(.5) {
			d.b.Endpoints(d.c.now, ListRefused, nil)
		} else {
			d.notify(ListFull, d.list)
		}
	}
}

func (d *day) changeList() {
	e := &d.list[d.rng.IntN(len(d.list))]
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
	if d.flip(.3) {
		kind = ListFull
		entries = slices.DeleteFunc(slices.Clone(d.list), func(e Endpoint) bool { return e.State == Removed })
	}
	d.notify(kind, entries)
}

// changeFailures makes a server start or stop failing.
func (d *day) changeFailures() {
	id := d.list[d.rng.IntN(len(d.list))].ID
	if _, failing := d.failing[id]; failing {
		delete(d.failing, id)
	} else {
		d.failing[id] = Outcome(1 + d.rng.IntN(7))
	}
}

// ask sends requests: usually none, and sometimes many.
func (d *day) ask() {
	burst := 0
	if d.flip(.05) {
		burst = 1 + d.rng.IntN(3)
	}
	if d.flip(.002) {
		burst = 60
	}
	for range burst {
		d.last++
		r := Request{ID: d.last, Class: d.rng.IntN(len(d.c.set.Classes)), Tenant: d.rng.IntN(3) - 1,
			TimeLeft: time.Duration(50+d.rng.IntN(950)) * time.Millisecond}
		d.c.requests[d.last] = &modelRequest{class: &d.c.set.Classes[r.Class], deadline: d.c.now + r.TimeLeft}
		d.b.Request(d.c.now, r)
		if d.flip(.02) && !d.c.requests[d.last].ended {
			d.b.Request(d.c.now, r) // a host that sends a request twice by mistake
		}
	}
}

// drawEndings schedules the ends of new attempts of the latest requests.
func (d *day) drawEndings() {
	for id := max(d.last, 3000) - 2999; id <= d.last; id++ {
		r := d.c.requests[id]
		if r == nil || id == 0 {
			continue
		}
		for n := range r.attempts {
			isDrawn := slices.ContainsFunc(d.endings, func(e ending) bool { return e.id == id && e.attempt == n })
			if !isDrawn && !r.attempts[n].done {
				d.endings = append(d.endings, d.drawEnding(id, n, r))
			}
		}
		if !r.ended && d.flip(.0005) {
			r.ended = true
			d.b.ClientDisconnected(d.c.now, id)
		}
	}
}

func (d *day) drawEnding(id RequestID, attempt int, r *modelRequest) ending {
	e := ending{at: d.c.now + time.Duration(20+d.rng.IntN(20))*time.Millisecond, id: id, attempt: attempt, outcome: Served}
	if outcome, failing := d.failing[r.attempts[attempt].to]; failing {
		e.outcome = outcome
		e.at = d.c.now + time.Duration(10+d.rng.IntN(390))*time.Millisecond
	}
	if d.flip(.02) {
		e.outcome = Outcome(d.rng.IntN(8))
	}
	if e.outcome == TimedOut || e.at > r.deadline {
		e.at, e.outcome = r.deadline, TimedOut
	}
	return e
}

// end ends the attempts whose scheduled end has come.
func (d *day) end() {
	drawn := d.endings
	d.endings = nil
	for _, next := range drawn {
		if next.at > d.c.now {
			d.endings = append(d.endings, next)
			continue
		}
		r := d.c.requests[next.id]
		a := &r.attempts[next.attempt]
		a.done, a.ran = true, next.outcome != Saturated && next.outcome != ConnectFailed && next.outcome != NotSent
		if next.outcome == Served {
			r.ended = true
		}
		result := Result{ID: next.id, Attempt: next.attempt, Endpoint: a.to, Outcome: next.outcome, Latency: d.c.now - a.sent, Finished: r.ended}
		d.b.Result(d.c.now, result)
		if d.flip(.02) { // reported twice
			d.b.Result(d.c.now, Result{ID: next.id, Attempt: next.attempt, Endpoint: a.to, Outcome: next.outcome})
		}
	}
}

// forget removes requests that are finished, and reports those that got no answer in time.
func (d *day) forget() {
	for id, r := range d.c.requests {
		if !r.ended && d.c.now > r.deadline+15*time.Millisecond {
			d.c.violation("request %d got no final answer", id)
			r.ended = true
		}
	}
	for id, r := range d.c.requests {
		open := !r.ended || slices.ContainsFunc(r.attempts, func(a modelAttempt) bool { return !a.done })
		if !open {
			delete(d.c.requests, id)
		}
	}
}

// TestRules checks the invariants of the package on random events.
func TestRules(t *testing.T) {
	sends := 0
	for seed := range uint64(40) {
		c := playDay(t, seed, 6000)
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
		a, b := playDay(t, seed, 3000), playDay(t, seed, 3000)
		if !slices.Equal(a.actions, b.actions) {
			t.Errorf("seed %d: two runs with the same events led to different actions", seed)
		}
	}
}
