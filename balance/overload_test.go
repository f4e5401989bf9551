package balance

import (
	"fmt"
	"testing"
	"time"
)

// TestOverloadEstimateEndsWithIt has all endpoints answer late for some seconds, and then at once again: three seconds later
// nothing is refused, and all of them get their share.
func TestOverloadEstimateEndsWithIt(t *testing.T) {
	const quick, late = 60 * time.Millisecond, 900 * time.Millisecond
	for _, gap := range []time.Duration{25 * time.Millisecond, 100 * time.Millisecond} { // much and little traffic
		set := settings()
		set.Classes = append(set.Classes, set.Classes[0])
		set.Classes[1].Value = 5
		var list []Endpoint
		for i := range 12 {
			list = append(list, Endpoint{ID: fmt.Sprint("e", i), Zone: "x", Kind: "big", Size: 1})
		}
		b, h := start(t, set, list)
		began := h.now
		type answer struct {
			at, took time.Duration
			sending
		}
		var due []answer
		refused, got := 0, map[string]int{}
		for ; h.now < began+16*time.Second; h.now += 5 * time.Millisecond {
			since := h.now - began
			jam := since >= 4*time.Second && since < 9*time.Second
			for len(due) > 0 && due[0].at <= h.now {
				a := due[0]
				due = due[1:]
				b.Result(h.now, Result{ID: a.id, Endpoint: a.to, Latency: a.took, Finished: true})
			}
			if since%tickInterval == 0 {
				b.Timer(h.now, tickToken)
			}
			if since%gap != 0 {
				continue
			}
			before := len(h.refused)
			b.Request(h.now, Request{ID: RequestID(h.now), Class: int(since / gap % 2), Tenant: -1, TimeLeft: 3 * time.Second})
			for _, s := range h.sent {
				took := quick
				if jam {
					took = late
				}
				due = append(due, answer{h.now + took, took, s})
				if since >= 12*time.Second {
					got[s.to]++
				}
			}
			if h.sent = nil; since >= 12*time.Second {
				refused += len(h.refused) - before
			}
			if !jam { // the last late answers come after the first quick ones
				for i := len(due) - 1; i > 0 && due[i].at < due[i-1].at; i-- {
					due[i], due[i-1] = due[i-1], due[i]
				}
			}
		}
		sends := 0
		for _, n := range got {
			sends += n
		}
		if refused > 0 {
			t.Errorf("a request in %v: %d refused from 3 s after the jam on, %d sent", gap, refused, sends)
		}
		for _, e := range list {
			if mean := sends / len(list); got[e.ID] < mean/2 || got[e.ID] > 2*mean+1 {
				t.Errorf("a request in %v: %s got %d of %d", gap, e.ID, got[e.ID], sends)
			}
		}
	}
}

// TestWarmingUpEndpointGoesByItsPeers has all cold endpoints but one answer late: that one is believed no quicker, while
// warm ones are.
func TestWarmingUpEndpointGoesByItsPeers(t *testing.T) {
	var list []Endpoint
	for i := range 8 {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Zone: "x", Kind: "big", Size: 1})
	}
	b, h := start(t, settings(), list)
	for i := range 4 {
		list[i].Started = h.now - time.Second
	}
	b.Endpoints(h.now, ListFull, list)
	for i := range RequestID(60) {
		h.now += 20 * time.Millisecond
		to := ask(b, h, i)
		if to == "" {
			continue
		}
		took, outcome := 50*time.Millisecond, Served
		if to == "e0" {
			outcome = Cancelled // tells nothing
		}
		if e := b.byID[to]; e.warmth < 1 {
			took = 900 * time.Millisecond
		}
		b.Result(h.now, Result{ID: i, Endpoint: to, Outcome: outcome, Latency: took, Finished: true})
	}
	cold, warm := b.expectedLatency(b.byID["e0"], h.now), b.expectedLatency(b.byID["e5"], h.now)
	if cold < 0.5 || warm > 0.2 {
		t.Errorf("a cold endpoint that has told nothing is expected to answer in %.2f s, a warm one in %.2f s", cold, warm)
	}
}
