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

// world runs the detectors of many nodes over a faulty network, on a clock of its own. A table stands for the agreed
// members: verdicts reach it late, it tells all nodes late, and a live process that it calls down refutes that.
type world struct {
	t      testing.TB
	r      *rand.Rand
	now    Time
	queue  events
	order  int
	nodes  map[string]*simNode
	names  []string
	loss   float64
	slow   bool // delays as between regions
	cuts   map[[2]string]bool
	option Options

	onOutput func(*simNode, *Output) // told all that a detector wants done, before any of it is

	table        map[string]*row
	calm         Time // since when no fault that excuses a verdict has been there
	wrong        []string
	verdicts     map[string]map[string]Time // node/incarnation → who → when it was called down
	disconnected int                        // verdicts of nodes that were not connected
}

type row struct {
	incarnation uint64
	down        bool
	since       Time
}

type simNode struct {
	name        string
	incarnation uint64
	d           *Detector
	alive       bool
	frozen      bool
	troubled    Time // the end of its last freeze, start or isolation
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

func newWorld(t testing.TB, seed uint64, n int, o Options) *world {
	w := &world{t: t, r: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*simNode{}, cuts: map[[2]string]bool{},
		table: map[string]*row{}, verdicts: map[string]map[string]Time{}, option: o}
	for i := range n {
		name := fmt.Sprintf("10.0.%d.%d", i/4, i%4+1)
		w.names = append(w.names, name)
		w.start(name)
	}
	return w
}

func (w *world) after(d Time, run func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, run})
}

// run lets the world go on for a span.
func (w *world) run(span Time) {
	until := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *world) start(name string) {
	o := w.option
	o.Self, o.Incarnation = name, w.r.Uint64()
	n := &simNode{name: name, incarnation: o.Incarnation, d: NewDetector(o), alive: true, troubled: w.now}
	w.nodes[name] = n
	w.tell(n)
	var tick func()
	tick = func() {
		if !n.alive {
			return
		}
		if !n.frozen {
			n.d.Tick(w.now)
			w.carryOut(n)
		}
		w.after(o.withDefaults().HeartbeatInterval/4, tick)
	}
	w.after(Time(w.r.Int64N(int64(400*time.Millisecond))), tick)
	w.after(w.lag(), func() { w.follow(n) })
}

// follow is what a process tells the table of itself.
func (w *world) follow(n *simNode) {
	if !n.alive || n.frozen {
		return
	}
	if r := w.table[n.name]; r == nil || r.incarnation != n.incarnation || r.down {
		w.table[n.name] = &row{incarnation: n.incarnation, since: w.now}
		w.broadcast()
	}
}

func (w *world) lag() Time { return time.Duration(20+w.r.IntN(200)) * time.Millisecond }

func (w *world) members() []Member {
	var members []Member
	for _, name := range w.names {
		if r := w.table[name]; r != nil && !r.down {
			members = append(members, Member{Node: name, Incarnation: r.incarnation})
		}
	}
	return members
}

func (w *world) broadcast() {
	for _, name := range w.names {
		if n := w.nodes[name]; n != nil {
			w.after(w.lag(), func() { w.tell(n) })
		}
	}
}

// tell gives a node the members as they are now, and learns from it whether it is called down.
func (w *world) tell(n *simNode) {
	if w.nodes[n.name] != n {
		return
	}
	w.input(n, func() { n.d.SetMembers(w.now, w.members()) })
	if r := w.table[n.name]; r != nil && r.down {
		w.after(w.lag(), func() { w.follow(n) })
	}
}

// input hands something to a process, which takes it when it runs.
func (w *world) input(n *simNode, run func()) {
	switch {
	case !n.alive:
	case n.frozen:
		if len(n.inbox) < 200 {
			n.inbox = append(n.inbox, run)
		}
	default:
		run()
		w.carryOut(n)
	}
}

func (w *world) delay() Time {
	if w.slow {
		return time.Duration(20+w.r.IntN(45)) * time.Millisecond
	}
	return time.Duration(300+w.r.IntN(1000)) * time.Microsecond
}

func (w *world) lost() bool { return w.r.Float64() < w.loss }

// lostOf tells whether one of n packets is lost.
func (w *world) lostOf(n int) bool {
	lost := false
	for range n {
		lost = w.lost() || lost
	}
	return lost
}

func (w *world) carryOut(n *simNode) {
	out := n.d.Ready()
	if w.onOutput != nil {
		w.onOutput(n, &out)
	}
	if out.Resumed {
		n.resumed++
	}
	for _, e := range out.Send {
		m, err := Decode(e.Message.Append(nil))
		if err != nil {
			w.t.Fatalf("%+v: %v", e.Message, err)
		}
		if w.cuts[[2]string{n.name, e.To}] || w.lost() {
			continue
		}
		w.after(w.delay(), func() {
			if to := w.nodes[e.To]; to != nil {
				w.input(to, func() { to.d.Receive(w.now, m) })
			}
		})
	}
	for _, node := range out.Probe {
		w.probe(n, node)
	}
	for _, v := range out.Verdicts {
		w.verdict(n, v)
	}
}

// probe models a fresh TCP connection: a lost first packet costs more time than there is, a later one some of it.
func (w *world) probe(n *simNode, node string) {
	timeout := w.option.withDefaults().ProbeTimeout
	took, asked := 4*w.delay(), w.now
	if w.lostOf(2) {
		took = timeout
	}
	if w.lostOf(2) {
		took += 250 * time.Millisecond
	}
	open := func() bool {
		return !w.cuts[[2]string{n.name, node}] && !w.cuts[[2]string{node, n.name}]
	}
	w.after(min(took, timeout), func() {
		to := w.nodes[node]
		ok := took < timeout && open() && to != nil && to.alive && !to.frozen
		if !ok && (to == nil || to.alive) && took < timeout {
			// Nothing refuses the connection, so only time ends it.
			w.after(timeout-took, func() { w.input(n, func() { n.d.ProbeResult(w.now, asked, node, 0, false) }) })
			return
		}
		var incarnation uint64
		if n.frozen {
			ok = false // its own time-out comes first when it resumes
		}
		if ok {
			incarnation = to.incarnation
		}
		w.input(n, func() { n.d.ProbeResult(w.now, asked, node, incarnation, ok) })
	})
}

func (w *world) verdict(by *simNode, v Verdict) {
	if !by.d.Connected(w.now) && v.Down {
		w.disconnected++
	}
	to := w.nodes[v.Node]
	if v.Down {
		key := fmt.Sprint(v.Node, "/", v.Incarnation)
		if w.verdicts[key] == nil {
			w.verdicts[key] = map[string]Time{}
		}
		if _, ok := w.verdicts[key][by.name]; !ok {
			w.verdicts[key][by.name] = w.now
		}
		if to.alive && !to.frozen && to.incarnation == v.Incarnation &&
			w.now-max(to.troubled, w.calm) > w.option.withDefaults().SuspectTimeout {
			w.wrong = append(w.wrong, fmt.Sprintf("%v: %s called %s down", w.now, by.name, v.Node))
		}
	}
	w.after(w.lag(), func() {
		if r := w.table[v.Node]; v.Down && r != nil && r.incarnation == v.Incarnation && !r.down {
			r.down, r.since = true, w.now
			w.broadcast()
		}
	})
}

func (w *world) kill(name string) { w.nodes[name].alive = false }

func (w *world) freeze(name string) { w.nodes[name].frozen = true }

func (w *world) thaw(name string) {
	n := w.nodes[name]
	n.frozen, n.troubled = false, w.now
	// Which of the process's threads runs first is open: that of its timers, or one that reads.
	inbox := append(n.inbox, func() { n.d.Tick(w.now) })
	n.inbox = nil
	w.r.Shuffle(len(inbox), func(a, b int) { inbox[a], inbox[b] = inbox[b], inbox[a] })
	for _, run := range inbox {
		w.input(n, run)
	}
	w.after(w.lag(), func() { w.tell(n) })
}

func (w *world) cut(a, b string, on bool) {
	if on {
		w.cuts[[2]string{a, b}] = true
	} else {
		delete(w.cuts, [2]string{a, b})
	}
}

// checkCalm checks what must hold once faults have ended and the world has run on: everybody that lives is counted
// live, and nobody else.
func (w *world) checkCalm() {
	w.t.Helper()
	for _, name := range w.names {
		n, r := w.nodes[name], w.table[name]
		switch {
		case n.alive && (r.down || r.incarnation != n.incarnation):
			w.t.Errorf("%s lives and is counted down since %v", name, r.since)
		case !n.alive && !r.down:
			w.t.Errorf("%s is dead and is counted live", name)
		}
	}
	for _, wrong := range w.wrong {
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

func (w *world) pick() string { return w.names[w.r.IntN(len(w.names))] }

// watchersOf names those that watched a node while all were live.
func (w *world) watchersOf(name string) []string { return Watchers(name, w.names, 3) }

func sorted(list []string) []string {
	slices.Sort(list)
	return list
}
