package replication

import (
	"maps"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// clusterStep is how long a message and a write take in a cluster.
const clusterStep = 5 * time.Millisecond

// scriptedCluster drives cores without faults of its own: a test scripts who runs, what is held back and when it arrives.
type scriptedCluster struct {
	t            *testing.T
	now          time.Duration
	nodes        map[string]*scriptedNode // by address
	sent         []Envelope
	filter       func(from, to string, m *replicationpb.Message) bool // false: the message is lost; nil: none is
	lastCallID   uint64
	done         map[uint64]Completion
	machine      Machine
	slowNetworks map[string]*slowNetwork // by address: what arrives there through a slow link
}

// slowNetwork is a slow link to a keeper, on which appends and snapshots wait for each other.
type slowNetwork struct {
	bytesPerSecond float64 // bytes a second
	freeAt         time.Duration
	sentBytes      int // bytes
	arrivals       []arrival
}

type arrival struct {
	at       time.Duration
	envelope Envelope
}

// transmits tells whether the message goes through the pipe; heartbeats have a connection of their own.
func (p *slowNetwork) transmits(now time.Duration, e Envelope) bool {
	if e.Msg.GetAppend() == nil && e.Msg.GetInstall() == nil {
		return false
	}
	size := proto.Size(e.Msg)
	p.sentBytes += size
	p.freeAt = max(p.freeAt, now) + time.Duration(float64(size)/p.bytesPerSecond*float64(time.Second))
	p.arrivals = append(p.arrivals, arrival{p.freeAt, e})
	return true
}

// scriptedNode is one core and what its disk holds.
type scriptedNode struct {
	core      *Core // nil: it does not run
	cfg       Config
	startedAt time.Duration
	paused    bool
	disk      *memDisk
	pending   []*DiskOp
}

func newScriptedCluster(t *testing.T) *scriptedCluster {
	return &scriptedCluster{t: t, nodes: map[string]*scriptedNode{}, done: map[uint64]Completion{}, machine: toyMachine{}, slowNetworks: map[string]*slowNetwork{}}
}

// start starts a keeper at cfg.Self.Addr, on the disk that it left there.
func (cl *scriptedCluster) start(cfg Config) *scriptedNode {
	cl.t.Helper()
	addr := cfg.Self.Addr
	n := cl.nodes[addr]
	if n == nil {
		n = &scriptedNode{disk: newMemDisk()}
		cl.nodes[addr] = n
	}
	cl.lastCallID++
	cfg.Incarnation, cfg.Seed = cl.lastCallID, cl.lastCallID
	if cfg.Self.ID == "" {
		cfg.Self.ID = ID(addr)
	}
	core, err := NewCore(cfg, cl.machine, clone(n.disk.p.meta), n.disk.p.snap, slices.Clone(n.disk.p.entries))
	if err != nil {
		cl.t.Fatal(err)
	}
	n.core, n.cfg, n.startedAt, n.paused, n.pending = core, cfg, cl.now, false, nil
	cl.collect(addr)
	return n
}

func (cl *scriptedCluster) clock(n *scriptedNode) time.Duration { return cl.now - n.startedAt }

// collect takes what a core wants done.
func (cl *scriptedCluster) collect(addr string) {
	n := cl.nodes[addr]
	out := n.core.Ready()
	for _, e := range out.Messages {
		if cl.filter == nil || cl.filter(addr, e.Addr, e.Msg) {
			cl.sent = append(cl.sent, e)
		}
	}
	if out.Disk != nil {
		n.pending = append(n.pending, out.Disk)
	}
	for _, d := range out.Completions {
		cl.done[d.ID] = d
	}
	if err := n.core.Err(); err != nil {
		cl.t.Fatalf("%s stopped: %v", addr, err)
	}
}

// captureForwards takes the changes that sender passes on to head off the network from now on, until another filter is set.
func (cl *scriptedCluster) captureForwards(sender, head string) *[]Envelope {
	var held []Envelope
	cl.filter = func(from, to string, m *replicationpb.Message) bool {
		if from == sender && to == head && m.GetForward() != nil {
			held = append(held, Envelope{Addr: to, Msg: m})
			return false
		}
		return true
	}
	return &held
}

// deliver hands a message over at once, whether or not the filter would let it through.
func (cl *scriptedCluster) deliver(e Envelope) {
	if n := cl.nodes[e.Addr]; n != nil && n.core != nil && !n.paused {
		n.core.Receive(cl.clock(n), e.Msg)
		cl.collect(e.Addr)
	}
}

func (cl *scriptedCluster) step() {
	cl.now += clusterStep
	sent := cl.sent
	cl.sent = nil
	for _, e := range sent {
		if p := cl.slowNetworks[e.Addr]; p == nil || !p.transmits(cl.now, e) {
			cl.deliver(e)
		}
	}
	for _, p := range cl.slowNetworks {
		for len(p.arrivals) > 0 && p.arrivals[0].at <= cl.now {
			e := p.arrivals[0].envelope
			p.arrivals = p.arrivals[1:]
			cl.deliver(e)
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(cl.nodes)) {
		n := cl.nodes[addr]
		if n.core == nil || n.paused {
			continue
		}
		ops := n.pending
		n.pending = nil
		for _, op := range ops {
			n.disk.p.do(op, len(op.Entries))
			n.core.DiskDone(cl.clock(n), op.Token, nil)
		}
		if cl.now%(25*time.Millisecond) == 0 {
			n.core.Tick(cl.clock(n))
		}
		cl.collect(addr)
	}
}

func (cl *scriptedCluster) run(d time.Duration) {
	for end := cl.now + d; cl.now < end; {
		cl.step()
	}
}

// until runs until ok, and fails the test when that takes longer than limit.
func (cl *scriptedCluster) until(limit time.Duration, what string, ok func() bool) time.Duration {
	cl.t.Helper()
	began := cl.now
	for !ok() {
		if cl.now-began > limit {
			for _, addr := range slices.Sorted(maps.Keys(cl.nodes)) {
				if n := cl.nodes[addr]; n.core != nil {
					cl.t.Logf("%s: view %d %v, active %d, committed %d of %d", addr, n.core.acceptor.view.Epoch, n.core.acceptor.view, n.core.acceptor.durableActive,
						n.core.chain.commitIndex, n.core.chain.log.end())
				}
			}
			cl.t.Fatalf("not within %v: %s", limit, what)
		}
		cl.step()
	}
	return cl.now - began
}

// submit asks for a change at addr and gives the number under which it ends.
func (cl *scriptedCluster) submit(addr string, ch controlstate.Change, ttl time.Duration) uint64 {
	cl.lastCallID++
	n := cl.nodes[addr]
	n.core.Submit(cl.clock(n), cl.lastCallID, ch, ttl)
	cl.collect(addr)
	return cl.lastCallID
}

func (cl *scriptedCluster) read(addr string, ttl time.Duration) uint64 {
	cl.lastCallID++
	n := cl.nodes[addr]
	n.core.Read(cl.clock(n), cl.lastCallID, ttl)
	cl.collect(addr)
	return cl.lastCallID
}

func (cl *scriptedCluster) answered(id uint64) bool {
	d, ok := cl.done[id]
	return ok && d.Outcome == Answered
}

// view is the newest view that any running core knows.
func (cl *scriptedCluster) view() *View {
	newest := &View{}
	for _, n := range cl.nodes {
		if n.core != nil && n.core.acceptor.view.Epoch > newest.Epoch {
			newest = n.core.acceptor.view
		}
	}
	return newest
}

// complete tells whether the newest view has that many links and voters, and all links are active.
func (cl *scriptedCluster) complete(links, voters int) bool {
	v := cl.view()
	if len(v.Chain) != links || len(v.Voters) != voters {
		return false
	}
	for _, m := range v.Voters {
		if n := cl.nodes[m.Addr]; n == nil || n.core == nil || n.core.acceptor.view.Epoch != v.Epoch || n.core.acceptor.acceptedView != nil {
			return false
		}
	}
	for _, id := range v.Chain {
		m, _ := v.Voter(id)
		if n := cl.nodes[m.Addr]; n.core.acceptor.durableActive != v.Epoch {
			return false
		}
	}
	return true
}

func evacuating(zone string) controlstate.Change {
	return controlstate.Change{Op: controlstate.OpEvacuate, Zone: zone}
}

func replacing(base int64, body string) controlstate.Change {
	return controlstate.Change{Op: controlstate.OpReplace, Base: base, Body: []byte(body)}
}
