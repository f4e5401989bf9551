package balance

import (
	"fmt"
	"testing"
	"time"
)

// TestOverloadEstimateEndsWithIt makes all endpoints answer late for some seconds, and then fast again. Three seconds later no
// request is refused and each endpoint gets its share.
func TestOverloadEstimateEndsWithIt(t *testing.T) {
	for _, gap := range []time.Duration{25 * time.Millisecond, 100 * time.Millisecond} { // high and low traffic
		t.Run(fmt.Sprint("a request in ", gap), func(t *testing.T) {
			simulation := newOverloadSimulation(t, gap)
			simulation.run()
			if simulation.refused > 0 {
				t.Errorf("%d requests refused later than 3 s after the overload, %d sent", simulation.refused, simulation.sent())
			}
			for _, e := range simulation.list {
				if mean := simulation.sent() / len(simulation.list); simulation.sentTo[e.ID] < mean/2 || simulation.sentTo[e.ID] > 2*mean+1 {
					t.Errorf("%s got %d of %d requests, want about an equal share", e.ID, simulation.sentTo[e.ID], simulation.sent())
				}
			}
		})
	}
}

// The phases of an overloadSimulation, as times since its start.
const (
	overloadFrom   = 4 * time.Second
	overloadUntil  = 9 * time.Second
	countedFrom    = 12 * time.Second
	simulatedUntil = 16 * time.Second
)

// overloadSimulation simulates an overload of all endpoints that one sidecar uses.
type overloadSimulation struct {
	b              *Balancer
	h              *host
	list           []Endpoint
	gap            time.Duration // between requests
	pendingAnswers []lateAnswer
	refused        int            // requests refused after the overload
	sentTo         map[string]int // requests sent after the overload, by endpoint
}

type lateAnswer struct {
	at, took time.Duration
	sendCall
}

func newOverloadSimulation(t *testing.T, gap time.Duration) *overloadSimulation {
	t.Helper()
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	set.Classes[1].Value = 5
	p := &overloadSimulation{gap: gap, sentTo: map[string]int{}}
	for i := range 12 {
		p.list = append(p.list, Endpoint{ID: fmt.Sprint("e", i), Zone: "x", Kind: "big", Size: 1})
	}
	p.b, p.h = start(t, set, p.list)
	return p
}

func (p *overloadSimulation) run() {
	for began := p.h.now; p.h.now < began+simulatedUntil; p.h.now += 5 * time.Millisecond {
		since := p.h.now - began
		p.deliverAnswers()
		if since%tickInterval == 0 {
			p.b.Timer(p.h.now, tickToken)
		}
		if since%p.gap == 0 {
			p.sendRequest(since)
		}
	}
}

func (p *overloadSimulation) deliverAnswers() {
	for len(p.pendingAnswers) > 0 && p.pendingAnswers[0].at <= p.h.now {
		answer := p.pendingAnswers[0]
		p.pendingAnswers = p.pendingAnswers[1:]
		p.b.Result(p.h.now, Result{ID: answer.id, Endpoint: answer.to, Latency: answer.took, Finished: true})
	}
}

func (p *overloadSimulation) sendRequest(since time.Duration) {
	const fast, late = 60 * time.Millisecond, 900 * time.Millisecond
	overloaded, counted := since >= overloadFrom && since < overloadUntil, since >= countedFrom
	before := len(p.h.refused)
	p.b.Request(p.h.now, Request{ID: RequestID(p.h.now), Class: int(since / p.gap % 2), Tenant: -1, TimeLeft: 3 * time.Second})
	for _, s := range p.h.sent {
		took := fast
		if overloaded {
			took = late
		}
		p.pendingAnswers = append(p.pendingAnswers, lateAnswer{p.h.now + took, took, s})
		if counted {
			p.sentTo[s.to]++
		}
	}
	p.h.sent = nil
	if counted {
		p.refused += len(p.h.refused) - before
	}
	if !overloaded { // keep the answers sorted: the last late answers come after the first fast ones
		for i := len(p.pendingAnswers) - 1; i > 0 && p.pendingAnswers[i].at < p.pendingAnswers[i-1].at; i-- {
			p.pendingAnswers[i], p.pendingAnswers[i-1] = p.pendingAnswers[i-1], p.pendingAnswers[i]
		}
	}
}

// sent returns the number of requests sent after the overload.
func (p *overloadSimulation) sent() (sum int) {
	for _, n := range p.sentTo {
		sum += n
	}
	return sum
}

// TestWarmingUpEndpointFollowsItsPeers makes all cold endpoints but one answer late. The expected latency of the remaining cold
// endpoint is high as well, while that of warm ones is low.
func TestWarmingUpEndpointFollowsItsPeers(t *testing.T) {
	var list []Endpoint
	for index := range 8 {
		list = append(list, Endpoint{ID: fmt.Sprint("e", index), Zone: "x", Kind: "big", Size: 1})
	}
	b, recorder := start(t, settings(), list)
	for index := range 4 {
		list[index].Started = recorder.now - time.Second
	}
	b.Endpoints(recorder.now, ListFull, list)
	for index := range RequestID(60) {
		recorder.now += 20 * time.Millisecond
		to := sendRequest(b, recorder, index)
		if to == "" {
			continue
		}
		took, outcome := 50*time.Millisecond, Served
		if to == "e0" {
			outcome = Cancelled // gives no information about its latency
		}
		if e := b.byID[to]; e.warmth < 1 {
			took = 900 * time.Millisecond
		}
		b.Result(recorder.now, Result{ID: index, Endpoint: to, Outcome: outcome, Latency: took, Finished: true})
	}
	cold, warm := b.expectedLatency(b.byID["e0"], recorder.now), b.expectedLatency(b.byID["e5"], recorder.now)
	if cold < 0.5 || warm > 0.2 {
		t.Errorf("expected latency of a cold endpoint without answers is %.2f s, of a warm one %.2f s", cold, warm)
	}
}
