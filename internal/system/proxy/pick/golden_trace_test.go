package pick

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/testsupport/golden"
)

// goldenFile holds one line per scenario: its name, seed, number of steps and digest.
// It is not in testdata because TestConformance runs every file there as a test case.
const goldenFile = "golden_trace.txt"

// trace is the digest of a run, with methods for this package's results.
type trace struct{ *golden.Digest }

// decisionTags identify decisions in the trace.
var decisionTags = map[Decision]byte{Send: 'S', Reject: 'R', GiveUp: 'X'}

// addPick adds a result of Pick, the attempt that it registered and the counters of the picker.
func (tr trace) addPick(now Time, p *Picker, r *Request, tried int, mayHaveRun bool, c Result) {
	tr.Step(decisionTags[c.Decision])
	tr.Ints(int64(now), int64(r.countedAttempts), int64(tried), int64(r.TimeLeft))
	tr.Bools(mayHaveRun)
	tr.Text(c.Server.ID)
	tr.Ints(int64(c.Ticket), int64(c.Priority), int64(c.RetryAfter), int64(c.SendWithin))
	if s := p.attempts.byTicket[c.Ticket]; s != nil {
		tr.Ints(int64(s.expectedAt), s.prefillTokens, s.memoryTokens)
		tr.Bools(s.measuresRate)
		tr.Bools(s.isRetry)
	}
	tr.addCounters(p)
}

// addCounters adds the budgets and counters of a picker.
func (tr trace) addCounters(p *Picker) {
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		g := p.groups[name]
		requests, retries := g.budget.Counts()
		tr.Floats(requests, retries, g.serviceTimeMS, g.capacityPerSlot)
	}
	tr.Floats(p.prefillRate.tokensPerMS)
	st := p.Stats()
	tr.Ints(int64(st.WarmUpStarts), int64(st.WarmUpSends), int64(st.WarmUpEnds))
}

// addLoads adds the loads that a picker shares with the others.
func (tr trace) addLoads(now Time, loads map[string]Load) {
	tr.Step('L')
	tr.Ints(int64(now), int64(len(loads)))
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		tr.Text(id)
		tr.Ints(int64(loads[id].Requests), loads[id].Prefill, loads[id].Tokens)
	}
}

// tracedSimulation returns a function that traces a simulation of a scenario; customize may add events to it.
func tracedSimulation(deployment scenario, customize func(*simulation)) func(trace, uint64) {
	return func(traced trace, seed uint64) {
		deployment.seed = seed
		simulated := newSimulation(deployment)
		simulated.onPick = func(i int, r *Request, tried int, mayHaveRun bool, c Result) {
			traced.Ints(int64(i))
			traced.addPick(simulated.now, simulated.pickers[i], r, tried, mayHaveRun, c)
		}
		simulated.onShare = func(i int, loads map[string]Load) {
			traced.Ints(int64(i))
			traced.addLoads(simulated.now, loads)
		}
		if customize != nil {
			customize(simulated)
		}
		simulated.run()
		traced.addStats(simulated)
	}
}

// addStats adds the outcomes of the requests of each kind.
func (tr trace) addStats(f *simulation) {
	for i := range f.kinds {
		t := f.stats[f.kinds[i].name]
		tr.Step('T')
		tr.Ints(int64(t.requests), int64(t.onTime), int64(t.late), int64(t.lost), int64(t.rejected), int64(t.otherRegion), int64(t.otherZone))
		tr.Floats(t.value)
		tr.Floats(t.latencies...)
	}
	tr.Ints(f.reprefilledTokens, f.firstPrefilledTokens, int64(f.newConns), int64(f.notExecuted))
}

// shortDay returns a day of a deployment with the given length.
func shortDay(deployment scenario, length time.Duration, day int) scenario {
	deployment.length = length
	return dayScenarios(deployment)[day]
}

// updateStates changes the cluster states of all pickers at a time.
func (f *simulation) updateStates(at Time, change func(i int, w *ClusterState)) {
	f.after(at, func() {
		for i, p := range f.pickers {
			w := p.state
			w.Servers = slices.Clone(f.servers)
			change(i, &w)
			p.UpdateClusterState(f.now, w)
		}
	})
}

// warmUpScenario has the servers of a zone warm up, one in three only
// according to its own hint, others drain or leave, and proxies miss updates.
func warmUpScenario(simulated *simulation) {
	zone := simulated.zones[1]
	simulated.updateStates(time.Second, func(i int, state *ClusterState) {
		state.Age = time.Duration(i) * 10 * time.Millisecond
		for j := range state.Servers {
			if s := &state.Servers[j]; s.Zone == zone && j%3 != 0 {
				s.WarmUpMax, s.WarmUpMin = 2500*time.Millisecond, 2200*time.Millisecond
			}
		}
	})
	simulated.after(1200*time.Millisecond, func() {
		for _, picker := range simulated.pickers[:len(simulated.pickers)/2] {
			for j, s := range simulated.servers {
				switch {
				case s.Zone == zone && j%3 == 0:
					picker.WarmingUp(simulated.now, s.ID, 2*time.Second)
				case j%7 == 1:
					picker.ServerDraining(simulated.now, s.ID)
				}
			}
		}
	})
	simulated.updateStates(2*time.Second, func(i int, state *ClusterState) {
		state.MembershipIncomplete, state.Stale, state.DownCount = i%4 == 1, i%4 == 2, 1
		state.Servers[0].Draining, state.Servers[1].Remaining = true, 900*time.Millisecond
		state.Evacuated, state.ZoneChanges = map[string]bool{simulated.zones[2]: true}, map[string]uint64{simulated.zones[2]: 5}
	})
	simulated.updateStates(3*time.Second, func(i int, state *ClusterState) {
		state.MembershipIncomplete, state.Stale, state.Evacuated, state.ZoneChanges = false, false, nil, map[string]uint64{simulated.zones[2]: 9}
		state.ListCoversSeq = uint64(7 + i%3)
	})
	simulated.updateStates(5*time.Second, func(_ int, state *ClusterState) { state.ListCoversSeq = 9 })
}

// overloaded is a deployment that gets more requests than it can serve.
func overloaded() scenario {
	deployment := shortDay(aula(), 4*time.Second, 2)
	deployment.queue, deployment.slots = 12, 8
	deployment.traffic = map[string]float64{"ca": 150, "ia": 300, "cb": 150}
	return deployment
}

// longPrompts is a mix in which most of the work is prompts that share prefixes.
func longPrompts() scenario {
	deployment := promptMix{"", 0.75, slowPrefill, map[string][]int{"a": {8}, "b": {5}, "c": {3}}, 3}.scenario()
	deployment.length = 5 * time.Second
	return deployment
}

// randomOperations runs one picker with operations drawn from the seed: all outcomes, cluster states, hints and loads.
func randomOperations(traced trace, seed uint64) {
	runner := newDriver(traced, seed)
	for range 6000 {
		runner.now += time.Duration(runner.rng.IntN(20)) * time.Millisecond
		switch runner.rng.IntN(12) {
		case 0:
			if runner.rng.IntN(20) == 0 {
				runner.updateState()
			}
		case 1:
			runner.giveHint()
		case 2:
			runner.shareLoads()
		case 3, 4, 5, 6:
			runner.sendNew()
		default:
			runner.endAttempt()
		}
	}
}

// driver runs one picker and tracks its requests in flight.
type driver struct {
	tr       trace
	rng      *rand.Rand
	now      Time
	p        *Picker
	cfg      *config.Config
	servers  []Server
	inFlight []*driverRequest
}

type driverRequest struct {
	r          *Request
	tried      []string
	mayHaveRun bool
	ticket     uint64
}

func newDriver(traced trace, seed uint64) *driver {
	created := &driver{tr: traced, rng: rand.New(rand.NewPCG(seed, 11)), cfg: &config.Config{Services: map[string]*config.Service{
		"a": {Name: "a", WarmUpRequestsPerSecond: 20, Engine: &config.Engine{Slots: 6, CacheTokens: 60_000, TokensPerEvent: 5}}, "b": {Name: "b", WarmUpRequestsPerSecond: 5}}}}
	both := []config.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}
	created.cfg.Routes = []*config.Route{
		{Host: "h", Prefix: "/", Category: config.Streaming, MaxAttempts: 3, Timeout: 5 * time.Second, LatencyTarget: time.Second, Shares: both[:1], Resumable: true},
		{Host: "h", Prefix: "/i", Category: config.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second, Shares: both, Priority: 3},
		{Host: "h", Prefix: "/n", Category: config.Streaming, MaxAttempts: 4, Timeout: time.Second, Shares: both, HomeRegions: []string{"r"}},
	}
	for i := range 12 {
		s := Server{ID: fmt.Sprint("s", i), Service: "a", Address: fmt.Sprint("x", i), Zone: fmt.Sprint("z", i%3), Region: []string{"r", "r", "q"}[i%3], Slots: 6}
		if i > 8 {
			s.Service = "b"
		}
		created.servers = append(created.servers, s)
	}
	created.p = New(Settings{Zone: "z0", Region: "r", RetryRatio: 0.2, RetrySlack: 20, WarmUpExcess: 1.5, WarmUpSlack: 5, Seed: seed})
	created.updateState()
	return created
}

func (d *driver) updateState() {
	w := ClusterState{Config: d.cfg, Servers: slices.Clone(d.servers), Self: "p1", Peers: []string{"p0", "p1", "p2"}[:2+d.rng.IntN(2)],
		ListCoversSeq: uint64(d.rng.IntN(4)), DownCount: d.rng.IntN(2), MembershipIncomplete: d.rng.IntN(8) == 0, Stale: d.rng.IntN(8) == 0,
		ZoneChanges: map[string]uint64{"z0": uint64(d.rng.IntN(4))}, Evacuated: map[string]bool{"z1": d.rng.IntN(4) == 0}}
	for i := range w.Servers {
		switch s := &w.Servers[i]; d.rng.IntN(10) {
		case 0:
			s.WarmUpMax = 2 * time.Second
			s.WarmUpMin = time.Second
		case 1:
			s.Draining = true
		}
	}
	d.p.UpdateClusterState(d.now, w)
}

func (d *driver) giveHint() {
	id := fmt.Sprint("s", d.rng.IntN(12))
	switch d.rng.IntN(8) {
	case 0:
		d.p.WarmingUp(d.now, id, time.Duration(d.rng.IntN(3))*700*time.Millisecond)
	case 1:
		d.p.ServerDraining(d.now, id)
	case 2:
		d.p.SetIdleTimeout(id, 8*time.Second)
	default:
		d.p.ServerLoad(d.now, id, d.rng.IntN(8), d.rng.IntN(10), 6)
	}
}

func (d *driver) shareLoads() {
	peerLoads := map[string]Load{}
	for i := range 12 {
		peerLoads[fmt.Sprint("s", i)] = Load{Requests: d.rng.IntN(9), Prefill: int64(d.rng.IntN(5000)), Tokens: int64(d.rng.IntN(9000))}
	}
	d.p.UpdatePeerLoads(d.now, peerLoads)
	shared := d.p.Loads()
	d.p.PromptDemands().AddTo(shared)
	d.tr.addLoads(d.now, shared)
}

func (d *driver) sendNew() {
	r := &Request{Route: d.cfg.Routes[d.rng.IntN(3)], MaxTokensOut: d.rng.IntN(300), TimeLeft: time.Duration(100+d.rng.IntN(4000)) * time.Millisecond}
	for _, part := range []PrefixPart{{ID: uint64(1 + d.rng.IntN(3)), Tokens: 1500}, {ID: uint64(10 + d.rng.IntN(20)), Tokens: 400}, {ID: d.rng.Uint64(), Tokens: 1 + d.rng.IntN(900)}} {
		r.Prefix = append(r.Prefix, part)
		r.TokensIn += part.Tokens
	}
	d.p.RecordRequest(d.now, r)
	d.pick(&driverRequest{r: r})
}

// pick picks a server for a request, and keeps the request if it got one.
func (d *driver) pick(o *driverRequest) {
	c := d.p.Pick(d.now, o.r, o.tried, o.mayHaveRun)
	d.tr.addPick(d.now, d.p, o.r, len(o.tried), o.mayHaveRun, c)
	if c.Decision == Send {
		o.ticket, o.tried = c.Ticket, append(o.tried, c.Server.ID)
		d.inFlight = append(d.inFlight, o)
	}
}

// randomOutcomes are the outcomes to draw from; common ones are repeated.
var randomOutcomes = []AttemptOutcome{Served, Served, Served, Served, Served, Served, NotExecuted, NotExecuted, Misdirected, ConnectFailed, ConnectionLost, TimedOut, ServerError, Canceled}

// endAttempt ends a random attempt and retries the request if it failed.
func (d *driver) endAttempt() {
	if len(d.inFlight) == 0 {
		return
	}
	index := d.rng.IntN(len(d.inFlight))
	request := d.inFlight[index]
	d.inFlight = slices.Delete(d.inFlight, index, index+1)
	if d.rng.IntN(4) > 0 {
		d.p.ResponseStarted(d.now, request.ticket)
		d.p.FirstEvent(d.now, request.ticket)
	}
	out := randomOutcomes[d.rng.IntN(len(randomOutcomes))]
	d.p.Done(d.now, request.ticket, out, time.Duration(d.rng.IntN(600))*time.Millisecond)
	switch out {
	case Served, Canceled:
		return
	case ConnectionLost, TimedOut, ServerError:
		request.mayHaveRun = true
	}
	d.pick(request)
}

// goldenScenarios returns the scenarios that are traced.
func goldenScenarios() []golden.Scenario {
	var all []golden.Scenario
	add := func(name string, seed uint64, play func(trace, uint64)) {
		all = append(all, golden.Scenario{Name: name, Seed: seed, Play: func(_ *testing.T, digest *golden.Digest, seed uint64) {
			play(trace{digest}, seed)
		}})
	}
	add("usual", 1, tracedSimulation(shortDay(aula(), 5*time.Second, 0), nil))
	add("evacuated", 2, tracedSimulation(shortDay(hakata(), 5*time.Second, 1), nil))
	add("dark", 3, tracedSimulation(shortDay(aula(), 6*time.Second, 3), nil))
	add("reset", 4, tracedSimulation(shortDay(hakata(), 6*time.Second, 4), nil))
	add("cold", 5, tracedSimulation(shortDay(aula(), 6*time.Second, 0), warmUpScenario))
	add("overloaded", 6, tracedSimulation(overloaded(), nil))
	add("long-prompts", 7, tracedSimulation(longPrompts(), nil))
	for seed := range uint64(4) {
		add("any-operations", seed+1, randomOperations)
	}
	return all
}

// TestGoldenTrace compares every pick and every shared load with the recorded digests, step by step. After
// a change that is meant to change picks, regenerate the file with GRADEUSHER_WRITE_GOLDEN=1 and say so.
func TestGoldenTrace(t *testing.T) { golden.CompareDigests(t, goldenFile, goldenScenarios()) }
