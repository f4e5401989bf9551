package balance

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/balance/signals"
	"gradeusher.example/gradeusher/internal/testsupport/golden"
)

// goldenFile has a line for each scenario: its name, seed, number of steps and digest.
const goldenFile = "testdata/golden_trace.txt"

// goldenTrace is the digest of a run. Its methods add the outputs of this package.
type goldenTrace struct{ *golden.Digest }

// tracedActions adds a Balancer's actions to the digest and forwards them to a host.
type tracedActions struct {
	Actions
	tr   goldenTrace
	self int64
}

func (a tracedActions) Send(id RequestID, endpoint string, timeout time.Duration) {
	a.tr.Step('S', a.self, int64(id), int64(timeout))
	a.tr.Text(endpoint)
	a.Actions.Send(id, endpoint, timeout)
}

func (a tracedActions) Cancel(id RequestID, attempt int) {
	a.tr.Step('C', a.self, int64(id), int64(attempt))
	a.Actions.Cancel(id, attempt)
}

func (a tracedActions) Refuse(id RequestID, after time.Duration) {
	a.tr.Step('R', a.self, int64(id), int64(after))
	a.Actions.Refuse(id, after)
}

func (a tracedActions) Fail(id RequestID) {
	a.tr.Step('F', a.self, int64(id))
	a.Actions.Fail(id)
}

func (a tracedActions) Timer(after time.Duration, token uint64) {
	a.tr.Step('T', a.self, int64(after), int64(token))
	a.Actions.Timer(after, token)
}

func (a tracedActions) Subscribe() {
	a.tr.Step('U', a.self)
	a.Actions.Subscribe()
}

func (a tracedActions) Log(text string) {
	a.tr.Step('L', a.self)
	a.tr.Text(text)
	a.Actions.Log(text)
}

// snapshot adds a Balancer's snapshot to the digest.
func (tr goldenTrace) snapshot(k Snapshot) {
	tr.Step('K', int64(k.SheddingFor), int64(len(k.Groups)), int64(len(k.Endpoints)))
	tr.Floats(k.ZoneWeight, k.IdleSeconds, k.Arrivals)
	tr.Floats(k.MeanSeconds...)
	for _, g := range k.Groups {
		tr.Floats(g.Seconds, g.Load)
	}
	for _, e := range k.Endpoints {
		tr.Text(e.ID)
		tr.Ints(int64(e.Started), int64(e.WarmUpStart), int64(e.EjectedFor))
		tr.Floats(e.Seconds, e.Load, e.Freshness, e.Failures, e.TurnCredit)
	}
}

// report adds a Balancer's report about servers to the digest.
func (tr goldenTrace) report(r signals.Report) {
	tr.Step('W', int64(r.TrafficLevel), int64(len(r.Uses)), int64(len(r.Verdicts)))
	tr.Text(r.Zone)
	for _, u := range r.Uses {
		tr.Text(u.Zone)
		tr.Ints(int64(u.Servers))
	}
	for _, v := range r.Verdicts {
		tr.Text(v.Server)
		tr.Text(v.Zone)
		tr.Ints(v.Start, int64(v.Kind), int64(v.Count), int64(v.Age))
	}
}

// hitters adds the report of a window, the changed clients and all tracked clients to the digest.
func (tr goldenTrace) hitters(detector *hitters.Detector, report hitters.OriginReport, changed []hitters.Client) {
	tr.Step('H', int64(report.Origin), report.Start, int64(report.Seq), int64(len(changed)))
	_, _ = tr.Write(report.Report.Append(nil))
	for _, c := range changed {
		tr.Ints(int64(c.Key), int64(c.State), int64(c.Since))
		tr.Floats(c.Share, c.ShareError, c.AdmittedShare)
	}
	for _, c := range detector.Clients() {
		tr.Ints(int64(c.Key), int64(c.State), int64(c.Since))
		tr.Floats(c.Share, c.ShareError, c.AdmittedShare)
	}
	tr.Ints(int64(detector.Rejected()))
}

// traceRandomEvents runs the random events of TestRules.
func traceRandomEvents(t *testing.T, tr goldenTrace, seed uint64) {
	t.Helper()
	runRandomEventsOn(t, seed, 6000, func(c *checker) Actions { return tracedActions{Actions: c, tr: tr} })
}

// traceRandomOperations drives three Balancers with random operations: all events, lists, rules, reports of members and clients.
func traceRandomOperations(t *testing.T, tr goldenTrace, seed uint64) {
	t.Helper()
	driven := newDriver(t, tr, seed)
	for range 12_000 {
		driven.now += time.Duration(driven.rng.IntN(6)) * time.Millisecond
		driven.self = driven.rng.IntN(len(driven.sidecars))
		driven.runTimers()
		switch choice := driven.rng.IntN(400); {
		case choice < 120:
			driven.request()
		case choice < 360:
			driven.attemptEvent()
		case choice < 366:
			driven.changeList()
		case choice == 366:
			driven.setOutOfService()
		case choice == 367:
			driven.changeRules()
		case choice == 368:
			driven.setMembers()
		case choice < 372:
			driven.changeFailures()
		case choice < 374:
			driven.restartSidecar()
		}
	}
}

// driver drives a small fleet of sidecars that use one list of servers.
type driver struct {
	t        *testing.T
	tr       goldenTrace
	rng      *rand.Rand
	now      Time
	self     int // index of the sidecar that the next operation applies to
	ids      RequestID
	settings []Settings
	sidecars []*Balancer
	inFlight []drivenAttempt
	nextTick []Time
	list     []Endpoint
	failing  map[string]Outcome // failing servers and the outcome of their attempts
	rules    []Rule
	seq      uint64
}

// drivenAttempt is an attempt in flight.
type drivenAttempt struct {
	self    int
	id      RequestID
	attempt int
	to      string
	sent    Time
	hung    bool // it times out without an answer
}

// drivenHost records the attempts that a sidecar sends.
type drivenHost struct {
	d        *driver
	self     int
	attempts map[RequestID]int
}

func (host *drivenHost) Send(id RequestID, endpoint string, _ time.Duration) {
	host.d.inFlight = append(host.d.inFlight, drivenAttempt{self: host.self, id: id, attempt: host.attempts[id], to: endpoint,
		sent: host.d.now,
		hung: host.d.rng.IntN(30) == 0})
	host.attempts[id]++
}
func (*drivenHost) Cancel(RequestID, int)           {}
func (*drivenHost) Refuse(RequestID, time.Duration) {}
func (*drivenHost) Fail(RequestID)                  {}
func (*drivenHost) Timer(time.Duration, uint64)     {}
func (*drivenHost) Subscribe()                      {}
func (*drivenHost) Log(string)                      {}

func newDriver(t *testing.T, tr goldenTrace, seed uint64) *driver {
	t.Helper()
	driven := &driver{t: t, tr: tr, rng: rand.New(rand.NewPCG(seed, 13)), now: time.Minute, failing: map[string]Outcome{}}
	for i := range 14 {
		driven.list = append(driven.list, Endpoint{ID: fmt.Sprint("s", i), Zone: []string{"x", "x", "y"}[i%3], Kind: []string{"big", "small"}[i%2],
			Cell: i % 4, Size: []float64{1, 0.5, 2, 0}[i%4]})
	}
	for self := range 3 {
		hitterSettings := hitters.Defaults()
		hitterSettings.Origin = hitters.Key(seed, fmt.Sprint(self))
		set := settings()
		set.Seed, set.Index, set.PeerCount, set.Hitters = seed, self, 3, &hitterSettings
		set.Zone = []string{"x", "x", "y"}[self]
		set.Tenants = []Tenant{{"a", 30}, {"b", 5}}
		set.CancelAllowed, set.SubscribeToDiscovery, set.DiscoveryDeadline = self != 1, self != 2, 10*time.Second
		set.Classes = []Class{
			{Name: "read", Effect: Idempotent, LatencyTarget: 300 * time.Millisecond, Deadline: time.Second, Value: 3},
			{Name: "keyed", Effect: Deduplicated, Scope: Scope(self), DedupeWindow: time.Second, LatencyTarget: 500 * time.Millisecond, Deadline: 2 * time.Second, Value: 2},
			{Name: "once", Effect: AtMostOnce, LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1, LateValue: 0.5},
			{Name: "heavy", Effect: Idempotent, LatencyTarget: 2 * time.Second, Deadline: 5 * time.Second, Value: 1},
		}
		driven.settings = append(driven.settings, set)
		driven.sidecars = append(driven.sidecars, driven.startSidecar(self))
		driven.nextTick = append(driven.nextTick, driven.now+time.Duration(self)*30*time.Millisecond)
	}
	return driven
}

// startSidecar returns the Balancer of a sidecar's new process, which has got the list.
func (d *driver) startSidecar(self int) *Balancer {
	d.t.Helper()
	host := &drivenHost{d: d, self: self, attempts: map[RequestID]int{}}
	b, err := New(d.settings[self], tracedActions{host, d.tr, int64(self)})
	if err != nil {
		d.t.Fatal(err)
	}
	b.Endpoints(d.now, ListCached, d.list)
	return b
}

// runTimers runs the due timers of all sidecars, and makes the sidecars exchange reports.
func (d *driver) runTimers() {
	for self, b := range d.sidecars {
		for ; d.nextTick[self] <= d.now; d.nextTick[self] += tickInterval {
			b.Timer(d.now, tickToken)
			d.tr.snapshot(b.Snapshot(d.now))
			all, avoided := b.CountListed(d.now)
			d.tr.Ints(int64(all), int64(avoided), int64(b.TrafficLevel()))
			d.tr.Bools(b.RulesPending())
			if d.rng.IntN(3) == 0 {
				d.exchange(self)
			}
			if d.rng.IntN(5) == 0 {
				d.endWindow(self)
			}
			if d.rng.IntN(40) == 0 {
				b.Timer(d.now, discoveryToken)
			}
		}
	}
}

func (d *driver) exchange(self int) {
	r := d.sidecars[self].LocalReport(d.now)
	d.tr.report(r)
	d.seq++
	for other, b := range d.sidecars {
		if other == self {
			continue
		}
		for _, alias := range []string{"", "-twin", "-third"} { // three witnesses, as many as a verdict needs
			b.ReceiveReport(d.now, signals.Statement{Origin: fmt.Sprint("p", self, alias), Start: 1, Seq: d.seq - uint64(d.rng.IntN(2)), Age: time.Duration(d.rng.IntN(300)) * time.Millisecond, Report: r})
		}
		if d.rng.IntN(50) == 0 {
			b.RemoveMember(fmt.Sprint("p", self))
		}
	}
}

func (d *driver) endWindow(self int) {
	report, changed := d.sidecars[self].HeavyHitters().EndWindow(d.now)
	d.tr.hitters(d.sidecars[self].HeavyHitters(), report, changed)
	for other, b := range d.sidecars {
		if other != self {
			d.tr.Bools(b.HeavyHitters().Receive(d.now, report))
		}
	}
}

func (d *driver) request() {
	burst := 1
	if d.rng.IntN(60) == 0 {
		burst = 40
	}
	for range burst {
		d.ids++
		r := Request{ID: d.ids, Class: d.rng.IntN(4), Tenant: d.rng.IntN(3) - 1, TimeLeft: time.Duration(50+d.rng.IntN(3000)) * time.Millisecond,
			BodyIncomplete: d.rng.IntN(8) == 0, Client: uint64(d.rng.IntN(5)) * uint64(d.rng.IntN(2))}
		d.sidecars[d.self].Request(d.now, r)
	}
}

// drivenOutcomes are the outcomes to choose from, with usual ones repeated to make them more likely.
var drivenOutcomes = []Outcome{Served, Served, Served, Served, Served, Served, Served, Served, Served, Served, Served, Served, Served, Served,
	Errored, Saturated, TimedOut, ConnectFailed, Reset, Cancelled, NotSent}

// attemptEvent passes a random event of an attempt in flight to its Balancer.
func (d *driver) attemptEvent() {
	if len(d.inFlight) == 0 {
		return
	}
	index := d.rng.IntN(min(len(d.inFlight), 90))
	subject := &d.inFlight[index]
	b := d.sidecars[subject.self]
	switch d.rng.IntN(24) {
	case 0:
		b.BodyConsumed(subject.id)
	case 1, 2:
		b.BodyComplete(d.now, subject.id, time.Duration(200+d.rng.IntN(1000))*time.Millisecond)
	case 3:
		b.AnswerStarted(d.now, subject.id, subject.attempt)
	case 4:
		if d.rng.IntN(4) == 0 {
			b.ClientDisconnected(d.now, subject.id)
		}
	default:
		d.end(index)
	}
}

func (d *driver) end(index int) {
	ended := d.inFlight[index]
	outcome, failing := d.failing[ended.to]
	if !failing {
		outcome = drivenOutcomes[d.rng.IntN(len(drivenOutcomes))]
	}
	if ended.hung {
		if d.now-ended.sent < 12*time.Second {
			return
		}
		outcome = TimedOut
	}
	if outcome == TimedOut && d.now-ended.sent < 400*time.Millisecond {
		return
	}
	d.inFlight = slices.Delete(d.inFlight, index, index+1)
	d.sidecars[ended.self].Result(d.now, Result{ID: ended.id, Attempt: ended.attempt, Endpoint: ended.to, Outcome: outcome, Latency: d.now - ended.sent,
		Finished: outcome == Served || d.rng.IntN(20) == 0})
}

func (d *driver) changeList() {
	changed := &d.list[d.rng.IntN(len(d.list))]
	switch d.rng.IntN(5) {
	case 0:
		changed.State = Draining
	case 1:
		changed.State = Removed
	case 2:
		changed.State, changed.Started = Ready, d.now-time.Duration(d.rng.IntN(4000)-500)*time.Millisecond
	case 3:
		changed.Zone = []string{"x", "y"}[d.rng.IntN(2)]
	default:
		changed.State = Ready
	}
	b := d.sidecars[d.self]
	switch d.rng.IntN(6) {
	case 0:
		b.Endpoints(d.now, ListRefused, nil)
	case 1:
		b.Endpoints(d.now, ListChanges, []Endpoint{*changed})
	default:
		for _, b := range d.sidecars {
			b.Endpoints(d.now, ListFull, d.list)
		}
	}
}

func (d *driver) setOutOfService() {
	var out []string
	for range d.rng.IntN(3) {
		out = append(out, fmt.Sprint("s", d.rng.IntN(15)))
	}
	d.sidecars[d.self].SetOutOfService(d.now, out)
	d.tr.Bools(d.sidecars[d.self].Knows("s14"))
}

// changeRules sets a random route table, and adds the diff from the previous table to the digest.
func (d *driver) changeRules() {
	var table routes.Table
	for i := range d.rng.IntN(5) {
		r := Rule{Name: fmt.Sprint("r", i*7%5), Source: Match{"service": "*"}, Service: Match{"service": "backend"}}
		if d.rng.IntN(2) == 0 {
			r.Source = Match{"region": []string{"x", "y", "*"}[d.rng.IntN(3)]}
		}
		for j, version := range []string{"big", "small", "none"} {
			if j == 0 || d.rng.IntN(2) == 0 {
				r.Destinations = append(r.Destinations, Destination{Weight: float64(1 + d.rng.IntN(9)), Match: Match{"version": version}, PerSize: d.rng.IntN(2) == 0})
			}
		}
		table = append(table, r)
	}
	d.rng.Shuffle(len(table), func(i, j int) { table[i], table[j] = table[j], table[i] })
	steps, err := json.Marshal(routes.Diff(d.rules, table))
	if err != nil {
		d.t.Fatal(err)
	}
	d.tr.Step('D')
	d.tr.Text(string(steps))
	d.tr.Text(table.Hash())
	d.rules = table
	err = d.sidecars[d.self].SetRules(d.now, table)
	d.tr.Bools(err == nil)
	if err == nil {
		d.tr.Text("")
	} else {
		d.tr.Text(err.Error())
	}
}

// setMembers passes the list of members to the sidecars, sometimes with additional members in other zones or of other levels.
func (d *driver) setMembers() {
	var peers []Peer
	for i, b := range d.sidecars {
		peers = append(peers, Peer{d.settings[i].Zone, b.TrafficLevel()})
	}
	if d.rng.IntN(2) == 0 {
		peers = append(peers, Peer{"", 0}, Peer{"x", 3})
	}
	for self, b := range d.sidecars {
		if d.rng.IntN(10) == 0 {
			self = -1
		}
		b.SetMembers(d.now, self, peers)
	}
}

// changeFailures makes a server fail with some outcome, or recover.
func (d *driver) changeFailures() {
	id := d.list[d.rng.IntN(len(d.list))].ID
	if _, failing := d.failing[id]; failing {
		delete(d.failing, id)
	} else if len(d.failing) < 6 {
		d.failing[id] = Outcome(1 + d.rng.IntN(5))
	}
}

// restartSidecar restarts a sidecar, whose new process restores the snapshot of the old one.
func (d *driver) restartSidecar() {
	if d.rng.IntN(8) > 0 {
		return
	}
	learned := d.sidecars[d.self].Snapshot(d.now)
	d.inFlight = slices.DeleteFunc(d.inFlight, func(a drivenAttempt) bool { return a.self == d.self })
	d.sidecars[d.self] = d.startSidecar(d.self)
	d.sidecars[d.self].Restore(d.now, learned, time.Duration(d.rng.IntN(3000))*time.Millisecond)
	d.tr.snapshot(d.sidecars[d.self].Snapshot(d.now))
}

// traceUnresponsive simulates a fleet with some cold servers, in which one server becomes unresponsive. The members exchange
// reports.
func traceUnresponsive(t *testing.T, trace goldenTrace, seed uint64) {
	t.Helper()
	servers := endpointList(12)
	servers[1].Started, servers[5].Started = time.Minute-time.Second, time.Minute
	simulated := newSimulatedFleet(t, 10+int(seed), servers, 120)
	g := &reportExchange{fleet: simulated, reports: make([]signals.Report, len(simulated.sidecars))}
	for self, b := range simulated.sidecars {
		b.actions = tracedActions{b.actions, trace, int64(self)}
	}
	run := func(until Time) {
		for simulated.now < until {
			g.exchange()
			simulated.run(simulated.now + 200*time.Millisecond)
			for _, b := range simulated.sidecars {
				trace.snapshot(b.Snapshot(simulated.now))
			}
		}
	}
	run(simulated.now + 14*time.Second)
	simulated.setMembers()
	simulated.refusing = "s0003"
	run(simulated.now + 4*time.Second)
	simulated.unresponsive, simulated.refusing = simulated.sidecars[0].inUse[0].ID, ""
	run(simulated.now + 8*time.Second)
	simulated.unresponsive = ""
	run(simulated.now + 6*time.Second)
}

// goldenScenarios returns the scenarios that are traced.
func goldenScenarios() []golden.Scenario {
	var all []golden.Scenario
	add := func(name string, seeds uint64, play func(*testing.T, goldenTrace, uint64)) {
		for seed := range seeds {
			all = append(all, golden.Scenario{Name: name, Seed: seed, Play: func(t *testing.T, digest *golden.Digest, seed uint64) {
				play(t, goldenTrace{digest}, seed)
			}})
		}
	}
	add("day", 8, traceRandomEvents)
	add("any-operations", 6, traceRandomOperations)
	add("silence", 2, traceUnresponsive)
	return all
}

// TestGoldenTrace checks that all actions, snapshots and reports are the same as before, step by step. A commit that intentionally
// changes decisions must regenerate the file with GRADEUSHER_WRITE_GOLDEN=1 and say so.
func TestGoldenTrace(t *testing.T) { golden.CompareDigests(t, goldenFile, goldenScenarios()) }
