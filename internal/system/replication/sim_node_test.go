package replication

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/wal"
)

// simNode is one node: its process, its disk and its location.
type simNode struct {
	sim             *clusterSim
	name            int
	member          Member
	removed         bool // permanently
	core            *Core
	incarnation     uint64
	startedAt       time.Duration
	disk            simDisk
	diskFull        bool
	acceptorReserve bool // a full disk has space for the acceptor state
	diskStalled     bool
	diskDelay       time.Duration
	paused          bool
	inbox           []func()
	lastCallID      uint64              // of the calls to this incarnation, as Node numbers them
	calls           map[uint64]*simCall // not completed yet
	bootstrap       bool                // may form the first view
	observer        bool                // has no disk
	seeds           []string
	polls           []*poll // pending polls of proxies

	committed   uint64
	checked     State
	completedOp *DiskOp // has completed, whether or not the process knows
	view        *View
}

func (w *clusterSim) newNode(addr, zone, region string) *simNode {
	m := &simNode{sim: w, seeds: w.seeds, name: len(w.nodes), member: Member{Addr: addr, Zone: zone, Region: region}, disk: simDisk{meta: map[string][]byte{}}}
	w.nodes = append(w.nodes, m)
	return m
}

func (m *simNode) isRunning() bool { return m.core != nil }

// isHealthy reports whether the process runs undisturbed on a working disk.
func (m *simNode) isHealthy() bool {
	return m.isRunning() && !m.paused && !m.diskFull && !m.diskStalled && m.diskDelay == 0
}

func (m *simNode) start() {
	w := m.sim
	if m.removed || m.core != nil {
		return
	}
	w.recordDisturbance()
	m.incarnation++
	incarnation := m.incarnation<<8 | uint64(m.name)
	self := m.member
	self.ID = ID(fmt.Sprintf("%s#%d-%x", self.Addr, m.incarnation, w.rng.Uint32()))
	core, err := NewCore(Config{
		Self: self, MachineLosses: w.losses, ZoneLosses: w.zoneLosses, Seeds: m.seeds, Bootstrap: m.bootstrap, Incarnation: incarnation, Seed: uint64(m.name), Observer: m.observer,
		knobs: w.knobs, compactRecords: 20, retainedRecords: 5,
	}, w.machine, clone(m.disk.meta), m.disk.snap, slices.Clone(m.disk.entries))
	if err != nil {
		w.fail(fmt.Errorf("node %d does not start: %w", m.name, err))
		return
	}
	m.core, m.startedAt = core, w.now
	m.committed, m.checked, m.view = 0, nil, nil
	m.paused, m.inbox, m.polls = false, nil, nil
	m.lastCallID, m.calls = 0, map[uint64]*simCall{}
	m.executeOutputs()
	m.tick(core)
}

func clone(m map[string][]byte) map[string][]byte {
	out := map[string][]byte{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (m *simNode) clock() time.Duration { return m.sim.now - m.startedAt }

func (m *simNode) tick(core *Core) {
	if m.core != core {
		return
	}
	if !m.paused {
		core.Tick(m.clock())
		m.executeOutputs()
		m.sim.checkCurrent(m)
	}
	m.sim.after(25*time.Millisecond+time.Duration(m.sim.rng.IntN(5))*time.Millisecond, func() { m.tick(core) })
}

// run runs do in the process, after a pause if the process is paused.
func (m *simNode) run(core *Core, do func()) {
	if m.core != core || core == nil {
		return
	}
	if m.paused {
		if len(m.inbox) < 3000 {
			m.inbox = append(m.inbox, do)
		}
		return
	}
	do()
	m.executeOutputs()
}

func (m *simNode) pause(d time.Duration) {
	core := m.core
	m.sim.recordDisturbance()
	m.paused = core != nil
	m.sim.after(d, func() {
		if m.core == core && core != nil {
			m.resume()
		}
	})
}

func (m *simNode) resume() {
	if !m.paused {
		return
	}
	m.sim.recordDisturbance()
	m.paused = false
	core, inbox := m.core, m.inbox
	m.inbox = nil
	if m.sim.rng.IntN(2) == 0 && core != nil {
		core.Tick(m.clock())
		m.executeOutputs()
	}
	for _, do := range inbox {
		m.run(core, do)
	}
}

// kill ends the process and loses everything that is not on disk. A write in flight may or may not take effect.
func (m *simNode) kill() {
	if m.core == nil {
		return
	}
	m.sim.recordDisturbance()
	if op := m.core.writer.op; op != nil && op != m.completedOp && !m.diskFull && m.sim.rng.IntN(2) == 0 {
		m.disk.do(op, m.sim.rng.IntN(len(op.Entries)+1))
	}
	m.core = nil
	m.paused, m.inbox, m.polls = false, nil, nil
	if m.observer {
		m.disk = simDisk{meta: map[string][]byte{}}
	}
	asked := m.calls
	m.calls = nil
	for _, id := range slices.Sorted(maps.Keys(asked)) {
		m.sim.checkCompletion(asked[id], Completion{ID: id, Read: asked[id].read, Outcome: Unknown})
	}
}

func (m *simNode) wipe() {
	m.kill()
	if !m.sim.knobs.KeepIdentityOfLostDisk {
		m.disk = simDisk{meta: map[string][]byte{}}
	} else {
		// The identity survives, but its promises do not.
		if core, err := NewCore(Config{Self: m.member}, toyMachine{}, m.disk.meta, wal.Snapshot{}, nil); err == nil {
			core.acceptor.promised, core.acceptor.accepted, core.acceptor.acceptedView = proposalNumber{}, proposalNumber{}, nil
			core.acceptor.view, core.acceptor.activeEpoch = &View{}, 0
			core.writer.acceptorDirty, core.writer.op = true, nil
			core.writer.startWrite()
			m.disk = simDisk{meta: map[string][]byte{}}
			m.disk.do(core.writer.op, 0)
		}
	}
	m.bootstrap = false
	m.diskFull, m.diskStalled, m.diskDelay = false, false, 0
}

// executeOutputs executes the work that the core requests.
func (m *simNode) executeOutputs() {
	w, core := m.sim, m.core
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
		if a := m.calls[done.ID]; a != nil {
			delete(m.calls, done.ID)
			w.checkCompletion(a, done)
		}
	}
	m.wakePolls()
}
