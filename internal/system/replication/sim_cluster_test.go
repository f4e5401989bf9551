package replication

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// clusterSim is a seeded simulation of nodes, the proxies that follow them and the operators that call them, with a faulty network,
// faulty disks and a simulated clock.
type clusterSim struct {
	rng    *rand.Rand
	now    time.Duration
	events eventQueue
	order  uint64
	topology
	knobs   TestingKnobs
	machine toyMachine
	nodes   []*simNode
	seeds   []string

	partitioned map[[2]string]*partitionedPath
	loss        float64
	extraDelay  time.Duration // maximum additional delay of messages
	triggers    []*stepTrigger
	onAck       []func()                   // armed faults, which are injected at the next acknowledgement
	onAnswer    func(*simCall, Completion) // called with every answer of a node
	onStep      func(string, string)       // called with every step and the address of its node
	onOutput    func(*simNode, *Outputs)   // called with all outputs of a core, before any is executed
	onReply     func(*simNode, *pollReply) // called with every reply of a node to a proxy
	eventAt     time.Duration              // when the last fault began or ended

	committedRecords []string // committed records, agreed by all nodes
	states           []*toy   // after each committed record
	acceptedAt       map[string]uint64
	epochs           []uint64 // in which each record was first committed
	viewOf           map[uint64]string
	newest           *View

	acked           uint64 // newest number acknowledged
	newestRead      uint64 // newest number that a read returned
	acks            []ack
	lastChange      uint64            // counter of changes
	evacuationZones []*evacuationZone // each with its own operator
	resendable      []controlstate.Change
	histories       map[string]*changeHistory
	proxies         []*proxy

	lost        int           // disks lost since the view was last complete
	lostAt      time.Duration // when the last one was lost
	pending     int           // nodes that are about to be replaced
	violation   error
	clientsDone bool
	ackDelay    time.Duration // from the last fault until a change was acknowledged
	faultsOver  bool
	stats       stats
	trace       func(string, ...any)
}

// stats counts what happened in a run.
type stats struct {
	accepted, unknown, refused, already, stale, reads, views                    int
	steps, lateMessages, polls, resent, joins, formerIncarnation, probes, zones int
}

func (s *stats) add(other stats) {
	s.accepted += other.accepted
	s.unknown += other.unknown
	s.refused += other.refused
	s.already += other.already
	s.stale += other.stale
	s.reads += other.reads
	s.views += other.views
	s.steps += other.steps
	s.lateMessages += other.lateMessages
	s.polls += other.polls
	s.resent += other.resent
	s.joins += other.joins
	s.formerIncarnation += other.formerIncarnation
	s.probes += other.probes
	s.zones += other.zones
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (w *clusterSim) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + d, seq: w.order, do: do})
}

// recordDisturbance records that a fault begins or ends.
func (w *clusterSim) recordDisturbance() { w.eventAt = w.now }

func newClusterSim(seed uint64, layout topology, knobs TestingKnobs) *clusterSim {
	w := &clusterSim{
		rng: rand.New(rand.NewPCG(seed, 1)), topology: layout, knobs: knobs,
		partitioned: map[[2]string]*partitionedPath{}, viewOf: map[uint64]string{},
		states: []*toy{{}}, acceptedAt: map[string]uint64{}, histories: map[string]*changeHistory{}, lost: layout.losses,
		trace: func(string, ...any) {},
	}
	for i := range layout.diskNodes {
		m := w.newNode(fmt.Sprintf("10.0.0.%d", i+1), layout.zone(i), layout.region(i))
		m.bootstrap = true
		w.seeds = append(w.seeds, m.member.Addr)
	}
	for i := range layout.observers {
		m := w.newNode(fmt.Sprintf("10.0.3.%d", i+1), layout.zone(i), "r0")
		m.observer, m.bootstrap = true, true
		if i == 0 {
			w.seeds = append([]string{m.member.Addr}, w.seeds...)
		}
	}
	for _, m := range w.nodes {
		m.seeds = w.seeds
	}
	for i := range layout.spares {
		w.newNode(fmt.Sprintf("10.0.1.%d", i+1), layout.zone(i), "r0")
	}
	for _, m := range w.nodes {
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() { m.start() })
	}
	for i := range layout.proxies() {
		w.newProxy(i)
	}
	return w
}

// runUntil advances the simulation to the time t.
func (w *clusterSim) runUntil(t time.Duration) {
	for w.violation == nil && len(w.events) > 0 && w.events[0].at <= t {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, t)
}

// runWhile advances the simulation while cond returns true, for at most limit. It reports whether cond became false.
func (w *clusterSim) runWhile(limit time.Duration, cond func() bool) bool {
	for end := w.now + limit; cond(); {
		if w.violation != nil || w.now >= end {
			return false
		}
		w.runUntil(w.now + 10*time.Millisecond)
	}
	return true
}
