package failuredetector

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// simulation runs the detectors of many nodes over a faulty network, on a simulated clock. A table models the agreed
// membership list: down reports reach it with a delay, its changes reach the nodes with a delay, and a live process that it lists as
// down refutes the report.
type simulation struct {
	t           testing.TB
	rng         *rand.Rand
	now         Time
	queue       events
	eventCount  int
	nodes       map[string]*simNode
	names       []string
	loss        float64
	interRegion bool // delays as between regions
	partitioned map[networkPath]bool
	options     Options

	onOutput func(*simNode, *Output) // called with the requested actions before they are carried out

	members        map[string]*memberRecord
	faultFreeSince Time // since when there has been no fault that justifies a down report
	wrongReports   []string
	reportedDown   map[string]map[string]Time // node/incarnation → reporting watcher → time of its first report
	disconnected   int                        // number of down reports from watchers that were not connected
}

// networkPath is the path from one node to another, in one direction.
type networkPath struct{ from, to string }

// memberRecord is an entry of the membership list.
type memberRecord struct {
	incarnation uint64
	down        bool
	since       Time
}

// simNode is one process of a node.
type simNode struct {
	name        string
	incarnation uint64
	detector    *Detector
	alive       bool
	frozen      bool
	lastFault   Time // end of its last freeze, start or isolation
	inbox       []func()
	resumed     int
}

func newSimulation(t testing.TB, seed uint64, count int, options Options) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*simNode{}, partitioned: map[networkPath]bool{},
		members: map[string]*memberRecord{}, reportedDown: map[string]map[string]Time{}, options: options}
	for i := range count {
		name := fmt.Sprintf("10.0.%d.%d", i/4, i%4+1)
		sim.names = append(sim.names, name)
		sim.start(name)
	}
	return sim
}

func (sim *simulation) schedule(d Time, run func()) {
	sim.eventCount++
	heap.Push(&sim.queue, event{sim.now + d, sim.eventCount, run})
}

// run advances the simulation by span.
func (sim *simulation) run(span Time) {
	until := sim.now + span
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = until
}

func (sim *simulation) start(name string) {
	options := sim.options
	options.Self, options.Incarnation = name, sim.rng.Uint64()
	node := &simNode{name: name, incarnation: options.Incarnation, detector: NewDetector(options), alive: true, lastFault: sim.now}
	sim.nodes[name] = node
	sim.publishMembers(node)
	var tick func()
	tick = func() {
		if !node.alive {
			return
		}
		if !node.frozen {
			node.detector.Tick(sim.now)
			sim.processReady(node)
		}
		sim.schedule(options.withDefaults().HeartbeatInterval/4, tick)
	}
	sim.schedule(Time(sim.rng.Int64N(int64(400*time.Millisecond))), tick)
	sim.schedule(sim.membershipDelay(), func() { sim.register(node) })
}

// register adds a process to the membership list if it is missing or listed as down.
func (sim *simulation) register(n *simNode) {
	if !n.alive || n.frozen {
		return
	}
	if r := sim.members[n.name]; r == nil || r.incarnation != n.incarnation || r.down {
		sim.members[n.name] = &memberRecord{incarnation: n.incarnation, since: sim.now}
		sim.broadcast()
	}
}

func (sim *simulation) membershipDelay() Time {
	return time.Duration(20+sim.rng.IntN(200)) * time.Millisecond
}

func (sim *simulation) liveMembers() []Member {
	var members []Member
	for _, name := range sim.names {
		if r := sim.members[name]; r != nil && !r.down {
			members = append(members, Member{Node: name, Incarnation: r.incarnation})
		}
	}
	return members
}

func (sim *simulation) broadcast() {
	for _, name := range sim.names {
		if n := sim.nodes[name]; n != nil {
			sim.schedule(sim.membershipDelay(), func() { sim.publishMembers(n) })
		}
	}
}

// publishMembers passes the current membership list to a node; a node that is listed as down registers again.
func (sim *simulation) publishMembers(n *simNode) {
	if sim.nodes[n.name] != n {
		return
	}
	sim.deliver(n, func() { n.detector.SetMembers(sim.now, sim.liveMembers()) })
	if r := sim.members[n.name]; r != nil && r.down {
		sim.schedule(sim.membershipDelay(), func() { sim.register(n) })
	}
}

// deliver passes an input to a process, which handles it when it is not frozen.
func (sim *simulation) deliver(n *simNode, run func()) {
	switch {
	case !n.alive:
	case n.frozen:
		if len(n.inbox) < 200 {
			n.inbox = append(n.inbox, run)
		}
	default:
		run()
		sim.processReady(n)
	}
}

func (sim *simulation) networkDelay() Time {
	if sim.interRegion {
		return time.Duration(20+sim.rng.IntN(45)) * time.Millisecond
	}
	return time.Duration(300+sim.rng.IntN(1000)) * time.Microsecond
}

func (sim *simulation) dropsPacket() bool { return sim.rng.Float64() < sim.loss }

// dropsAnyOf reports whether one of n packets is lost.
func (sim *simulation) dropsAnyOf(n int) bool {
	lost := false
	for range n {
		lost = sim.dropsPacket() || lost
	}
	return lost
}

// processReady carries out the actions that a detector requests.
func (sim *simulation) processReady(sender *simNode) {
	out := sender.detector.Ready()
	if sim.onOutput != nil {
		sim.onOutput(sender, &out)
	}
	if out.Resumed {
		sender.resumed++
	}
	for _, e := range out.Send {
		m, err := Decode(e.Message.Append(nil))
		if err != nil {
			sim.t.Fatalf("decoding %+v: %v", e.Message, err)
		}
		if sim.partitioned[networkPath{sender.name, e.To}] || sim.dropsPacket() {
			continue
		}
		sim.schedule(sim.networkDelay(), func() {
			if to := sim.nodes[e.To]; to != nil {
				sim.deliver(to, func() { to.detector.Receive(sim.now, m) })
			}
		})
	}
	for _, node := range out.Probe {
		sim.probe(sender, node)
	}
	for _, v := range out.DownReports {
		sim.applyReport(sender, v)
	}
}

// probe models a new TCP connection: loss of the first packet exceeds the timeout, loss of a later one only adds delay.
func (sim *simulation) probe(prober *simNode, node string) {
	timeout := sim.options.withDefaults().ProbeTimeout
	took, sentAt := 4*sim.networkDelay(), sim.now
	if sim.dropsAnyOf(2) {
		took = timeout
	}
	if sim.dropsAnyOf(2) {
		took += 250 * time.Millisecond
	}
	sim.schedule(min(took, timeout), func() {
		to := sim.nodes[node]
		ok := took < timeout && sim.connects(prober.name, node) && to != nil && to.alive && !to.frozen
		if !ok && (to == nil || to.alive) && took < timeout {
			// Nothing refuses the connection, so the probe ends only by its timeout.
			sim.schedule(timeout-took, func() { sim.deliver(prober, func() { prober.detector.ProbeResult(sim.now, sentAt, node, 0, false) }) })
			return
		}
		var incarnation uint64
		if prober.frozen {
			ok = false // its own timeout fires first when it resumes
		}
		if ok {
			incarnation = to.incarnation
		}
		sim.deliver(prober, func() { prober.detector.ProbeResult(sim.now, sentAt, node, incarnation, ok) })
	})
}

// connects reports whether packets pass between two nodes in both directions.
func (sim *simulation) connects(a, b string) bool {
	return !sim.partitioned[networkPath{a, b}] && !sim.partitioned[networkPath{b, a}]
}

// applyReport applies a watcher's report to the membership list, with a delay and only if it names the listed incarnation.
func (sim *simulation) applyReport(watcher *simNode, report DownReport) {
	if report.Down {
		sim.recordReport(watcher, report)
	}
	sim.schedule(sim.membershipDelay(), func() {
		if r := sim.members[report.Node]; report.Down && r != nil && r.incarnation == report.Incarnation && !r.down {
			r.down, r.since = true, sim.now
			sim.broadcast()
		}
	})
}

// recordReport records the first down report of a watcher about a process, and whether it is wrong.
func (sim *simulation) recordReport(watcher *simNode, report DownReport) {
	if !watcher.detector.Connected(sim.now) {
		sim.disconnected++
	}
	key := fmt.Sprint(report.Node, "/", report.Incarnation)
	if sim.reportedDown[key] == nil {
		sim.reportedDown[key] = map[string]Time{}
	}
	if _, ok := sim.reportedDown[key][watcher.name]; !ok {
		sim.reportedDown[key][watcher.name] = sim.now
	}
	if sim.isReachable(sim.nodes[report.Node], report.Incarnation) {
		sim.wrongReports = append(sim.wrongReports, fmt.Sprintf("at %v %s reported %s as down", sim.now, watcher.name, report.Node))
	}
}

// isReachable reports whether a process is running and its last fault is so long ago that a down report about it is wrong.
func (sim *simulation) isReachable(n *simNode, incarnation uint64) bool {
	isRunning := n.alive && !n.frozen && n.incarnation == incarnation
	return isRunning && sim.now-max(n.lastFault, sim.faultFreeSince) > sim.options.withDefaults().SuspectTimeout
}

func (sim *simulation) kill(name string) { sim.nodes[name].alive = false }

func (sim *simulation) freeze(name string) { sim.nodes[name].frozen = true }

func (sim *simulation) thaw(name string) {
	n := sim.nodes[name]
	n.frozen, n.lastFault = false, sim.now
	// Either the timer goroutine or a receiving goroutine of the process may run first.
	inbox := append(slices.Clone(n.inbox), func() { n.detector.Tick(sim.now) })
	n.inbox = nil
	sim.rng.Shuffle(len(inbox), func(a, b int) { inbox[a], inbox[b] = inbox[b], inbox[a] })
	for _, run := range inbox {
		sim.deliver(n, run)
	}
	sim.schedule(sim.membershipDelay(), func() { sim.publishMembers(n) })
}

func (sim *simulation) setPartitioned(a, b string, on bool) {
	if on {
		sim.partitioned[networkPath{a, b}] = true
	} else {
		delete(sim.partitioned, networkPath{a, b})
	}
}

// checkConverged checks the conditions that must be met some time after the last fault: the membership list contains exactly the live
// processes, and no down report was wrong or came from a watcher that was not connected.
func (sim *simulation) checkConverged() {
	sim.t.Helper()
	for _, name := range sim.names {
		n, r := sim.nodes[name], sim.members[name]
		switch {
		case n.alive && (r.down || r.incarnation != n.incarnation):
			sim.t.Errorf("%s is live but listed as down since %v", name, r.since)
		case !n.alive && !r.down:
			sim.t.Errorf("%s is dead but listed as live", name)
		}
	}
	for _, report := range sim.wrongReports {
		sim.t.Errorf("wrong down report: %s", report)
	}
	if sim.disconnected > 0 {
		sim.t.Errorf("%d down reports from watchers that were not connected", sim.disconnected)
	}
}

// seeds returns the number of seeds per test: FAILUREDETECTOR_SEEDS, or 6 by default.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FAILUREDETECTOR_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 6
}

func (sim *simulation) randomNode() string { return sim.names[sim.rng.IntN(len(sim.names))] }

// watchersOf returns the nodes that watch a node while all nodes are live.
func (sim *simulation) watchersOf(name string) []string { return Watchers(name, sim.names, 3) }

func sortStrings(list []string) []string {
	slices.Sort(list)
	return list
}
