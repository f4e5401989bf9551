package balance

import (
	"testing"
	"time"
)

// TestOutOfService takes an endpoint out: it gets nothing new, whatever the list says of it, until it is put back.
func TestOutOfService(t *testing.T) {
	b, h := start(t, settings(), pair())
	serve(b, h, 20, 20*time.Millisecond)
	b.SetOutOfService(h.now, []string{"a", "not listed"})
	again := pair()
	again[0].Started = h.now
	for name, change := range map[string]func(){
		"taken out":    func() {},
		"taken twice":  func() { b.SetOutOfService(h.now, []string{"a", "not listed"}) },
		"listed again": func() { b.Endpoints(h.now, ListFull, pair()) },
		"restarted":    func() { b.Endpoints(h.now, ListChanges, again[:1]) },
		"gone and back": func() {
			b.Endpoints(h.now, ListFull, pair()[1:])
			b.Endpoints(h.now, ListFull, pair())
		},
	} {
		change()
		for id := range RequestID(20) {
			h.now += time.Second
			if to := ask(b, h, RequestID(h.now)+id); to == "a" {
				t.Fatalf("%s: it got a request", name)
			}
			h.answer(b, h.now, Served)
		}
		if all, avoided := b.CountListed(h.now); all != 2 || avoided != 1 {
			t.Errorf("%s: %d listed and %d avoided, want 2 and 1", name, all, avoided)
		}
	}
	b.SetOutOfService(h.now, nil)
	if _, avoided := b.CountListed(h.now); avoided != 0 {
		t.Errorf("%d are avoided though none is out", avoided)
	}
	for id := range RequestID(200) {
		h.now += 20 * time.Millisecond
		if ask(b, h, RequestID(h.now)+id) == "a" {
			return
		}
		h.answer(b, h.now, Served)
	}
	t.Error("an endpoint that was put back is not used")
}

// TestReturnToServiceWarmsUp puts an endpoint back whose restart the list has not told yet: it gets a cold one's turns, from its
// listed start on once that is known.
func TestReturnToServiceWarmsUp(t *testing.T) {
	for _, tt := range []struct {
		name    string
		started Time // listed while it is out, after the second it was taken out in; 0: not
		warm    bool
	}{{"not told", 0, false}, {"told", 2 * time.Second, false}, {"told, and warm since", 2 * time.Second, true}} {
		b, h := start(t, settings(), pair())
		serve(b, h, 20, 20*time.Millisecond)
		began := h.now
		b.SetOutOfService(h.now, []string{"a"})
		if h.now += 4 * time.Second; tt.started != 0 {
			again := pair()[:1]
			again[0].Started = began + tt.started
			b.Endpoints(h.now, ListChanges, again)
		}
		if tt.warm {
			h.now += settings().WarmUpTime
		}
		b.SetOutOfService(h.now, nil)
		e := b.byID["a"]
		if got := e.warmth >= 1; got != tt.warm {
			t.Errorf("%s: warmth %.2f", tt.name, e.warmth)
		}
		got := 0
		for range 40 {
			h.now += time.Millisecond
			if ask(b, h, RequestID(h.now)) == "a" {
				got++
			}
			h.answer(b, h.now, Served)
		}
		// Its share by its warmth, 0.3 at first, times half the fall multiple.
		if (got > 16) != tt.warm {
			t.Errorf("%s: %d of 40 requests came to it", tt.name, got)
		}
		late := pair()[:1]
		late[0].Started = began + time.Second
		h.now = max(h.now, began+time.Second)
		b.Endpoints(h.now, ListChanges, late)
		if want := began + time.Second; e.warmUpStart != want {
			t.Errorf("%s: cold from %v, want its listed start %v", tt.name, e.warmUpStart, want)
		}
	}
}

// TestReturnToServiceWithClockAhead puts an endpoint back whose listed start lies ahead of the sidecar's clock: taken out and put
// back after it was told, it may have been restarted in between, and is cold.
func TestReturnToServiceWithClockAhead(t *testing.T) {
	b, h := start(t, settings(), pair())
	again := pair()[:1]
	again[0].Started = h.now + time.Hour
	b.Endpoints(h.now, ListChanges, again)
	h.now += settings().WarmUpTime
	b.SetOutOfService(h.now, []string{"a"})
	h.now += time.Second
	b.SetOutOfService(h.now, nil)
	if e := b.byID["a"]; e.warmth >= 1 || e.warmUpStart != h.now {
		t.Errorf("cold from %v with warmth %.2f, want from %v", e.warmUpStart, e.warmth, h.now)
	}
}

func TestKnows(t *testing.T) {
	b, h := start(t, settings(), pair())
	b.SetOutOfService(h.now, []string{"c"})
	b.Endpoints(h.now, ListFull, pair()[:1])
	for id, want := range map[string]bool{"a": true, "b": false, "c": true, "d": false, "": false} {
		if b.Knows(id) != want {
			t.Errorf("knows %q: %v", id, !want)
		}
	}
}

// TestOnlyWarmingUpEndpointsAreLeft takes out all but an endpoint that is cold: it gets the part of the requests that it could do
// of the whole fleet's, and not all at once.
func TestOnlyWarmingUpEndpointsAreLeft(t *testing.T) {
	b, h := start(t, settings(), pair())
	serve(b, h, 40, 20*time.Millisecond)
	b.SetOutOfService(h.now, []string{"a"})
	b.SetOutOfService(h.now, []string{"b"}) // a is back, and cold
	const n = 100
	sent := 0
	for range n {
		h.now += time.Millisecond
		if to := ask(b, h, RequestID(h.now)); to != "" {
			sent++
		}
		h.answer(b, h.now, Served)
	}
	// It is half of the fleet, and has 0.3 of its capacity.
	if sent < n/10 || sent > n/5 {
		t.Errorf("%d of %d requests were sent", sent, n)
	}
}
