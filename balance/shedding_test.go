package balance

import (
	"testing"
	"time"
)

// TestShortClientDeadline sends requests whose clients wait for less time than a slow endpoint takes. They go to a fast endpoint, or
// follow the usual rotation if no endpoint is fast enough. They do not trigger shedding.
func TestShortClientDeadline(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints())
	for i := range RequestID(200) {
		recorder.now += 20 * time.Millisecond
		to, took := sendRequest(b, recorder, i), 10*time.Millisecond
		if to == "b" {
			took = 150 * time.Millisecond
		}
		b.Result(recorder.now, Result{ID: i, Endpoint: to, Latency: took, Finished: true})
	}
	turns := map[string]int{}
	for i := RequestID(1000); i < 1040; i++ {
		recorder.sent = nil
		within := 100 * time.Millisecond
		if i >= 1020 {
			within = 5 * time.Millisecond
		}
		b.Request(recorder.now, Request{ID: i, Tenant: -1, TimeLeft: within})
		for _, s := range recorder.sent {
			turns[s.to]++
			b.Result(recorder.now, Result{ID: i, Endpoint: s.to, Latency: 10 * time.Millisecond, Finished: true})
		}
	}
	if b.sheddingUntil != 0 {
		t.Errorf("classes are shed until %v although no endpoint is full", b.sheddingUntil)
	}
	if turns["a"] != 30 || turns["b"] != 10 || len(recorder.refused) != 0 {
		t.Errorf("turns %v and %d refusals, want 30 at a, 10 at b and no refusals", turns, len(recorder.refused))
	}
}

func TestRefusingEverythingEnds(t *testing.T) {
	threshold := refusalThreshold * settings().Classes[0].LatencyTarget.Seconds()
	for _, test := range []struct {
		name    string
		took    float64 // latency as a multiple of the refusal threshold
		untried float64 // time, in units of recentTTL, after which endpoints must not be tried yet
		tried   float64 // time, in units of recentTTL, after which they must be tried
	}{
		{"a little too slow", 1.2, 0.1, 0.25},
		{"twice too slow", 2, 0.4, 0.6},
		{"far beyond the target", 12, 0.85, 1.05},
	} {
		b, recorder := start(t, settings(), twoEndpoints())
		serveRequests(b, recorder, 2, time.Duration(test.took*threshold*float64(time.Second)))
		at := recorder.now
		recorder.now = at + time.Duration(test.untried*float64(recentTTL))
		if to := sendRequest(b, recorder, 1); to != "" {
			t.Errorf("%s: request sent to %s although no answer in time is expected", test.name, to)
		}
		recorder.now = at + time.Duration(test.tried*float64(recentTTL))
		if sendRequest(b, recorder, 2) == "" {
			t.Errorf("%s: an unused endpoint is not tried, so its latency estimate cannot improve", test.name)
		}
	}
}

func TestLowerClassesAreShedOnlyWhenAllIsFull(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	set.Classes[1].Value = 3
	target := set.Classes[0].LatencyTarget
	b, recorder := start(t, set, twoEndpoints())
	serveRequests(b, recorder, 40, time.Duration(float64(target)*refusalThreshold*0.8))
	b.meanSeconds[1] = b.meanSeconds[0] // the lower class has a third of the value, so its threshold is 0.58 of the other's
	if sendRequest(b, recorder, 1) == "" {
		t.Fatal("the lower class is refused although no endpoint was full")
	}
	b.Result(recorder.now, Result{ID: 1, Endpoint: recorder.sent[0].to, Latency: target / 2, Finished: true})
	b.sheddingUntil = recorder.now + memoryTTL
	if to := sendRequest(b, recorder, 2); to != "" {
		t.Error("the lower class is not shed")
	}
	b.Request(recorder.now, Request{ID: 3, Class: 1, Tenant: -1, TimeLeft: 3 * time.Second})
	if last := recorder.sent[len(recorder.sent)-1]; last.id != 3 {
		t.Error("the higher class is shed as well")
	}
	// Requests fill both endpoints, which starts shedding.
	b, recorder = start(t, set, twoEndpoints())
	serveRequests(b, recorder, 40, target/2)
	for i := RequestID(10); sendRequest(b, recorder, i) != ""; i++ {
		if i > 100 {
			t.Fatal("the endpoints never become full")
		}
	}
	if recorder.now >= b.sheddingUntil {
		t.Error("all endpoints are full, but shedding has not started")
	}
}

// TestOverloadCountsAsFull slows down all answers alike. The latency of the idle fleet, not that of the overload, must determine
// when an endpoint is full.
func TestOverloadCountsAsFull(t *testing.T) {
	const idle, overloaded = 100 * time.Millisecond, 700 * time.Millisecond
	for _, test := range []struct {
		name  string
		took  time.Duration
		ticks int // number of ticks with this latency
		full  bool
	}{
		{"no overload", idle, 100, false},
		{"an overload", overloaded, 100, true},
		{"an overload so long that it counts as normal", overloaded, 3000, false},
	} {
		b, recorder := start(t, settings(), twoEndpoints())
		play := func(ticks int, took time.Duration) {
			for range ticks {
				b.Timer(recorder.now, tickToken)
				serveRequests(b, recorder, 5, took)
			}
		}
		play(100, idle)
		play(test.ticks, test.took)
		b.sheddingUntil = 0
		sendRequest(b, recorder, 1)
		if full := b.sheddingUntil != 0; full != test.full {
			t.Errorf("%s: full %v, want %v; idle latency %.3f s, now %.3f s", test.name, full, test.full, b.idleSeconds, b.fleet.secondsPerLoad())
		}
	}
}

func TestHeavyClassIsShedSooner(t *testing.T) {
	// Two classes have the same value, but the answers of the second take four times as long.
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	b, recorder := start(t, set, twoEndpoints())
	for i := range RequestID(200) {
		class := int(i % 2)
		took := time.Duration(1+3*class) * 50 * time.Millisecond
		b.Request(recorder.now, Request{ID: i, Class: class, Tenant: -1, TimeLeft: 3 * time.Second})
		to := recorder.sent[len(recorder.sent)-1].to
		b.Result(recorder.now+took, Result{ID: i, Endpoint: to, Latency: took, Finished: true})
	}
	light, heavy := b.sheddingThreshold(0), b.sheddingThreshold(1)
	if ratio := heavy / light; ratio < 0.45 || ratio > 0.55 || light != refusalThreshold*b.shortestTarget {
		t.Errorf("the shedding thresholds are %.3f and %.3f s, want the refusal threshold and half of it", light, heavy)
	}
}

// TestRefusalSaysWhen sends more requests than an endpoint can handle. The refused clients are to retry when the endpoint is
// expected to have worked off its queue. Otherwise they would all retry immediately.
func TestRefusalSaysWhen(t *testing.T) {
	b, recorder := start(t, settings(), []Endpoint{{ID: "a", Zone: "x", Kind: "big", Size: 1}})
	b.Request(recorder.now, Request{ID: 1, Tenant: -1, TimeLeft: time.Second})
	recorder.endAttempts(b, recorder.now+200*time.Millisecond, Served)
	b.Result(recorder.now, Result{ID: 1, Outcome: Served, Latency: 200 * time.Millisecond, Finished: true})
	for i := RequestID(2); len(recorder.refused) == 0; i++ {
		if i > 1000 {
			t.Fatal("the endpoint never becomes full")
		}
		b.Request(recorder.now, Request{ID: i, Tenant: -1, TimeLeft: time.Second})
	}
	first := recorder.retryAfter
	if target := b.settings.Classes[0].LatencyTarget; first <= 0 || first > target {
		t.Errorf("refusal with a wait of %v, want above 0 and at most the latency target of %v", first, target)
	}
	recorder.refused = nil
	b.Request(recorder.now+100*time.Millisecond, Request{ID: 2000, Tenant: -1, TimeLeft: 0})
	if len(recorder.refused) != 1 || recorder.retryAfter != 0 {
		t.Errorf("%d refusals with a wait of %v for a request without time left, want one without a wait",
			len(recorder.refused), recorder.retryAfter)
	}
}
