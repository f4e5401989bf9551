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

// simulation runs the detectors of many nodes over a faulty network, on a clock of its own. A table stands for the agreed
// members: verdicts reach it late, it tells all nodes late, and a live process that it calls down refutes that.
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
	partitioned map[[2]string]bool
	options     Options

	onOutput func(*simNode, *Output) // told all that a detector wants done, before any of it is

	members       map[string]*memberRecord
	calmSince     Time // since when no fault that excuses a verdict has been there
	wrongVerdicts []string
	verdicts      map[string]map[string]Time // node/incarnation → who → when it was called down
	disconnected  int                        // verdicts of nodes that were not connected
}

type memberRecord struct {
	incarnation uint64
	down        bool
	since       Time
}

type simNode struct {
	name        string
	incarnation uint64
	detector    *Detector
	alive       bool
	frozen      bool
	lastFault   Time // the end of its last freeze, start or isolation
	inbox       []func()
	resumed     int
}

type event struct {
	at    Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].order < e[b].order
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSimulation(t testing.TB, seed uint64, count int, options Options) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*simNode{}, partitioned: map[[2]string]bool{},
		members: map[string]*memberRecord{}, verdicts: map[string]map[string]Time{}, options: options}
	for i := range count {
		name := fmt.Sprintf("10.0.%d.%d", i/4, i%4+1)
		w.names = append(w.names, name)
		w.start(name)
	}
	return w
}

func (w *simulation) schedule(d Time, run func()) {
	w.eventCount++
	heap.Push(&w.queue, event{w.now + d, w.eventCount, run})
}

// run lets the world go on for a span.
func (w *simulation) run(span Time) {
	until := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *simulation) start(name string) {
	options := w.options
	options.Self, options.Incarnation = name, w.rng.Uint64()
	node := &simNode{name: name, incarnation: options.Incarnation, detector: NewDetector(options), alive: true, lastFault: w.now}
	w.nodes[name] = node
	w.publishMembers(node)
	var tick func()
	tick = func() {
		if !node.alive {
			return
		}
		if !node.frozen {
			node.detector.Tick(w.now)
			w.processReady(node)
		}
		w.schedule(options.withDefaults().HeartbeatInterval/4, tick)
	}
	w.schedule(Time(w.rng.Int64N(int64(400*time.Millisecond))), tick)
	w.schedule(w.membershipDelay(), func() { w.register(node) })
}

// register is what a process tells the table of itself.
func (w *simulation) register(n *simNode) {
	if !n.alive || n.frozen {
		return
	}
	if r := w.members[n.name]; r == nil || r.incarnation != n.incarnation || r.down {
		w.members[n.name] = &memberRecord{incarnation: n.incarnation, since: w.now}
		w.broadcast()
	}
}

func (w *simulation) membershipDelay() Time {
	return time.Duration(20+w.rng.IntN(200)) * time.Millisecond
}

func (w *simulation) liveMembers() []Member {
	var members []Member
	for _, name := range w.names {
		if r := w.members[name]; r != nil && !r.down {
			members = append(members, Member{Node: name, Incarnation: r.incarnation})
		}
	}
	return members
}

func (w *simulation) broadcast() {
	for _, name := range w.names {
		if n := w.nodes[name]; n != nil {
			w.schedule(w.membershipDelay(), func() { w.publishMembers(n) })
		}
	}
}

// publishMembers gives a node the members as they are now, and learns from it whether it is called down.
func (w *simulation) publishMembers(n *simNode) {
	if w.nodes[n.name] != n {
		return
	}
	w.deliver(n, func() { n.detector.SetMembers(w.now, w.liveMembers()) })
	if r := w.members[n.name]; r != nil && r.down {
		w.schedule(w.membershipDelay(), func() { w.register(n) })
	}
}

// deliver hands something to a process, which takes it when it runs.
func (w *simulation) deliver(n *simNode, run func()) {
	switch {
	case !n.alive:
	case n.frozen:
		if len(n.inbox) < 200 {
			n.inbox = append(n.inbox, run)
		}
	default:
		run()
		w.processReady(n)
	}
}

func (w *simulation) networkDelay() Time {
	if w.interRegion {
		return time.Duration(20+w.rng.IntN(45)) * time.Millisecond
	}
	return time.Duration(300+w.rng.IntN(1000)) * time.Microsecond
}

func (w *simulation) dropsPacket() bool { return w.rng.Float64() < w.loss }

// dropsAnyOf tells whether one of n packets is lost.
func (w *simulation) dropsAnyOf(n int) bool {
	lost := false
	for range n {
		lost = w.dropsPacket() || lost
	}
	return lost
}

func (w *simulation) processReady(sender *simNode) {
	out := sender.detector.Ready()
	if w.onOutput != nil {
		w.onOutput(sender, &out)
	}
	if out.Resumed {
		sender.resumed++
	}
	for _, e := range out.Send {
		m, err := Decode(e.Message.Append(nil))
		if err != nil {
			w.t.Fatalf("%+v: %v", e.Message, err)
		}
		if w.partitioned[[2]string{sender.name, e.To}] || w.dropsPacket() {
			continue
		}
		w.schedule(w.networkDelay(), func() {
			if to := w.nodes[e.To]; to != nil {
				w.deliver(to, func() { to.detector.Receive(w.now, m) })
			}
		})
	}
	for _, node := range out.Probe {
		w.probe(sender, node)
	}
	for _, v := range out.Verdicts {
		w.verdict(sender, v)
	}
}

// probe models a fresh TCP connection: a lost first packet costs more time than there is, a later one some of it.
func (w *simulation) probe(prober *simNode, node string) {
	timeout := w.options.withDefaults().ProbeTimeout
	took, asked := 4*w.networkDelay(), w.now
	if w.dropsAnyOf(2) {
		took = timeout
	}
	if w.dropsAnyOf(2) {
		took += 250 * time.Millisecond
	}
	open := func() bool {
		return !w.partitioned[[2]string{prober.name, node}] && !w.partitioned[[2]string{node, prober.name}]
	}
	w.schedule(min(took, timeout), func() {
		to := w.nodes[node]
		ok := took < timeout && open() && to != nil && to.alive && !to.frozen
		if !ok && (to == nil || to.alive) && took < timeout {
			// Nothing refuses the connection, so only time ends it.
			w.schedule(timeout-took, func() { w.deliver(prober, func() { prober.detector.ProbeResult(w.now, asked, node, 0, false) }) })
			return
		}
		var incarnation uint64
		if prober.frozen {
			ok = false // its own time-out comes first when it resumes
		}
		if ok {
			incarnation = to.incarnation
		}
		w.deliver(prober, func() { prober.detector.ProbeResult(w.now, asked, node, incarnation, ok) })
	})
}

func (w *simulation) verdict(by *simNode, verdict Verdict) {
	if !by.detector.Connected(w.now) && verdict.Down {
		w.disconnected++
	}
	to := w.nodes[verdict.Node]
	if verdict.Down {
		key := fmt.Sprint(verdict.Node, "/", verdict.Incarnation)
		if w.verdicts[key] == nil {
			w.verdicts[key] = map[string]Time{}
		}
		if _, ok := w.verdicts[key][by.name]; !ok {
			w.verdicts[key][by.name] = w.now
		}
		if to.alive && !to.frozen && to.incarnation == verdict.Incarnation &&
			w.now-max(to.lastFault, w.calmSince) > w.options.withDefaults().SuspectTimeout {
			w.wrongVerdicts = append(w.wrongVerdicts, fmt.Sprintf("%v: %s called %s down", w.now, by.name, verdict.Node))
		}
	}
	w.schedule(w.membershipDelay(), func() {
		if r := w.members[verdict.Node]; verdict.Down && r != nil && r.incarnation == verdict.Incarnation && !r.down {
			r.down, r.since = true, w.now
			w.broadcast()
		}
	})
}

func (w *simulation) kill(name string) { w.nodes[name].alive = false }

func (w *simulation) freeze(name string) { w.nodes[name].frozen = true }

func (w *simulation) thaw(name string) {
	n := w.nodes[name]
	n.frozen, n.lastFault = false, w.now
	// Which of the process's threads runs first is open: that of its timers, or one that reads.
	inbox := append(n.inbox, func() { n.detector.Tick(w.now) })
	n.inbox = nil
	w.rng.Shuffle(len(inbox), func(a, b int) { inbox[a], inbox[b] = inbox[b], inbox[a] })
	for _, run := range inbox {
		w.deliver(n, run)
	}
	w.schedule(w.membershipDelay(), func() { w.publishMembers(n) })
}

func (w *simulation) setPartitioned(a, b string, on bool) {
	if on {
		w.partitioned[[2]string{a, b}] = true
	} else {
		delete(w.partitioned, [2]string{a, b})
	}
}

// checkCalm checks what must hold once faults have ended and the world has run on: everybody that lives is counted
// live, and nobody else.
func (w *simulation) checkCalm() {
	w.t.Helper()
	for _, name := range w.names {
		n, r := w.nodes[name], w.members[name]
		switch {
		case n.alive && (r.down || r.incarnation != n.incarnation):
			w.t.Errorf("%s lives and is counted down since %v", name, r.since)
		case !n.alive && !r.down:
			w.t.Errorf("%s is dead and is counted live", name)
		}
	}
	for _, wrong := range w.wrongVerdicts {
		w.t.Errorf("wrong: %s", wrong)
	}
	if w.disconnected > 0 {
		w.t.Errorf("%d verdicts of nodes that were not connected", w.disconnected)
	}
}

// seeds is how many seeds a test runs: FAILUREDETECTOR_SEEDS, or a few.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FAILUREDETECTOR_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 6
}

func (w *simulation) randomNode() string { return w.names[w.rng.IntN(len(w.names))] }

// watchersOf names those that watched a node while all were live.
func (w *simulation) watchersOf(name string) []string { return Watchers(name, w.names, 3) }

func sortStrings(list []string) []string {
	slices.Sort(list)
	return list
}
