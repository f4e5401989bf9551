package replication

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// world is a seeded simulation of keepers, the proxies that follow them and the operators that call them, over a faulty
// network, faulty disks and a clock of its own.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	events eventQueue
	order  uint64
	shape
	knobs   TestingKnobs
	machine toyMachine
	nodes   []*machine
	seeds   []string

	cut      map[[2]string]*cutLink
	loss     float64
	slack    time.Duration // more delay
	armed    []*armedStep
	onAck    []func()                   // armed faults
	onAnswer func(*asked, Completion)   // told every answer of a keeper
	onStep   func(string, string)       // told every step and the address that takes it
	onOutput func(*machine, *Outputs)   // told all that a core wants done, before any of it is
	onReply  func(*machine, *pollReply) // told every answer of a keeper to a proxy
	eventAt  time.Duration              // of the last fault's begin or end

	truth   []string // committed records, agreed by all
	states  []*toy   // after each committed record
	takenAt map[string]uint64
	epochs  []uint64 // in which each record was committed first
	viewOf  map[uint64]string
	newest  *View

	acked   uint64 // newest number acknowledged
	seen    uint64 // newest number that a read gave
	acks    []ack
	ids     uint64  // of changes
	zones   []*zone // with an operator each
	old     []controlstate.Change
	ledger  map[string]*ledgerEntry
	proxies []*proxy

	lost       int           // disks lost since all was well
	lostAt     time.Duration // when the last one was
	pending    int           // machines that are about to be replaced
	broken     error
	clientsEnd bool
	ackedAfter time.Duration // the last fault, a change was acknowledged
	quiet      bool          // faults are over
	stats      stats
	trace      func(string, ...any)
}

// stats count what came about in a run.
type stats struct {
	accepted, unknown, refused, already, stale, reads, views             int
	steps, lateMessages, polls, resent, joins, formerLife, probes, zones int
}

func (s *stats) add(o stats) {
	s.accepted += o.accepted
	s.unknown += o.unknown
	s.refused += o.refused
	s.already += o.already
	s.stale += o.stale
	s.reads += o.reads
	s.views += o.views
	s.steps += o.steps
	s.lateMessages += o.lateMessages
	s.polls += o.polls
	s.resent += o.resent
	s.joins += o.joins
	s.formerLife += o.formerLife
	s.probes += o.probes
	s.zones += o.zones
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

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + d, seq: w.order, do: do})
}

// disturbed notes that a fault begins or ends.
func (w *world) disturbed() { w.eventAt = w.now }

func newWorld(seed uint64, s shape, h TestingKnobs) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), shape: s, knobs: h,
		cut: map[[2]string]*cutLink{}, viewOf: map[uint64]string{},
		states: []*toy{{}}, takenAt: map[string]uint64{}, ledger: map[string]*ledgerEntry{}, lost: s.losses,
		trace: func(string, ...any) {},
	}
	for i := range s.keepers {
		m := w.newMachine(fmt.Sprintf("10.0.0.%d", i+1), s.zone(i), s.region(i))
		m.boot = true
		w.seeds = append(w.seeds, m.member.Addr)
	}
	for i := range s.observers {
		m := w.newMachine(fmt.Sprintf("10.0.3.%d", i+1), s.zone(i), "r0")
		m.watcher, m.boot = true, true
		if i == 0 {
			w.seeds = append([]string{m.member.Addr}, w.seeds...)
		}
	}
	for _, m := range w.nodes {
		m.seeds = w.seeds
	}
	for i := range s.spares {
		w.newMachine(fmt.Sprintf("10.0.1.%d", i+1), s.zone(i), "r0")
	}
	for _, m := range w.nodes {
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() { m.start() })
	}
	for i := range s.proxies() {
		w.newProxy(i)
	}
	return w
}

// runUntil lets the simulation go on.
func (w *world) runUntil(t time.Duration) {
	for w.broken == nil && len(w.events) > 0 && w.events[0].at <= t {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, t)
}

// runWhile lets the simulation go on while cond holds, until the limit; it tells whether cond ended.
func (w *world) runWhile(limit time.Duration, cond func() bool) bool {
	for end := w.now + limit; cond(); {
		if w.broken != nil || w.now >= end {
			return false
		}
		w.runUntil(w.now + 10*time.Millisecond)
	}
	return true
}
