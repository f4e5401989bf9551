package balance

import (
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
)

// Client keys: the heavy client, and the first of a hundred other clients.
const (
	heavyClient = 7
	lightClient = 8
)

// TestHeavyClientIsRejected has one client ask for most of the work of a small fleet. While servers are full, only this client is
// refused, with a time after which to retry; otherwise no client is refused.
func TestHeavyClientIsRejected(t *testing.T) {
	simulation := newHeavyClientSimulation(t)
	if _, refused := simulation.simulate(4*time.Second, false); refused != [2]int{} {
		t.Errorf("%v requests refused although there is capacity", refused)
	}
	tracked := simulation.b.HeavyHitters().Clients()
	if len(tracked) != 1 || tracked[0].Key != heavyClient || tracked[0].State != hitters.Heavy {
		t.Fatalf("tracked clients %+v, want one heavy client", tracked)
	}
	sent, refused := simulation.simulate(4*time.Second, true)
	if refused[0] < sent[0]/10 || refused[0] > sent[0]*9/10 || refused[1] != 0 {
		t.Errorf("%v of %v requests refused while servers are full", refused, sent)
	}
	all := slices.Sorted(slices.Values(simulation.h.refused))
	if unique := slices.Compact(slices.Clone(all)); len(unique) != len(all) {
		t.Errorf("%d refusals of %d requests, want one each", len(all), len(unique))
	}
	// New capacity is detected within seconds from the work that is served, not immediately when servers are no longer full.
	if sent, refused := simulation.simulate(2*time.Second, false); refused[0] > sent[0]/10 || refused[1] != 0 {
		t.Errorf("%v of %v requests refused just after there is capacity again", refused, sent)
	}
	if _, refused := simulation.simulate(time.Second, false); refused != [2]int{} {
		t.Errorf("%v requests refused although there is capacity again", refused)
	}
}

// heavyClientSimulation simulates a sidecar whose heavy client sends ten times as many requests as all other clients together.
type heavyClientSimulation struct {
	t      *testing.T
	b      *Balancer
	h      *host
	window time.Duration
	id     RequestID
}

func newHeavyClientSimulation(t *testing.T) *heavyClientSimulation {
	t.Helper()
	set := settings()
	defaults := hitters.Defaults()
	set.Hitters = &defaults
	b, recorder := start(t, set, twoEndpoints())
	return &heavyClientSimulation{t: t, b: b, h: recorder, window: defaults.Window}
}

// simulate simulates some time, and returns the numbers of requests and refusals of the heavy client and of the others.
func (p *heavyClientSimulation) simulate(length time.Duration, full bool) (sent, refused [2]int) {
	p.t.Helper()
	for end := p.h.now + length; p.h.now < end; p.h.now += 10 * time.Millisecond {
		p.b.sheddingUntil = 0
		if full {
			p.b.sheddingUntil = p.h.now + time.Second
		}
		for n := range 11 {
			client := heavyClient
			if n == 10 {
				client = lightClient + int(p.id)%100
			}
			index := min(client-heavyClient, 1)
			sent[index]++
			refused[index] += p.sendRequest(client)
			p.endAttempts(full && n%2 == 0 && n < 10)
		}
		if p.h.now%p.window < 10*time.Millisecond {
			p.b.HeavyHitters().EndWindow(p.h.now)
		}
	}
	return sent, refused
}

// sendRequest sends a request and returns 1 if it is refused.
func (p *heavyClientSimulation) sendRequest(client int) (refused int) {
	p.t.Helper()
	before := len(p.h.refused)
	p.id++
	p.b.Request(p.h.now, Request{ID: p.id, Tenant: -1, TimeLeft: time.Second, Client: uint64(client)})
	if len(p.h.refused) == before {
		return 0
	}
	if p.h.retryAfter < time.Second || p.h.retryAfter >= 2*time.Second {
		p.t.Fatalf("client is to retry after %v, want 1 to 2 s", p.h.retryAfter)
	}
	return 1
}

// endAttempts ends the attempts in flight, either as served or as rejected by a full server. A full server rejects half of the heavy
// client's attempts.
func (p *heavyClientSimulation) endAttempts(rejected bool) {
	if !rejected {
		p.h.endAttempts(p.b, p.h.now, Served)
		return
	}
	p.h.endAttempts(p.b, p.h.now, Saturated)
	p.h.sent = nil
}
