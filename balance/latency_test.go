package balance

import (
	"slices"
	"testing"
	"time"
)

func TestSlowedEndpointLosesTurnsBeforeItAnswers(t *testing.T) {
	// Both endpoints have answered in 200 ms. Then "a" is stuck with two requests, for less time than the refusal threshold.
	b, recorder := start(t, settings(), twoEndpoints())
	serveRequests(b, recorder, 20, 200*time.Millisecond)
	for i := range RequestID(4) {
		if to := sendRequest(b, recorder, i); to == "b" {
			b.Result(recorder.now, Result{ID: i, Endpoint: to, Latency: 200 * time.Millisecond, Finished: true})
		}
	}
	if b.byID["a"].inFlight == 0 {
		t.Fatal("no request is in flight at endpoint a")
	}
	before := b.expectedLatency(b.byID["a"], recorder.now)
	recorder.now += 600 * time.Millisecond
	if after := b.expectedLatency(b.byID["a"], recorder.now); after < before*1.2 {
		t.Errorf("expected latency of a stuck endpoint is %.3f s, %.3f s before", after, before)
	}
}

func TestLittleUsedEndpointUsesGroupEstimate(t *testing.T) {
	// Small endpoints are idle and fast, while the big one is overloaded and slow although it has twice the size. The expected
	// latency of a small endpoint that was never used must not be that of the big one.
	list := []Endpoint{{ID: "a", Zone: "x", Kind: "big", Size: 2}, {ID: "b", Zone: "x", Kind: "small", Size: 1},
		{ID: "c", Zone: "x", Kind: "small", Size: 1}}
	b, recorder := start(t, settings(), list)
	for i := range RequestID(60) {
		to := sendRequest(b, recorder, i)
		took := 600 * time.Millisecond
		if to != "a" || i < 10 {
			took = 50 * time.Millisecond
		}
		recorder.now += took
		b.Result(recorder.now, Result{ID: i, Endpoint: to, Latency: took, Finished: true})
	}
	unused := b.byID["c"]
	unused.latencySum, unused.loadSum = 0, 0
	if got := b.expectedLatency(unused, recorder.now); got > 0.15 {
		t.Errorf("expected latency of an unused endpoint in a fast group is %.3f s", got)
	}
}

func TestGroupEstimateIncludesPendingAnswers(t *testing.T) {
	// Three endpoints of a group, fast so far, each have a request in flight for half a second. The fourth, which is idle and
	// has no answers, is not expected to be fast either.
	b, recorder := start(t, settings(), endpointList(4))
	serveRequests(b, recorder, 40, 20*time.Millisecond)
	for i := range RequestID(3) {
		sendRequest(b, recorder, i)
	}
	idle := b.endpoints[slices.IndexFunc(b.endpoints, func(e *endpoint) bool { return e.inFlight == 0 })]
	idle.latencySum, idle.loadSum = 0, 0
	before := b.expectedLatency(idle, recorder.now)
	recorder.now += tickInterval * 5
	b.Timer(recorder.now, tickToken)
	if after := b.expectedLatency(idle, recorder.now); after < 1.3*before {
		t.Errorf("expected latency of the idle endpoint is %.4f s while answers of its peers are overdue, %.4f s before", after, before)
	}
}

// TestWarmingUpEndpointIgnoresOverloadedPeers makes all warm endpoints answer too late and checks that the expected latency of a
// freshly started endpoint depends only on its own answers.
func TestWarmingUpEndpointIgnoresOverloadedPeers(t *testing.T) {
	threshold := time.Duration(refusalThreshold * float64(settings().Classes[0].LatencyTarget))
	for _, test := range []struct {
		name      string
		latency   time.Duration // latency of the fresh endpoint's answers; 0: it has none
		wantBelow bool
	}{
		{"no answer of its own", 0, true},
		{"quick answers of its own", threshold / 4, true},
		{"late answers of its own", 2 * threshold, false},
	} {
		b, recorder := start(t, settings(), twoEndpoints())
		serveRequests(b, recorder, 40, 2*threshold)
		b.Endpoints(recorder.now, ListChanges, []Endpoint{{ID: "c", Zone: "x", Kind: "big", Size: 1, Started: recorder.now}})
		fresh := b.byID["c"]
		if n := 20.0; test.latency > 0 {
			fresh.latencySum, fresh.loadSum, fresh.freshness = n*test.latency.Seconds(), n*(1+unseenLoad), 1
		}
		if got := b.expectedLatency(fresh, recorder.now); got <= threshold.Seconds() != test.wantBelow {
			t.Errorf("%s: expected latency of the fresh endpoint is %.2f s, with a threshold of %.2f s", test.name, got, threshold.Seconds())
		}
		if got := b.expectedLatency(b.byID["a"], recorder.now); got <= threshold.Seconds() {
			t.Errorf("%s: expected latency of an overloaded warm endpoint is only %.2f s", test.name, got)
		}
	}
}

// TestUnresponsiveEndpointsDoNotSlowTheirPeers makes some endpoints unresponsive, as if a zone had failed. Their timeouts must not
// increase the expected latency of the others.
func TestUnresponsiveEndpointsDoNotSlowTheirPeers(t *testing.T) {
	took := 100 * time.Millisecond
	b, recorder := start(t, settings(), endpointList(4))
	serveRequests(b, recorder, 40, took)
	for i := range RequestID(40) {
		recorder.now += 20 * time.Millisecond
		to := sendRequest(b, recorder, i+1)
		r := Result{ID: i + 1, Endpoint: to, Latency: took, Finished: true}
		if to == "s0000" || to == "s0001" {
			r.Outcome, r.Latency = TimedOut, 3*time.Second
		}
		b.Result(recorder.now, r)
	}
	if got := b.expectedLatency(b.byID["s0002"], recorder.now); got > 1.5*took.Seconds() {
		t.Errorf("an endpoint that answers in %v has an expected latency of %.2f s while others are unresponsive", took, got)
	}
	b.Endpoints(recorder.now, ListChanges, []Endpoint{{ID: "s0009", Zone: "x", Kind: "big", Size: 1}})
	if got := b.expectedLatency(b.byID["s0009"], recorder.now); got > 1.5*took.Seconds() {
		t.Errorf("an unused endpoint has an expected latency of %.2f s while others are unresponsive", got)
	}
}
