package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestFastFailureIsEjected(t *testing.T) {
	set := settings()
	set.MaxAttempts = 1
	b, recorder := start(t, set, append(twoEndpoints(), Endpoint{ID: "c", Zone: "x", Kind: "big", Size: 1}))
	serveRequests(b, recorder, 60, 20*time.Millisecond)
	// sendRequests sends n requests, gap apart, and returns how many went to a, which fails every one immediately.
	sendRequests := func(first, n RequestID, gap time.Duration) (failed int) {
		for i := first; i < first+n; i++ {
			recorder.now += gap
			to := sendRequest(b, recorder, i)
			outcome := Served
			if to == "a" {
				outcome = Errored
				failed++
			}
			b.Result(recorder.now, Result{ID: i, Endpoint: to, Outcome: outcome, Latency: time.Millisecond, Finished: outcome == Served})
		}
		return failed
	}
	if failed := sendRequests(0, 60, 20*time.Millisecond); failed == 0 || failed > 2 {
		t.Errorf("%d requests went to an endpoint that fails all of them, want 1 or 2", failed)
	}
	// After the ejection time it returns, and the next failure ejects it again immediately.
	recorder.now += ejectionTime + time.Second
	b.Timer(recorder.now, tickToken)
	if back := sendRequests(100, 12, 0); back != 1 {
		t.Errorf("%d requests went to it after its return, want 1", back)
	}
}

func TestPanic(t *testing.T) {
	// If every endpoint is ejected, the fault is assumed to be on this side, and requests are still sent.
	b, recorder := start(t, settings(), twoEndpoints())
	for _, e := range b.endpoints {
		e.ejectedUntil = recorder.now + time.Hour
	}
	if sendRequest(b, recorder, 1) != "" {
		t.Error("an ejected endpoint was used before the tick that updates panic")
	}
	b.Timer(recorder.now, tickToken)
	if sendRequest(b, recorder, 2) == "" {
		t.Error("no endpoint is used while all are ejected, want panic to suspend the ejections")
	}
}

func TestUnresponsiveEndpointGetsNothingMore(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints())
	serveRequests(b, recorder, 100, 20*time.Millisecond)
	first := sendRequest(b, recorder, 1) // never answered
	recorder.now += 2 * time.Second
	for i := RequestID(10); i < 20; i++ {
		to := sendRequest(b, recorder, i)
		if to == first {
			t.Fatalf("request %d went to an endpoint that has not answered for two latency targets", i)
		}
		b.Result(recorder.now, Result{ID: i, Endpoint: to, Latency: 20 * time.Millisecond, Finished: true})
	}
}

// TestLostAnswersCostNoTurns loses two of every fifty answers of two healthy endpoints. It guards against a lost answer that
// blocks its endpoint until it times out, and against two of them that eject it.
func TestLostAnswersCostNoTurns(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints())
	serveRequests(b, recorder, 100, 20*time.Millisecond)
	type lostAttempt struct {
		id RequestID
		at Time
		to string
	}
	var lost []lostAttempt
	turns := map[string]int{}
	const requests = 1000
	for i := range RequestID(requests) {
		recorder.now += 10 * time.Millisecond
		for len(lost) > 0 && recorder.now-lost[0].at >= 2*time.Second {
			b.Result(recorder.now, Result{ID: lost[0].id, Endpoint: lost[0].to, Outcome: TimedOut, Latency: 2 * time.Second, Finished: true})
			lost = lost[1:]
		}
		to := sendRequest(b, recorder, i)
		if turns[to]++; i%50 < 2 && to != "" {
			lost = append(lost, lostAttempt{i, recorder.now, to})
			continue
		}
		b.Result(recorder.now, Result{ID: i, Endpoint: to, Latency: 5 * time.Millisecond, Finished: true})
	}
	if len(recorder.refused) > 0 || len(recorder.logs) > 0 {
		t.Errorf("%d requests refused and log lines %v, want none", len(recorder.refused), recorder.logs)
	}
	if turns["a"] < requests*2/5 || turns["b"] < requests*2/5 {
		t.Errorf("turns %v, want about half each", turns)
	}
	if e := b.byID["a"]; len(e.flights) != e.inFlight || e.pendingAnswers() > e.inFlight {
		t.Errorf("%d flights, %d in flight, %d pending answers", len(e.flights), e.inFlight, e.pendingAnswers())
	}
}

// TestLostAttemptIsSentElsewhere loses one answer while others arrive. An idempotent request is cancelled once its answer counts as
// lost, and is sent to another endpoint; other requests are not cancelled.
func TestLostAttemptIsSentElsewhere(t *testing.T) {
	const lost = 1
	for _, effect := range []Effect{Idempotent, Deduplicated, AtMostOnce} {
		t.Run(fmt.Sprint("effect ", effect), func(t *testing.T) {
			set := settings()
			set.CancelAllowed = true
			set.Classes[0].Effect, set.Classes[0].DedupeWindow = effect, 5*time.Second
			b, recorder := start(t, set, twoEndpoints())
			serveRequests(b, recorder, 100, 20*time.Millisecond)
			first, began := sendRequest(b, recorder, lost), recorder.now
			serveUntilCancel(b, recorder)
			if effect != Idempotent {
				if recorder.cancelled > 0 {
					t.Error("a request that is not idempotent was cancelled")
				}
				return
			}
			if after := recorder.now - began; recorder.cancelled != 1 || after < 200*time.Millisecond || after > 500*time.Millisecond {
				t.Fatalf("cancelled %d times, the first after %v, want once after 200 to 500 ms", recorder.cancelled, after)
			}
			b.Result(recorder.now, Result{ID: lost, Endpoint: first, Outcome: Cancelled, Latency: recorder.now - began})
			if len(recorder.sent) != 1 || recorder.sent[0].id != lost || recorder.sent[0].to == first {
				t.Errorf("sent %v after the cancellation, want one attempt at an endpoint other than %s", recorder.sent, first)
			}
		})
	}
}

// serveUntilCancel serves requests with up to four in flight, so that each endpoint has some, until an attempt is cancelled.
func serveUntilCancel(b *Balancer, recorder *host) {
	recorder.sent = nil
	var pending []sendCall
	for i := RequestID(10); i < 200 && recorder.cancelled == 0; i++ {
		recorder.now += 10 * time.Millisecond
		if to := sendRequest(b, recorder, i); to != "" {
			pending = append(pending, sendCall{id: i, to: to})
		}
		recorder.sent = nil
		if len(pending) == 4 {
			b.Result(recorder.now, Result{ID: pending[0].id, Endpoint: pending[0].to, Latency: 30 * time.Millisecond, Finished: true})
			pending = pending[1:]
		}
	}
}

func TestRestartResetsEndpoint(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints())
	serveRequests(b, recorder, 40, 20*time.Millisecond)
	e := b.byID["a"]
	e.ejectedUntil = recorder.now + time.Hour
	again := e.Endpoint
	again.Started = recorder.now
	b.Endpoints(recorder.now, ListChanges, []Endpoint{again})
	if e.ejectedUntil != 0 || e.loadSum != 0 || e.warmth >= 1 {
		t.Errorf("a restarted endpoint keeps the state of its previous process: %+v", e)
	}
}

func TestRemovedEndpointsAreDeleted(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints())
	for i := range 1000 {
		list := []Endpoint{{ID: string(rune('c' + i)), Zone: "x", Kind: "big", Size: 1}}
		b.Endpoints(recorder.now, ListFull, list)
		serveRequests(b, recorder, 2, time.Millisecond)
	}
	if len(b.byID) > 2 || len(b.endpoints) != 1 || len(b.requests) != 0 {
		t.Errorf("%d endpoints and %d requests are still stored", len(b.byID), len(b.requests))
	}
}

func TestDiscoveryCallsBackOff(t *testing.T) {
	set := settings()
	set.SubscribeToDiscovery, set.DiscoveryDeadline = true, 10*time.Second
	b, recorder := start(t, set, twoEndpoints())
	for range 20 {
		calls := recorder.subscribed
		b.Timer(recorder.now, discoveryToken)
		b.Timer(recorder.now, discoveryToken)
		if recorder.subscribed != calls+1 {
			t.Fatalf("%d discovery calls, want one more than %d while a call is in flight", recorder.subscribed, calls)
		}
		b.Endpoints(recorder.now, ListRefused, nil)
	}
	if len(b.endpoints) != 2 {
		t.Error("a refused call changed the current list")
	}
}

// TestRetryNeedsTimeToArrive makes a deduplicated request fail near the end of its dedupe window. It guards against a retry that
// arrives after the window, for example because it has to connect first, and takes effect a second time.
func TestRetryNeedsTimeToArrive(t *testing.T) {
	for _, test := range []struct {
		after   time.Duration
		repeats int
	}{{4 * time.Second, 1}, {4800 * time.Millisecond, 0}} {
		set := settings()
		set.Classes[0].Effect, set.Classes[0].Scope, set.Classes[0].DedupeWindow = Deduplicated, ScopeAll, 5*time.Second
		b, recorder := start(t, set, twoEndpoints())
		b.Request(recorder.now, Request{ID: 1, Tenant: -1, TimeLeft: 10 * time.Second})
		recorder.endAttempts(b, recorder.now+test.after, Errored)
		if len(recorder.sent) != test.repeats {
			t.Errorf("%d retries after %v, want %d", len(recorder.sent), test.after, test.repeats)
		}
	}
}

// TestStartInTheFuture lists a process whose start time is an hour ahead. It warms up from now on, and listing it again with the
// same start time does not restart its warm-up.
func TestStartInTheFuture(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints())
	recorder.now += time.Minute
	fresh := []Endpoint{{ID: "c", Zone: "x", Kind: "big", Size: 1, Started: recorder.now + time.Hour}}
	b.Endpoints(recorder.now, ListChanges, fresh)
	listedAt := recorder.now
	for _, test := range []struct {
		after time.Duration
		want  float64
	}{{0, settings().StartCapacity}, {settings().WarmUpTime / 2, (1 + settings().StartCapacity) / 2}, {settings().WarmUpTime, 1}} {
		recorder.now = listedAt + test.after
		b.Endpoints(recorder.now, ListChanges, fresh)
		if got := b.warmthOf(b.byID["c"], recorder.now); got < test.want-1e-9 || got > test.want+1e-9 {
			t.Errorf("%v after it was first listed, its warmth is %v, want %v", test.after, got, test.want)
		}
	}
}
