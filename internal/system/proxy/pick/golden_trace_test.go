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
func (tr trace) choice(now Time, p *Picker, r *Request, tried int, offered bool, c Result) {
	tr.Step(decisionTags[c.Decision])
	tr.Ints(int64(now), int64(r.arrived), int64(tried), int64(r.TimeLeft))
	tr.Bools(offered)
	tr.Text(c.Server.ID)
	tr.Ints(int64(c.Ticket), int64(c.Priority), int64(c.RetryAfter), int64(c.SendWithin))
	if s := p.attempts.byTicket[c.Ticket]; s != nil {
		tr.Ints(int64(s.expectedAt), s.prefillTokens, s.memoryTokens)
		tr.Bools(s.measuresRate)
		tr.Bools(s.isRetry)
	}
	tr.spent(p)
}

// addCounters adds the budgets and counters of a picker.
func (tr trace) spent(p *Picker) {
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
func (tr trace) loads(now Time, loads map[string]Load) {
	tr.Step('L')
	tr.Ints(int64(now), int64(len(loads)))
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		tr.Text(id)
		tr.Ints(int64(loads[id].Requests), loads[id].Prefill, loads[id].Tokens)
	}
}

// tracedSimulation returns a function that traces a simulation of a scenario; customize may add events to it.
func tracedFleet(deployment scenario, more func(*simulation)) func(trace, uint64) {
	return func(traced trace, seed uint64) {
		deployment.seed = seed
		played := newSimulation(deployment)
		played.onPick = func(i int, r *Request, tried int, offered bool, c Result) {
			traced.Ints(int64(i))
			traced.choice(played.now, played.pickers[i], r, tried, offered, c)
		}
		played.onShare = func(i int, loads map[string]Load) {
			traced.Ints(int64(i))
			traced.loads(played.now, loads)
		}
		if more != nil {
			more(played)
		}
		played.run()
		traced.tallies(played)
	}
}

// addStats adds the outcomes of the requests of each kind.
func (tr trace) tallies(f *simulation) {
	for i := range f.kinds {
		t := f.tallies[f.kinds[i].name]
		tr.Step('T')
		tr.Ints(int64(t.asked), int64(t.inTime), int64(t.late), int64(t.lost), int64(t.refused), int64(t.abroad), int64(t.across))
		tr.Floats(t.value)
		tr.Floats(t.latencies...)
	}
	tr.Ints(f.reread, f.firstRead, int64(f.dials), int64(f.unexecuted))
}

// shortDay returns a day of a deployment with the given length.
func shortDay(deployment scenario, length time.Duration, day int) scenario {
	deployment.length = length
	return days(deployment)[day]
}

// updateEachState changes the cluster states of all pickers at a time.
func (f *simulation) updateEachState(at Time, change func(i int, w *ClusterState)) {
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
func warmUpScenario(played *simulation) {
	zone := played.zones[1]
	played.updateEachState(time.Second, func(i int, state *ClusterState) {
		state.Age = time.Duration(i) * 10 * time.Millisecond
		for j := range state.Servers {
			if s := &state.Servers[j]; s.Zone == zone && j%3 != 0 {
				s.WarmUpMax, s.WarmUpMin = 2500*time.Millisecond, 2200*time.Millisecond
			}
		}
	})
	played.after(1200*time.Millisecond, func() {
		for _, picker := range played.pickers[:len(played.pickers)/2] {
			for j, s := range played.servers {
				switch {
				case s.Zone == zone && j%3 == 0:
					picker.WarmingUp(played.now, s.ID, 2*time.Second)
				case j%7 == 1:
					picker.ServerDraining(played.now, s.ID)
				}
			}
		}
	})
	played.updateEachState(2*time.Second, func(i int, state *ClusterState) {
		state.MembershipIncomplete, state.Stale, state.DownCount = i%4 == 1, i%4 == 2, 1
		state.Servers[0].Draining, state.Servers[1].Remaining = true, 900*time.Millisecond
		state.Evacuated, state.ZoneChanges = map[string]bool{played.zones[2]: true}, map[string]uint64{played.zones[2]: 5}
	})
	played.updateEachState(3*time.Second, func(i int, state *ClusterState) {
		state.MembershipIncomplete, state.Stale, state.Evacuated, state.ZoneChanges = false, false, nil, map[string]uint64{played.zones[2]: 9}
		state.ListCoversSeq = uint64(7 + i%3)
	})
	played.updateEachState(5*time.Second, func(_ int, state *ClusterState) { state.ListCoversSeq = 9 })
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
	deployment := mixture{"", 0.75, slowReader, map[string][]int{"a": {8}, "b": {5}, "c": {3}}, 3}.scenario()
	deployment.length = 5 * time.Second
	return deployment
}

// randomOperations runs one picker with operations drawn from the seed: all outcomes, cluster states, hints and loads.
func anyOperations(traced trace, seed uint64) {
	driven := newDriver(traced, seed)
	for range 6000 {
		driven.now += time.Duration(driven.rng.IntN(20)) * time.Millisecond
		switch driven.rng.IntN(12) {
		case 0:
			if driven.rng.IntN(20) == 0 {
				driven.updateState()
			}
		case 1:
			driven.giveHint()
		case 2:
			driven.shareLoads()
		case 3, 4, 5, 6:
			driven.sendNew()
		default:
			driven.endOne()
		}
	}
}

// driver runs one picker and tracks its requests in flight.
type driver struct {
	tr      trace
	rng     *rand.Rand
	now     Time
	p       *Picker
	cfg     *config.Config
	servers []Server
	open    []*drivenRequest
}

type drivenRequest struct {
	r       *Request
	tried   []string
	offered bool
	ticket  uint64
}

func newDriver(traced trace, seed uint64) *driver {
	driven := &driver{tr: traced, rng: rand.New(rand.NewPCG(seed, 11)), cfg: &config.Config{Services: map[string]*config.Service{
		"a": {Name: "a", WarmUpRequestsPerSecond: 20, Engine: &config.Engine{Slots: 6, CacheTokens: 60_000, TokensPerEvent: 5}}, "b": {Name: "b", WarmUpRequestsPerSecond: 5}}}}
	both := []config.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}
	driven.cfg.Routes = []*config.Route{
		{Host: "h", Prefix: "/", Category: config.Streaming, MaxAttempts: 3, Timeout: 5 * time.Second, LatencyTarget: time.Second, Shares: both[:1], Resumable: true},
		{Host: "h", Prefix: "/i", Category: config.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second, Shares: both, Priority: 3},
		{Host: "h", Prefix: "/n", Category: config.Streaming, MaxAttempts: 4, Timeout: time.Second, Shares: both, HomeRegions: []string{"r"}},
	}
	for i := range 12 {
		s := Server{ID: fmt.Sprint("s", i), Service: "a", Address: fmt.Sprint("x", i), Zone: fmt.Sprint("z", i%3), Region: []string{"r", "r", "q"}[i%3], Slots: 6}
		if i > 8 {
			s.Service = "b"
		}
		driven.servers = append(driven.servers, s)
	}
	driven.p = New(Settings{Zone: "z0", Region: "r", RetryRatio: 0.2, RetrySlack: 20, WarmUpExcess: 1.5, WarmUpSlack: 5, Seed: seed})
	driven.updateState()
	return driven
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
	others := map[string]Load{}
	for i := range 12 {
		others[fmt.Sprint("s", i)] = Load{Requests: d.rng.IntN(9), Prefill: int64(d.rng.IntN(5000)), Tokens: int64(d.rng.IntN(9000))}
	}
	d.p.UpdatePeerLoads(d.now, others)
	told := d.p.Loads()
	d.p.PromptDemands().AddTo(told)
	d.tr.loads(d.now, told)
}

func (d *driver) sendNew() {
	r := &Request{Route: d.cfg.Routes[d.rng.IntN(3)], MaxTokensOut: d.rng.IntN(300), TimeLeft: time.Duration(100+d.rng.IntN(4000)) * time.Millisecond}
	for _, part := range []PrefixPart{{ID: uint64(1 + d.rng.IntN(3)), Tokens: 1500}, {ID: uint64(10 + d.rng.IntN(20)), Tokens: 400}, {ID: d.rng.Uint64(), Tokens: 1 + d.rng.IntN(900)}} {
		r.Prefix = append(r.Prefix, part)
		r.TokensIn += part.Tokens
	}
	d.p.RecordRequest(d.now, r)
	d.choose(&drivenRequest{r: r})
}

// pick picks a server for a request, and keeps the request if it got one.
func (d *driver) choose(o *drivenRequest) {
	c := d.p.Pick(d.now, o.r, o.tried, o.offered)
	d.tr.choice(d.now, d.p, o.r, len(o.tried), o.offered, c)
	if c.Decision == Send {
		o.ticket, o.tried = c.Ticket, append(o.tried, c.Server.ID)
		d.open = append(d.open, o)
	}
}

// drivenOutcomes are the outcomes to draw from; common ones are repeated.
var drivenOutcomes = []AttemptOutcome{Served, Served, Served, Served, Served, Served, NotExecuted, NotExecuted, Misdirected, ConnectFailed, ConnectionLost, TimedOut, ServerError, Canceled}

// endAttempt ends a random attempt and retries the request if it failed.
func (d *driver) endOne() {
	if len(d.open) == 0 {
		return
	}
	index := d.rng.IntN(len(d.open))
	request := d.open[index]
	d.open = slices.Delete(d.open, index, index+1)
	if d.rng.IntN(4) > 0 {
		d.p.ResponseStarted(d.now, request.ticket)
		d.p.FirstEvent(d.now, request.ticket)
	}
	out := drivenOutcomes[d.rng.IntN(len(drivenOutcomes))]
	d.p.Done(d.now, request.ticket, out, time.Duration(d.rng.IntN(600))*time.Millisecond)
	switch out {
	case Served, Canceled:
		return
	case ConnectionLost, TimedOut, ServerError:
		request.offered = true
	}
	d.choose(request)
}

// goldenScenarios returns the scenarios that are traced.
func goldenScenarios() []golden.Scenario {
	var all []golden.Scenario
	add := func(name string, seed uint64, play func(trace, uint64)) {
		all = append(all, golden.Scenario{Name: name, Seed: seed, Play: func(_ *testing.T, digest *golden.Digest, seed uint64) {
			play(trace{digest}, seed)
		}})
	}
	add("usual", 1, tracedFleet(shortDay(aula(), 5*time.Second, 0), nil))
	add("evacuated", 2, tracedFleet(shortDay(hakata(), 5*time.Second, 1), nil))
	add("dark", 3, tracedFleet(shortDay(aula(), 6*time.Second, 3), nil))
	add("reset", 4, tracedFleet(shortDay(hakata(), 6*time.Second, 4), nil))
	add("cold", 5, tracedFleet(shortDay(aula(), 6*time.Second, 0), warmUpScenario))
	add("overloaded", 6, tracedFleet(overloaded(), nil))
	add("long-prompts", 7, tracedFleet(longPrompts(), nil))
	for seed := range uint64(4) {
		add("any-operations", seed+1, anyOperations)
	}
	return all
}

// TestGoldenTrace compares every pick and every shared load with the recorded digests, step by step. After
// a change that is meant to change picks, regenerate the file with GRADEUSHER_WRITE_GOLDEN=1 and say so.
func TestGoldenTrace(t *testing.T) { golden.CompareDigests(t, goldenFile, goldenScenarios()) }
