package pick

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/system/config"
)

// drawClusterState draws a deployment of two services and three zones in two regions.
func drawClusterState(t *rapid.T, age int) ClusterState {
	state := ClusterState{Self: "p1", Peers: []string{"p1", "p2", "p3"}, Evacuated: map[string]bool{}, Config: &config.Config{Services: map[string]*config.Service{
		"lm":  {Name: "lm", WarmUpRequestsPerSecond: 30, Engine: &config.Engine{Slots: 4, CacheTokens: 50000}},
		"app": {Name: "app"},
	}}}
	if rapid.Bool().Draw(t, "evacuated") {
		state.Evacuated[rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone")] = true
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "routes") {
		r := &config.Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Timeout: 8 * time.Second, LatencyTarget: time.Second,
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "tries"), Category: config.Category(rapid.IntRange(0, 2).Draw(t, "category")),
			Resumable: rapid.Bool().Draw(t, "resumable")}
		r.Shares = []config.Share{{Service: "lm", Weight: 1}, {Service: "app", Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight"))}}
		if rapid.Bool().Draw(t, "bound") {
			r.HomeRegions = []string{rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "home")}
		}
		state.Config.Routes = append(state.Config.Routes, r)
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "servers") {
		state.Servers = append(state.Servers, Server{ID: fmt.Sprintf("s%d", i+age%3), Service: rapid.SampledFrom([]string{"lm", "app", "other"}).Draw(t, "service"),
			Address: fmt.Sprint(i), Zone: rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone"), Slots: rapid.IntRange(0, 4).Draw(t, "slots"),
			Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0, WarmUpMax: time.Duration(rapid.IntRange(0, 2).Draw(t, "cold")) * time.Second})
	}
	return state
}

var testRegions = map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}

// TestOnlyEligibleServersArePicked runs random cluster states, requests
// and outcomes: no attempt may violate a rule, and the counts must add up.
func TestOnlyEligibleServersArePicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &randomRun{T: t, now: time.Minute, picker: New(Settings{Zone: "z1", Region: "r1", Regions: testRegions, RetryRatio: 0.2, RetrySlack: 20,
			WarmUpExcess: 1.5, WarmUpSlack: 5})}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			action := rapid.IntRange(0, 9).Draw(t, "act")
			switch {
			case step == 0 || action == 0:
				run.state = drawClusterState(t, step)
				run.picker.UpdateClusterState(run.now, run.state)
			case action == 1:
				run.updateLoads()
			case action == 2 && len(run.state.Servers) > 0:
				run.giveHints()
			case action <= 6:
				run.pick()
			default:
				run.end()
			}
			run.picker.Describe(run.now)
		}
		for _, request := range run.requests {
			run.picker.Done(run.now, request.ticket, Served, 0)
		}
		run.picker.check(t)
	})
}

// randomRun is one picker with its requests.
type randomRun struct {
	*rapid.T
	now      Time
	state    ClusterState
	picker   *Picker
	requests []*randomRequest
}

// randomRequest is the state of a request that the rules depend on, tracked independently of the picker.
type randomRequest struct {
	request    *Request
	ticket     uint64 // of the attempt in flight; 0: none
	tried      []string
	attempts   int
	mayHaveRun bool
}

func (run *randomRun) updateLoads() {
	loads := map[string]Load{}
	for _, s := range run.state.Servers {
		loads[s.ID] = Load{Requests: rapid.IntRange(0, 20).Draw(run.T, "requests"), Prefill: int64(rapid.IntRange(0, 20000).Draw(run.T, "prefill"))}
	}
	run.picker.UpdatePeerLoads(run.now, loads)
}

func (run *randomRun) giveHints() {
	id := rapid.SampledFrom(run.state.Servers).Draw(run.T, "server").ID
	run.picker.WarmingUp(run.now, id, time.Duration(rapid.IntRange(-1, 3).Draw(run.T, "left"))*time.Second)
	run.picker.ServerDraining(run.now, id)
	run.picker.ServerLoad(run.now, id, rapid.IntRange(-1, 9).Draw(run.T, "running"), rapid.IntRange(0, 9).Draw(run.T, "waiting"), rapid.IntRange(-1, 9).Draw(run.T, "slots"))
}

// newRequest draws a new request.
func (run *randomRun) newRequest() *randomRequest {
	r := &Request{Route: rapid.SampledFrom(run.state.Config.Routes).Draw(run.T, "route"), TimeLeft: time.Duration(rapid.IntRange(-1, 8000).Draw(run.T, "left")) * time.Millisecond,
		MaxTokensOut: rapid.IntRange(-1, 300).Draw(run.T, "out")}
	for range rapid.IntRange(0, 20).Draw(run.T, "parts") {
		part := PrefixPart{ID: uint64(rapid.IntRange(0, 9).Draw(run.T, "part")), Tokens: rapid.IntRange(-1, 5000).Draw(run.T, "tokens")}
		r.Prefix = append(r.Prefix, part)
		r.TokensIn += max(part.Tokens, 0)
	}
	run.picker.RecordRequest(run.now, r)
	request := &randomRequest{request: r}
	run.requests = append(run.requests, request)
	return request
}

// pick picks a server for a new request, or for an earlier one that has no attempt in flight.
func (run *randomRun) pick() {
	var request *randomRequest
	if len(run.requests) > 0 && rapid.Bool().Draw(run.T, "again") {
		if request = rapid.SampledFrom(run.requests).Draw(run.T, "request"); request.ticket != 0 {
			return
		}
	} else {
		request = run.newRequest()
	}
	result := run.picker.Pick(run.now, request.request, request.tried, request.mayHaveRun)
	if result.Decision != Send {
		run.checkRefusal(request, result)
		return
	}
	run.checkSend(request, result)
	request.ticket = result.Ticket
	request.tried = append(request.tried, result.Server.ID)
	request.attempts++
}

func (run *randomRun) checkRefusal(request *randomRequest, result Result) {
	if result.Decision == Reject && len(request.tried) > 0 {
		run.Fatal("rejected after an attempt was sent")
	}
	if result.Decision == Reject && result.RetryAfter <= 0 {
		run.Fatal("a rejection without a Retry-After")
	}
}

func (run *randomRun) checkSend(request *randomRequest, result Result) {
	route := request.request.Route
	if request.mayHaveRun && !route.Idempotent() {
		run.Fatal("a non-idempotent request was sent again after it may have run")
	}
	if request.attempts >= route.MaxAttempts {
		run.Fatal("more attempts than MaxAttempts")
	}
	listed := slices.IndexFunc(run.state.Servers, func(s Server) bool { return s.ID == result.Server.ID })
	if listed < 0 {
		run.Fatalf("%s is not listed", result.Server.ID)
	}
	target := run.state.Servers[listed]
	for _, rule := range []struct {
		name   string
		broken bool
	}{
		{"draining", target.Draining},
		{"evacuated", run.state.Evacuated[target.Zone]},
		{"outside the home regions", len(route.HomeRegions) > 0 && !slices.Contains(route.HomeRegions, testRegions[target.Zone])},
		{"tried before", slices.Contains(request.tried, target.ID)},
		{"not a service of the route", !slices.ContainsFunc(route.Shares, func(x config.Share) bool { return x.Service == target.Service })},
	} {
		if rule.broken {
			run.Fatal(rule.name)
		}
	}
}

// end ends an attempt in flight.
func (run *randomRun) end() {
	if len(run.requests) == 0 {
		return
	}
	request := rapid.SampledFrom(run.requests).Draw(run.T, "request")
	if request.ticket == 0 {
		return
	}
	if rapid.Bool().Draw(run.T, "began") {
		run.picker.ResponseStarted(run.now, request.ticket)
		run.picker.FirstEvent(run.now, request.ticket)
	}
	outcome := AttemptOutcome(rapid.IntRange(0, int(Canceled)).Draw(run.T, "outcome"))
	run.picker.Done(run.now, request.ticket, outcome, time.Duration(rapid.IntRange(0, 900).Draw(run.T, "after"))*time.Millisecond)
	run.picker.Done(run.now, request.ticket, TimedOut, 0) // ending an attempt again has no effect
	request.ticket = 0
	switch outcome {
	case ConnectionLost, TimedOut, ServerError, Served, Canceled:
		request.mayHaveRun = true
	case ConnectFailed:
		request.attempts--
	}
}

// check fails if the state of a Picker with nothing in flight is inconsistent.
func (p *Picker) check(t *rapid.T) {
	if len(p.attempts.byTicket) > 0 {
		t.Fatalf("%d attempts are still registered", len(p.attempts.byTicket))
	}
	if l := p.Loads(); len(l) > 0 {
		t.Fatalf("loads remain with nothing in flight: %v", l)
	}
	if err := p.prefixes.Verify(); err != nil {
		t.Fatal(err)
	}
	entries := 0
	for _, s := range p.servers {
		if s.pending.oldest != nil || s.pending.newest != nil || s.outlier.Probing() {
			t.Fatalf("%s has a pending attempt or probe with nothing in flight", s.ID)
		}
		if s.prefixes.Len() == 0 && s.prefixes.Tokens() != 0 {
			t.Fatalf("%s: %d prefix-cache tokens without an entry", s.ID, s.prefixes.Tokens())
		}
		entries += s.prefixes.Len()
	}
	if entries != p.prefixes.Len() {
		t.Fatalf("%d prefix-cache entries, but listed servers have %d", p.prefixes.Len(), entries)
	}
}

// maxInASecond returns the maximum number of the given times, which are sorted, within one second.
func maxInASecond(sent []Time) (peak int) {
	for i, at := range sent {
		j := i
		for j < len(sent) && sent[j] < at+time.Second {
			j++
		}
		peak = max(peak, j-i)
	}
	return peak
}

// TestWarmUpBound has many proxies send as many requests as they may to a warming server, while each learns at
// a different time of proxies that join and leave: within any second the server gets no more than its bound.
func TestWarmUpBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newMemberChange(t)
		var sent []Time
		for now := Time(0); now < 8*time.Second; now += memberChangeStep {
			for i, picker := range run.pickers {
				if run.learns(i, now) {
					picker.UpdateClusterState(now, run.state(i, run.after, now))
				}
				result := picker.Pick(now, &Request{Route: run.config.Routes[0], TimeLeft: time.Second}, nil, false)
				if result.Decision == Send {
					sent = append(sent, now)
					picker.Done(now, result.Ticket, Served, 0)
				}
			}
		}
		peak := maxInASecond(sent)
		if float64(peak) > run.rate*1.5+5 {
			t.Fatalf("%d requests in a second, want at most %v", peak, run.rate*1.5+5)
		}
		if len(sent) == 0 {
			t.Fatal("the warming server got no requests")
		}
	})
}

const memberChangeStep = 20 * time.Millisecond

// memberChange is a fleet whose members change once, by at most a third; every proxy learns of it within three seconds.
type memberChange struct {
	rate          float64 // of the warming server, in requests per second
	config        *config.Config
	before, after []string // names of the members
	pickers       []*Picker
	learnsAt      []Time // by picker
}

func newMemberChange(t *rapid.T) *memberChange {
	run := &memberChange{rate: float64(rapid.IntRange(1, 60).Draw(t, "rate"))}
	count := rapid.IntRange(1, 30).Draw(t, "proxies")
	run.config = &config.Config{Services: map[string]*config.Service{"a": {Name: "a", WarmUpRequestsPerSecond: run.rate}}}
	run.config.Routes = []*config.Route{{Host: "h", Prefix: "/", MaxAttempts: 1, Shares: []config.Share{{Service: "a", Weight: 1}}}}
	run.before = proxyNames(0, count)
	run.after = proxyNames(rapid.IntRange(0, count/3).Draw(t, "gone"), count+rapid.IntRange(0, count/3).Draw(t, "new"))
	for i := range count + count/3 {
		picker := New(Settings{Zone: "z", Region: "r", WarmUpExcess: 1.5, WarmUpSlack: 5})
		run.pickers = append(run.pickers, picker)
		run.learnsAt = append(run.learnsAt, 3*time.Second+time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag"))*time.Millisecond)
		if i < count {
			picker.UpdateClusterState(0, run.state(i, run.before, 0))
		}
	}
	return run
}

// learns reports whether a picker learns of the change in this step.
func (m *memberChange) learns(i int, now Time) bool {
	return m.learnsAt[i] <= now && m.learnsAt[i] > now-memberChangeStep
}

// state returns the state of a picker: the members, and a server that warms up for a minute from the start.
func (m *memberChange) state(i int, peers []string, now Time) ClusterState {
	return ClusterState{Config: m.config, Self: proxyName(i), Peers: peers,
		Servers: []Server{{ID: "s", Service: "a", Zone: "z", Slots: 1000, WarmUpMax: time.Minute - now}}}
}

func proxyName(i int) string { return fmt.Sprintf("p%02d", i) }

// proxyNames returns the names of the proxies with numbers from from up to, but not including, to.
func proxyNames(from, to int) (names []string) {
	for i := from; i < to; i++ {
		names = append(names, proxyName(i))
	}
	return names
}

// TestRetryBudget has proxies retry as often as they may: in any window, all
// retries together stay within the ratio of the requests plus the slack.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newRetryRun(t)
		requestsPerSecond := rapid.SliceOfN(rapid.IntRange(0, 3), 30, 30).Draw(t, "rates")
		for i := range int(30 * time.Second / retryStep) {
			now := Time(i) * retryStep
			run.requests, run.retries = append(run.requests, 0), append(run.retries, 0)
			for _, picker := range run.pickers {
				for range requestsPerSecond[int(now/time.Second)] {
					run.requests[i]++
					run.retries[i] += run.retryAll(picker, now)
				}
			}
		}
		run.check(t)
	})
}

const retryWindow, retryStep = 10 * time.Second, 200 * time.Millisecond

// retryRun is a fleet whose servers fail all requests.
type retryRun struct {
	slack             float64
	route             *config.Route
	pickers           []*Picker
	requests, retries []int // by step
}

func newRetryRun(t *rapid.T) *retryRun {
	peers := proxyNames(0, rapid.IntRange(1, 12).Draw(t, "proxies"))
	run := &retryRun{slack: float64(rapid.IntRange(0, 64).Draw(t, "slack"))}
	run.route = &config.Route{Host: "h", Prefix: "/", MaxAttempts: 9, Shares: []config.Share{{Service: "a", Weight: 1}}, Category: config.Idempotent}
	cfg := &config.Config{Services: map[string]*config.Service{"a": {Name: "a"}}, Routes: []*config.Route{run.route}}
	var servers []Server
	for i := range 8 {
		servers = append(servers, Server{ID: fmt.Sprint(i), Service: "a", Zone: "z", Slots: 1000})
	}
	for _, self := range peers {
		picker := New(Settings{Zone: "z", Region: "r", RetryRatio: 0.2, RetryWindow: retryWindow, RetrySlack: run.slack})
		picker.UpdateClusterState(0, ClusterState{Config: cfg, Self: self, Peers: peers, Servers: servers})
		run.pickers = append(run.pickers, picker)
	}
	return run
}

// retryAll has a proxy send a request as often as it may, and returns the number of retries.
func (run *retryRun) retryAll(picker *Picker, now Time) (retries int) {
	r := &Request{Route: run.route, TimeLeft: time.Minute}
	picker.RecordRequest(now, r)
	var tried []string
	for {
		result := picker.Pick(now, r, tried, false)
		if result.Decision != Send {
			return retries
		}
		if len(tried) > 0 {
			retries++
		}
		tried = append(tried, result.Server.ID)
		picker.Done(now, result.Ticket, ServerError, 0)
	}
}

// check compares the retries of each window with the requests of that window,
// of the previous one, and of the one that starts half a window earlier.
func (run *retryRun) check(t *rapid.T) {
	window := int(retryWindow / retryStep)
	sum := func(counts []int, from int) (total int) {
		for _, x := range counts[max(from, 0):min(max(from+window, 0), len(counts))] {
			total += x
		}
		return total
	}
	for from := range run.requests {
		asked := max(sum(run.requests, from), sum(run.requests, from-window), sum(run.requests, from-window/2))
		if got := sum(run.retries, from); float64(got) > 0.2*float64(asked)+run.slack {
			t.Fatalf("%d retries for %d requests and a slack of %v", got, asked, run.slack)
		}
	}
}
