package balance

import (
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
)

// The keys of clients in the tests of heavy ones: the heavy one, and the first of a hundred others.
const (
	heavyClient = 7
	lightClient = 8
)

// TestHeavyClientIsRejected has one client ask for most of the work of a small fleet. While servers are full, it alone is refused,
// and told when to return; while they are not, nobody is.
func TestHeavyClientIsRejected(t *testing.T) {
	play := newHeavyPlay(t)
	if _, refused := play.run(4*time.Second, false); refused != [2]int{} {
		t.Errorf("%v refused where there is capacity", refused)
	}
	held := play.b.HeavyHitters().Clients()
	if len(held) != 1 || held[0].Key != heavyClient || held[0].State != hitters.Heavy {
		t.Fatalf("%+v held", held)
	}
	asked, refused := play.run(4*time.Second, true)
	if refused[0] < asked[0]/10 || refused[0] > asked[0]*9/10 || refused[1] != 0 {
		t.Errorf("%v refused of %v where servers are full", refused, asked)
	}
	all := slices.Sorted(slices.Values(play.h.refused))
	if once := slices.Compact(slices.Clone(all)); len(once) != len(all) {
		t.Errorf("%d refusals of %d requests", len(all), len(once))
	}
	// Capacity is seen by what is served once less is rejected, not by servers that are full no more: within seconds, not at once.
	if asked, refused := play.run(2*time.Second, false); refused[0] > asked[0]/10 || refused[1] != 0 {
		t.Errorf("%v refused of %v as there is capacity again", refused, asked)
	}
	if _, refused := play.run(time.Second, false); refused != [2]int{} {
		t.Errorf("%v refused where there is capacity again", refused)
	}
}

// heavyPlay is a sidecar of which the heavy client asks ten times as often as all others do.
type heavyPlay struct {
	t      *testing.T
	b      *Balancer
	h      *host
	window time.Duration
	id     RequestID
}

func newHeavyPlay(t *testing.T) *heavyPlay {
	t.Helper()
	set := settings()
	defaults := hitters.Defaults()
	set.Hitters = &defaults
	b, recorder := start(t, set, pair())
	return &heavyPlay{t: t, b: b, h: recorder, window: defaults.Window}
}

// run plays for some time, and counts what the heavy client and the others asked, and what was refused of each.
func (p *heavyPlay) run(length time.Duration, full bool) (asked, refused [2]int) {
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
			who := min(client-heavyClient, 1)
			asked[who]++
			refused[who] += p.ask(client)
			p.answer(full && n%2 == 0 && n < 10)
		}
		if p.h.now%p.window < 10*time.Millisecond {
			p.b.HeavyHitters().EndWindow(p.h.now)
		}
	}
	return asked, refused
}

// ask plays a request, and counts its refusal.
func (p *heavyPlay) ask(client int) (refused int) {
	p.t.Helper()
	before := len(p.h.refused)
	p.id++
	p.b.Request(p.h.now, Request{ID: p.id, Tenant: -1, TimeLeft: time.Second, Client: uint64(client)})
	if len(p.h.refused) == before {
		return 0
	}
	if p.h.advice < time.Second || p.h.advice >= 2*time.Second {
		p.t.Fatalf("told to return after %v", p.h.advice)
	}
	return 1
}

// answer ends the attempts in flight. A full server rejects half of the heavy client's.
func (p *heavyPlay) answer(rejected bool) {
	if !rejected {
		p.h.answer(p.b, p.h.now, Served)
		return
	}
	p.h.answer(p.b, p.h.now, Saturated)
	p.h.sent = nil
}
