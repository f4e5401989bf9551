package balance

import (
	"testing"
	"time"
)

// TestOutOfService takes an endpoint out of service. It gets no new requests, whatever the list says, until it is put back.
func TestOutOfService(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints())
	serveRequests(b, recorder, 20, 20*time.Millisecond)
	b.SetOutOfService(recorder.now, []string{"a", "not listed"})
	restarted := twoEndpoints()
	restarted[0].Started = recorder.now
	for name, change := range map[string]func(){
		"taken out":    func() {},
		"taken twice":  func() { b.SetOutOfService(recorder.now, []string{"a", "not listed"}) },
		"listed again": func() { b.Endpoints(recorder.now, ListFull, twoEndpoints()) },
		"restarted":    func() { b.Endpoints(recorder.now, ListChanges, restarted[:1]) },
		"gone and back": func() {
			b.Endpoints(recorder.now, ListFull, twoEndpoints()[1:])
			b.Endpoints(recorder.now, ListFull, twoEndpoints())
		},
	} {
		change()
		for id := range RequestID(20) {
			recorder.now += time.Second
			if to := sendRequest(b, recorder, RequestID(recorder.now)+id); to == "a" {
				t.Fatalf("%s: the endpoint that is out of service got a request", name)
			}
			recorder.endAttempts(b, recorder.now, Served)
		}
		if all, avoided := b.CountListed(recorder.now); all != 2 || avoided != 1 {
			t.Errorf("%s: %d listed and %d avoided, want 2 and 1", name, all, avoided)
		}
	}
	b.SetOutOfService(recorder.now, nil)
	if _, avoided := b.CountListed(recorder.now); avoided != 0 {
		t.Errorf("%d endpoints are avoided although none is out of service", avoided)
	}
	for id := range RequestID(200) {
		recorder.now += 20 * time.Millisecond
		if sendRequest(b, recorder, RequestID(recorder.now)+id) == "a" {
			return
		}
		recorder.endAttempts(b, recorder.now, Served)
	}
	t.Error("an endpoint that was put back is not used")
}

// TestReturnToServiceWarmsUp returns an endpoint to service whose restart the list may not show yet. It warms up from its return,
// or from its listed start once that is known.
func TestReturnToServiceWarmsUp(t *testing.T) {
	for _, test := range []struct {
		name    string
		started Time // start listed while it is out of service, since it was taken out; 0: not listed
		isWarm  bool
	}{{"restart not listed", 0, false}, {"restart listed", 2 * time.Second, false}, {"restart listed, warm since", 2 * time.Second, true}} {
		b, recorder := start(t, settings(), twoEndpoints())
		serveRequests(b, recorder, 20, 20*time.Millisecond)
		began := recorder.now
		b.SetOutOfService(recorder.now, []string{"a"})
		if recorder.now += 4 * time.Second; test.started != 0 {
			again := twoEndpoints()[:1]
			again[0].Started = began + test.started
			b.Endpoints(recorder.now, ListChanges, again)
		}
		if test.isWarm {
			recorder.now += settings().WarmUpTime
		}
		b.SetOutOfService(recorder.now, nil)
		returned := b.byID["a"]
		if got := returned.warmth >= 1; got != test.isWarm {
			t.Errorf("%s: warmth %.2f after its return", test.name, returned.warmth)
		}
		got := 0
		for range 40 {
			recorder.now += time.Millisecond
			if sendRequest(b, recorder, RequestID(recorder.now)) == "a" {
				got++
			}
			recorder.endAttempts(b, recorder.now, Served)
		}
		// Its share by its warmth, initially 0.3, times half of OverloadMultiple.
		if (got > 16) != test.isWarm {
			t.Errorf("%s: it got %d of 40 requests", test.name, got)
		}
		late := twoEndpoints()[:1]
		late[0].Started = began + time.Second
		recorder.now = max(recorder.now, began+time.Second)
		b.Endpoints(recorder.now, ListChanges, late)
		if want := began + time.Second; returned.warmUpStart != want {
			t.Errorf("%s: warms up from %v, want from its listed start %v", test.name, returned.warmUpStart, want)
		}
	}
}

// TestReturnToServiceWithStartInTheFuture returns an endpoint to service whose listed start is ahead of the sidecar's clock. It may
// have restarted while it was out of service, so it must count as cold although the listed start is later.
func TestReturnToServiceWithStartInTheFuture(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints())
	again := twoEndpoints()[:1]
	again[0].Started = recorder.now + time.Hour
	b.Endpoints(recorder.now, ListChanges, again)
	recorder.now += settings().WarmUpTime
	b.SetOutOfService(recorder.now, []string{"a"})
	recorder.now += time.Second
	b.SetOutOfService(recorder.now, nil)
	if e := b.byID["a"]; e.warmth >= 1 || e.warmUpStart != recorder.now {
		t.Errorf("warms up from %v with warmth %.2f, want from %v", e.warmUpStart, e.warmth, recorder.now)
	}
}

func TestKnows(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints())
	b.SetOutOfService(recorder.now, []string{"c"})
	b.Endpoints(recorder.now, ListFull, twoEndpoints()[:1])
	for id, want := range map[string]bool{"a": true, "b": false, "c": true, "d": false, "": false} {
		if b.Knows(id) != want {
			t.Errorf("Knows(%q) returned %v", id, !want)
		}
	}
}

// TestOnlyWarmingUpEndpointsAreLeft takes all endpoints out of service except a cold one. It gets the share of the requests that
// corresponds to its part of the fleet's capacity, and not all requests.
func TestOnlyWarmingUpEndpointsAreLeft(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints())
	serveRequests(b, recorder, 40, 20*time.Millisecond)
	b.SetOutOfService(recorder.now, []string{"a"})
	b.SetOutOfService(recorder.now, []string{"b"}) // a has returned and is cold
	const n = 100
	sent := 0
	for range n {
		recorder.now += time.Millisecond
		if to := sendRequest(b, recorder, RequestID(recorder.now)); to != "" {
			sent++
		}
		recorder.endAttempts(b, recorder.now, Served)
	}
	// It is half of the fleet and has 0.3 of its capacity.
	if sent < n/10 || sent > n/5 {
		t.Errorf("%d of %d requests were sent to the cold endpoint", sent, n)
	}
}
