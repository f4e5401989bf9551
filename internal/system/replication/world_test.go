package replication

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// world is a seeded simulation of keepers over a faulty network, faulty disks and a clock of its own.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	events eventQueue
	order  uint64
	nodes  []*machine
	seeds  []string
	losses int
	acks   []ack
	hooks  hooks
	spares int

	cut   map[[2]string]bool
	loss  float64
	slack time.Duration // more delay

	truth          []string // committed records, agreed by all
	viewOf         map[uint64]string
	epochs         []uint64 // in which each record was committed first
	newest         *View
	acked          uint64            // newest number acknowledged
	ids            uint64            // of submits and reads
	asked          map[uint64]*asked // not yet ended
	lost           int               // disks lost since all was well
	broken         error
	onAck          []func() // armed faults
	clientsEnd     bool
	states         []*toy          // after each committed record
	refused, vague map[string]bool // changes that must not come about, and those that may
	quiet          bool            // faults are over
	stats          struct{ accepted, unknown, refused, already, stale, reads, views int }
	trace          func(string, ...any)
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

// machine is one keeper's machine.
type machine struct {
	w       *world
	name    int
	member  Member
	gone    bool // for good
	core    *Core
	life    uint64
	born    time.Duration
	disk    plate
	full    bool
	reserve bool // a full disk has room for the register
	stall   bool
	slow    time.Duration
	frozen  bool
	inbox   []func()
	boot    bool // may form the first view
	seeds   []string

	committed uint64
	checked   State
	carried   *DiskOp // has ended, whether or not the process knows
	view      *View
}

// plate is what would be left after a loss of power.
type plate struct {
	meta    map[string][]byte
	snap    wal.Snapshot
	entries []wal.Entry
}

var errFull = errors.New("no space left on device")

func (p *plate) do(op *DiskOp, part int) {
	switch op.Kind {
	case DiskSaveMeta:
		p.meta[op.Name] = op.Data
	case DiskAppend:
		for _, e := range op.Entries[:min(part, len(op.Entries))] {
			want := p.snap.Seq
			if n := len(p.entries); n > 0 {
				want = p.entries[n-1].Seq
			}
			if e.Seq != want+1 {
				panic(fmt.Sprintf("append of %d after %d", e.Seq, want))
			}
			p.entries = append(p.entries, e)
		}
	case DiskTruncate:
		i := slices.IndexFunc(p.entries, func(e wal.Entry) bool { return e.Seq > op.After })
		if i >= 0 {
			p.entries = p.entries[:i:i]
		}
	case DiskCompact:
		p.snap = op.Snapshot
		i := slices.IndexFunc(p.entries, func(e wal.Entry) bool { return e.Seq > op.Snapshot.Seq })
		if i < 0 {
			i = len(p.entries)
		}
		p.entries = p.entries[i:]
	case DiskInstall:
		p.snap, p.entries = op.Snapshot, nil
	}
}

func newWorld(seed uint64, nodes, spares, losses int, h hooks) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), losses: losses, hooks: h, spares: spares,
		cut: map[[2]string]bool{}, viewOf: map[uint64]string{}, asked: map[uint64]*asked{},
		states: []*toy{{}}, refused: map[string]bool{}, vague: map[string]bool{}, lost: losses,
		trace: func(string, ...any) {},
	}
	for i := range nodes {
		region := "r0"
		if nodes+spares > 3 && i%2 == 1 {
			region = "r1"
		}
		m := w.newMachine(fmt.Sprintf("10.0.0.%d", i+1), fmt.Sprintf("z%d", i%3), region)
		m.boot = true
		w.seeds = append(w.seeds, m.member.Addr)
	}
	for _, m := range w.nodes {
		m.seeds = w.seeds
	}
	for i := range spares {
		w.newMachine(fmt.Sprintf("10.0.1.%d", i+1), "z0", "r0")
	}
	for _, m := range w.nodes {
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() { m.start() })
	}
	return w
}

func (w *world) newMachine(addr, zone, region string) *machine {
	m := &machine{w: w, seeds: w.seeds, name: len(w.nodes), member: Member{Addr: addr, Zone: zone, Region: region}, disk: plate{meta: map[string][]byte{}}}
	w.nodes = append(w.nodes, m)
	return m
}

func (m *machine) up() bool { return m.core != nil }

func (m *machine) start() {
	w := m.w
	if m.gone || m.core != nil {
		return
	}
	m.life++
	life := m.life<<8 | uint64(m.name)
	self := m.member
	self.ID = ID(fmt.Sprintf("%s#%d-%x", self.Addr, m.life, w.rng.Uint32()))
	core, err := NewCore(Config{
		Self: self, MachineLosses: w.losses, Seeds: m.seeds, Bootstrap: m.boot, Life: life, Seed: uint64(m.name),
		hooks: w.hooks, compactAfter: 20, keepBehind: 5,
	}, toyMachine{}, clone(m.disk.meta), m.disk.snap, slices.Clone(m.disk.entries))
	if err != nil {
		w.fail(fmt.Errorf("machine %d does not start: %w", m.name, err))
		return
	}
	m.core, m.born = core, w.now
	m.committed, m.checked, m.view = 0, nil, nil
	m.frozen, m.inbox = false, nil
	m.drain()
	m.tick(core)
}

func clone(m map[string][]byte) map[string][]byte {
	out := map[string][]byte{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (m *machine) clock() time.Duration { return m.w.now - m.born }

func (m *machine) tick(core *Core) {
	if m.core != core {
		return
	}
	if !m.frozen {
		core.Tick(m.clock())
		m.drain()
		m.w.checkCurrent(m)
	}
	m.w.after(25*time.Millisecond+time.Duration(m.w.rng.IntN(5))*time.Millisecond, func() { m.tick(core) })
}

// run has the process do something when it is not frozen.
func (m *machine) run(core *Core, do func()) {
	if m.core != core || core == nil {
		return
	}
	if m.frozen {
		if len(m.inbox) < 3000 {
			m.inbox = append(m.inbox, do)
		}
		return
	}
	do()
	m.drain()
}

func (m *machine) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	core, inbox := m.core, m.inbox
	m.inbox = nil
	if m.w.rng.IntN(2) == 0 && core != nil {
		core.Tick(m.clock())
		m.drain()
	}
	for _, do := range inbox {
		m.run(core, do)
	}
}

// kill ends the process; with it goes what is not on disk. A write under way may or may not have come about.
func (m *machine) kill() {
	if m.core == nil {
		return
	}
	if op := m.core.disk.op; op != nil && op != m.carried && !m.full && m.w.rng.IntN(2) == 0 {
		m.disk.do(op, m.w.rng.IntN(len(op.Entries)+1))
	}
	m.core = nil
	m.frozen, m.inbox = false, nil
	for _, id := range slices.Sorted(maps.Keys(m.w.asked)) {
		if a := m.w.asked[id]; a.at == m {
			delete(m.w.asked, id)
			m.w.ended(a, Completion{ID: id, Read: a.read, Outcome: Unknown})
		}
	}
}

func (m *machine) wipe() {
	m.kill()
	if !m.w.hooks.keepVote {
		m.disk = plate{meta: map[string][]byte{}}
	} else {
		// The identity survives, its promises do not.
		if core, err := NewCore(Config{Self: m.member}, toyMachine{}, m.disk.meta, wal.Snapshot{}, nil); err == nil {
			core.reg.promised, core.reg.accepted, core.reg.next = ballot{}, ballot{}, nil
			core.reg.view, core.reg.active = &View{}, 0
			core.disk.dirty, core.disk.op = true, nil
			core.startWrite()
			m.disk = plate{meta: map[string][]byte{}}
			m.disk.do(core.disk.op, 0)
		}
	}
	m.boot = false
	m.full, m.stall, m.slow = false, false, 0
}

// drain carries out what the core wants.
func (m *machine) drain() {
	w, core := m.w, m.core
	out := core.Take()
	for _, n := range out.Notes {
		w.trace("%v machine %d: %s", w.now, m.name, n)
	}
	for _, e := range out.Messages {
		w.deliver(m, e)
	}
	if op := out.Disk; op != nil {
		m.write(core, op)
	}
	w.check(m)
	for _, done := range out.Done {
		if a := w.asked[done.ID]; a != nil {
			delete(w.asked, done.ID)
			w.ended(a, done)
		}
	}
}

func (m *machine) write(core *Core, op *DiskOp) {
	w := m.w
	if m.core != core {
		return
	}
	if m.stall {
		w.after(50*time.Millisecond, func() { m.write(core, op) })
		return
	}
	d := time.Duration(1+w.rng.IntN(8))*time.Millisecond + m.slow
	w.after(d, func() {
		if m.core != core {
			return
		}
		if m.stall {
			m.write(core, op)
			return
		}
		m.carried = op
		if m.full && op.Kind != DiskTruncate && (op.Kind != DiskSaveMeta || !m.reserve) {
			part := 0
			if w.rng.IntN(3) == 0 && op.Kind == DiskAppend { // some of it came about
				part = w.rng.IntN(len(op.Entries) + 1)
				m.disk.do(op, part)
			}
			m.run(core, func() { core.DiskDone(m.clock(), op.Token, errFull) })
			return
		}
		m.disk.do(op, len(op.Entries))
		m.run(core, func() { core.DiskDone(m.clock(), op.Token, nil) })
	})
}

func (w *world) deliver(from *machine, e Envelope) {
	if w.cut[[2]string{from.member.Addr, e.Addr}] || w.rng.Float64() < w.loss {
		return
	}
	n := 1
	if w.rng.IntN(50) == 0 {
		n = 2
	}
	for range n {
		d := time.Millisecond
		if to := w.at(e.Addr); to != nil && to.member.Region != from.member.Region {
			d = 45 * time.Millisecond
		}
		d += time.Duration(w.rng.ExpFloat64() * float64(d) / 4)
		if w.slack > 0 && w.rng.IntN(4) == 0 {
			d += time.Duration(w.rng.Int64N(int64(w.slack)))
		}
		msg := e.Msg
		w.after(d, func() { w.arrive(e.Addr, msg) })
	}
}

func (w *world) arrive(addr string, msg *replicationpb.Message) {
	if m := w.at(addr); m != nil && m.core != nil {
		core := m.core
		m.run(core, func() { core.Receive(m.clock(), msg) })
	}
}

func (w *world) at(addr string) *machine {
	for _, m := range w.nodes {
		if m.member.Addr == addr && !m.gone {
			return m
		}
	}
	return nil
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
