package balance

import (
	"testing"
	"time"
)

// sendCall is one call of Send.
type sendCall struct {
	id      RequestID
	to      string
	timeout time.Duration
}

// host records the actions of a Balancer.
type host struct {
	now        Time
	sent       []sendCall
	refused    []RequestID
	retryAfter time.Duration // wait given with the last refusal
	failed     []RequestID
	cancelled  int
	subscribed int
	timers     []uint64
	logs       []string
}

func (recorder *host) Send(id RequestID, endpoint string, timeout time.Duration) {
	recorder.sent = append(recorder.sent, sendCall{id, endpoint, timeout})
}
func (recorder *host) Cancel(RequestID, int) { recorder.cancelled++ }
func (recorder *host) Refuse(id RequestID, after time.Duration) {
	recorder.refused, recorder.retryAfter = append(recorder.refused, id), after
}
func (recorder *host) Fail(id RequestID) { recorder.failed = append(recorder.failed, id) }
func (recorder *host) Timer(_ time.Duration, token uint64) {
	recorder.timers = append(recorder.timers, token)
}
func (recorder *host) Subscribe()      { recorder.subscribed++ }
func (recorder *host) Log(text string) { recorder.logs = append(recorder.logs, text) }

// endAttempts ends all recorded attempts, in order, and clears the record.
func (recorder *host) endAttempts(b *Balancer, now Time, outcome Outcome) {
	recorder.now = now
	sent := recorder.sent
	recorder.sent = nil
	for _, s := range sent {
		b.Result(now, Result{ID: s.id, Attempt: 0, Endpoint: s.to, Outcome: outcome, Latency: 5 * time.Millisecond,
			Finished: outcome == Served})
	}
}

// settings returns the settings of a small deployment with one idempotent class.
func settings() Settings {
	return Settings{Seed: 1, PeerCount: 1, Zone: "x", Zones: []string{"x", "y"}, Kinds: []string{"big", "small"},
		Service: "backend", MaxAttempts: 3, WarmUpTime: 10 * time.Second, StartCapacity: 0.3, OverloadMultiple: 3,
		OverloadTime: time.Second, ZoneCrossingCost: 0.03,
		Classes: []Class{{Name: "read", Effect: Idempotent, LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1}}}
}

// start returns a running Balancer that has got the list.
func start(t testing.TB, set Settings, list []Endpoint) (*Balancer, *host) {
	t.Helper()
	recorder := &host{now: time.Minute}
	b, err := New(set, recorder)
	if err != nil {
		t.Fatal(err)
	}
	b.Endpoints(recorder.now, ListCached, list)
	return b, recorder
}

func TestMisuseIsIgnored(t *testing.T) {
	b, recorder := start(t, settings(), []Endpoint{{ID: "a", Zone: "x", Kind: "big", Size: 1}})
	b.Request(recorder.now, Request{ID: 1, Tenant: -1, TimeLeft: time.Second})
	if len(recorder.sent) != 1 {
		t.Fatalf("%d attempts for a request, want 1", len(recorder.sent))
	}
	for _, test := range []struct {
		name   string
		misuse func()
	}{
		{"duplicate request", func() { b.Request(recorder.now, Request{ID: 1, Tenant: -1, TimeLeft: time.Second}) }},
		{"unknown class", func() { b.Request(recorder.now, Request{ID: 2, Class: 9, Tenant: -1, TimeLeft: time.Second}) }},
		{"result of an unknown request", func() { b.Result(recorder.now, Result{ID: 7}) }},
		{"result of an attempt not made", func() { b.Result(recorder.now, Result{ID: 1, Attempt: 1}) }},
		{"result of a negative attempt", func() { b.Result(recorder.now, Result{ID: 1, Attempt: -1}) }},
		{"answer of an unknown request", func() { b.AnswerStarted(recorder.now, 7, 0) }},
		{"answer of an attempt not made", func() { b.AnswerStarted(recorder.now, 1, 4) }},
		{"unknown client gone", func() { b.ClientDisconnected(recorder.now, 7) }},
		{"unknown endpoint removed", func() { b.Endpoints(recorder.now, ListChanges, []Endpoint{{ID: "z", State: Removed}}) }},
		{"unknown timer", func() { b.Timer(recorder.now, 99) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			sent, timers := len(recorder.sent), len(recorder.timers)
			test.misuse()
			if len(recorder.sent) != sent || len(recorder.timers) != timers || len(recorder.refused)+len(recorder.failed)+recorder.cancelled > 0 {
				t.Errorf("misuse led to an action: %+v", recorder)
			}
			if len(b.requests) != 1 || b.byID["a"].inFlight != 1 || len(b.endpoints) != 1 {
				t.Errorf("misuse changed the state: %d requests, %d attempts in flight", len(b.requests), b.byID["a"].inFlight)
			}
		})
	}
	b.Result(recorder.now, Result{ID: 1, Outcome: Served, Latency: time.Millisecond, Finished: true})
	b.Result(recorder.now, Result{ID: 1, Outcome: Served, Latency: time.Millisecond, Finished: true})
	if e := b.byID["a"]; len(b.requests) != 0 || e.inFlight != 0 || len(e.flights) != 0 {
		t.Errorf("%d requests, %d attempts in flight after a duplicate result, want none", len(b.requests), e.inFlight)
	}
}

func TestTimeGoingBack(t *testing.T) {
	// Each request still ends once, and no state is left over.
	b, recorder := start(t, settings(), twoEndpoints())
	for i := range RequestID(200) {
		recorder.now += time.Duration(i%7-3) * 300 * time.Millisecond
		b.Request(recorder.now, Request{ID: i, Tenant: -1, TimeLeft: time.Second})
		b.Timer(recorder.now, tickToken)
		recorder.endAttempts(b, recorder.now-time.Duration(i%3)*time.Second, Served)
	}
	if len(b.requests) != 0 || b.byID["a"].inFlight+b.byID["b"].inFlight != 0 || len(recorder.failed) != 0 {
		t.Errorf("%d requests left and %d failed, want none", len(b.requests), len(recorder.failed))
	}
}

// serveRequests sends n requests, 20 ms apart. Each is answered by the endpoint it was sent to, with the latency took.
func serveRequests(b *Balancer, recorder *host, n int, took time.Duration) {
	for range n {
		recorder.now += 20 * time.Millisecond
		id := RequestID(recorder.now)
		b.Request(recorder.now, Request{ID: id, Tenant: -1, TimeLeft: 3 * time.Second})
		for _, s := range recorder.sent {
			b.Result(recorder.now, Result{ID: s.id, Endpoint: s.to, Latency: took, Finished: true})
		}
		recorder.sent = nil
	}
}

func twoEndpoints() []Endpoint {
	return []Endpoint{{ID: "a", Zone: "x", Kind: "big", Size: 1}, {ID: "b", Zone: "x", Kind: "big", Size: 1}}
}

// sendRequest sends one request and returns the endpoint it was sent to, or "" if it was not sent.
func sendRequest(b *Balancer, recorder *host, id RequestID) string {
	before := len(recorder.sent)
	b.Request(recorder.now, Request{ID: id, Tenant: -1, TimeLeft: 3 * time.Second})
	if len(recorder.sent) == before {
		return ""
	}
	return recorder.sent[before].to
}
