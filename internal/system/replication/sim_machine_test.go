package replication

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/wal"
)

// machine is one keeper's machine.
type machine struct {
	w        *world
	name     int
	member   Member
	gone     bool // for good
	core     *Core
	life     uint64
	born     time.Duration
	disk     plate
	full     bool
	reserve  bool // a full disk has room for the register
	stall    bool
	slow     time.Duration
	frozen   bool
	thawedAt time.Duration // 0: never
	inbox    []func()
	ids      uint64            // of the calls to this life, as Keeper numbers them
	asked    map[uint64]*asked // not yet ended
	boot     bool              // may form the first view
	watcher  bool              // an observer: it has no disk
	seeds    []string
	polls    []*poll // of proxies, held

	committed uint64
	checked   State
	carried   *DiskOp // has ended, whether or not the process knows
	view      *View
}

func (w *world) newMachine(addr, zone, region string) *machine {
	m := &machine{w: w, seeds: w.seeds, name: len(w.nodes), member: Member{Addr: addr, Zone: zone, Region: region}, disk: plate{meta: map[string][]byte{}}}
	w.nodes = append(w.nodes, m)
	return m
}

func (m *machine) up() bool { return m.core != nil }

// healthy tells whether the process runs undisturbed on a disk that works.
func (m *machine) healthy() bool {
	return m.up() && !m.frozen && !m.full && !m.stall && m.slow == 0
}

func (m *machine) start() {
	w := m.w
	if m.gone || m.core != nil {
		return
	}
	w.disturbed()
	m.life++
	life := m.life<<8 | uint64(m.name)
	self := m.member
	self.ID = ID(fmt.Sprintf("%s#%d-%x", self.Addr, m.life, w.rng.Uint32()))
	core, err := NewCore(Config{
		Self: self, MachineLosses: w.losses, ZoneLosses: w.zoneLosses, Seeds: m.seeds, Bootstrap: m.boot, Incarnation: life, Seed: uint64(m.name), Observer: m.watcher,
		knobs: w.knobs, compactRecords: 20, retainedRecords: 5,
	}, w.machine, clone(m.disk.meta), m.disk.snap, slices.Clone(m.disk.entries))
	if err != nil {
		w.fail(fmt.Errorf("machine %d does not start: %w", m.name, err))
		return
	}
	m.core, m.born = core, w.now
	m.committed, m.checked, m.view = 0, nil, nil
	m.frozen, m.inbox, m.polls = false, nil, nil
	m.ids, m.asked, m.thawedAt = 0, map[uint64]*asked{}, 0
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

func (m *machine) freeze(d time.Duration) {
	core := m.core
	m.w.disturbed()
	m.frozen = core != nil
	m.w.after(d, func() {
		if m.core == core && core != nil {
			m.thaw()
		}
	})
}

func (m *machine) thaw() {
	if !m.frozen {
		return
	}
	m.w.disturbed()
	m.frozen, m.thawedAt = false, m.w.now
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
	m.w.disturbed()
	if op := m.core.writer.op; op != nil && op != m.carried && !m.full && m.w.rng.IntN(2) == 0 {
		m.disk.do(op, m.w.rng.IntN(len(op.Entries)+1))
	}
	m.core = nil
	m.frozen, m.inbox, m.polls = false, nil, nil
	if m.watcher {
		m.disk = plate{meta: map[string][]byte{}}
	}
	asked := m.asked
	m.asked = nil
	for _, id := range slices.Sorted(maps.Keys(asked)) {
		m.w.ended(asked[id], Completion{ID: id, Read: asked[id].read, Outcome: Unknown})
	}
}

func (m *machine) wipe() {
	m.kill()
	if !m.w.knobs.KeepIdentityOfLostDisk {
		m.disk = plate{meta: map[string][]byte{}}
	} else {
		// The identity survives, its promises do not.
		if core, err := NewCore(Config{Self: m.member}, toyMachine{}, m.disk.meta, wal.Snapshot{}, nil); err == nil {
			core.acceptor.promised, core.acceptor.accepted, core.acceptor.acceptedView = proposalNumber{}, proposalNumber{}, nil
			core.acceptor.view, core.acceptor.activeEpoch = &View{}, 0
			core.writer.acceptorDirty, core.writer.op = true, nil
			core.writer.startWrite()
			m.disk = plate{meta: map[string][]byte{}}
			m.disk.do(core.writer.op, 0)
		}
	}
	m.boot = false
	m.full, m.stall, m.slow = false, false, 0
}

// drain carries out what the core wants.
func (m *machine) drain() {
	w, core := m.w, m.core
	out := core.Ready()
	if w.onOutput != nil {
		w.onOutput(m, &out)
	}
	for _, n := range out.LogEvents {
		w.trace("%v machine %d: %s", w.now, m.name, n)
	}
	w.check(m)
	for _, e := range out.Messages {
		if w.deliver(m, e); m.core != core {
			return // killed at this step
		}
	}
	if op := out.Disk; op != nil {
		if w.step("write "+writeNames[op.Kind], m, ""); m.core != core {
			return
		}
		m.write(core, op)
	}
	for _, done := range out.Completions {
		if a := m.asked[done.ID]; a != nil {
			delete(m.asked, done.ID)
			w.ended(a, done)
		}
	}
	m.wakePolls()
}
