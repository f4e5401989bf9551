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

// clusterStep is how long a message and a write take in a scriptedCluster.
const clusterStep = 5 * time.Millisecond

// scriptedCluster drives cores without random faults: a test controls which nodes run, which messages are delayed, and when they
// arrive.
type scriptedCluster struct {
	t            *testing.T
	now          time.Duration
	nodes        map[string]*scriptedNode // by address
	sent         []Envelope
	filter       func(from, to string, m *replicationpb.Message) bool // returns false for a message to be lost; nil: none is lost
	lastCallID   uint64
	done         map[uint64]Completion
	machine      Machine
	slowNetworks map[string]*slowNetwork  // by address: the slow link over which the node receives
	quotas       map[string]cpuQuota      // by address; no entry: the node always runs
	writeTimes   map[string]time.Duration // by address: duration of each write; no entry: clusterStep
}

// cpuQuota is a CPU quota: the node runs at full speed for a share of each quotaPeriod, and then not at all until the next one.
type cpuQuota struct {
	share float64
	phase time.Duration // when its periods begin
}

const quotaPeriod = 100 * time.Millisecond

// isThrottled reports whether a node has used up its quota for the current period.
func (cluster *scriptedCluster) isThrottled(addr string) bool {
	quota, ok := cluster.quotas[addr]
	return ok && (cluster.now+quota.phase)%quotaPeriod >= time.Duration(quota.share*float64(quotaPeriod))
}

// slowNetwork is a slow link to a node, on which appends and snapshots are queued.
type slowNetwork struct {
	bytesPerSecond float64
	freeAt         time.Duration
	sentBytes      int
	arrivals       []arrival
}

type arrival struct {
	at       time.Duration
	envelope Envelope
}

// transmits reports whether the message is sent over the slow link; heartbeats have a connection of their own.
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

// scriptedNode is one core and the contents of its disk.
type scriptedNode struct {
	core      *Core // nil: the node is stopped
	cfg       Config
	startedAt time.Duration
	paused    bool
	disk      *memDisk
	pending   []*DiskOp
	writtenAt time.Duration // when the write in progress ends
}

func newScriptedCluster(t *testing.T) *scriptedCluster {
	return &scriptedCluster{t: t, nodes: map[string]*scriptedNode{}, done: map[uint64]Completion{}, machine: toyMachine{}, slowNetworks: map[string]*slowNetwork{}}
}

// start starts a node at cfg.Self.Addr, on the disk that was last used there.
func (cluster *scriptedCluster) start(cfg Config) {
	cluster.t.Helper()
	addr := cfg.Self.Addr
	started := cluster.nodes[addr]
	if started == nil {
		started = &scriptedNode{disk: newMemDisk()}
		cluster.nodes[addr] = started
	}
	cluster.lastCallID++
	cfg.Incarnation, cfg.Seed = cluster.lastCallID, cluster.lastCallID
	if cfg.Self.ID == "" {
		cfg.Self.ID = ID(addr)
	}
	core, err := NewCore(cfg, cluster.machine, clone(started.disk.p.meta), started.disk.p.snap, slices.Clone(started.disk.p.entries))
	if err != nil {
		cluster.t.Fatal(err)
	}
	started.core, started.cfg, started.startedAt, started.paused, started.pending = core, cfg, cluster.now, false, nil
	cluster.processOutputs(addr)
}

func (cluster *scriptedCluster) clock(n *scriptedNode) time.Duration {
	return cluster.now - n.startedAt
}

// processOutputs executes the work that a core requests.
func (cluster *scriptedCluster) processOutputs(addr string) {
	source := cluster.nodes[addr]
	out := source.core.Ready()
	for _, e := range out.Messages {
		if cluster.filter == nil || cluster.filter(addr, e.Addr, e.Msg) {
			cluster.sent = append(cluster.sent, e)
		}
	}
	if out.Disk != nil {
		source.pending = append(source.pending, out.Disk)
		source.writtenAt = cluster.now + cluster.writeTimes[addr]
	}
	for _, d := range out.Completions {
		cluster.done[d.ID] = d
	}
	if err := source.core.Err(); err != nil {
		cluster.t.Fatalf("%s stopped: %v", addr, err)
	}
}

// captureForwards removes from the network the changes that sender forwards to head from now on, until another filter is set.
func (cluster *scriptedCluster) captureForwards(sender, head string) *[]Envelope {
	var held []Envelope
	cluster.filter = func(from, to string, m *replicationpb.Message) bool {
		if from == sender && to == head && m.GetForward() != nil {
			held = append(held, Envelope{Addr: to, Msg: m})
			return false
		}
		return true
	}
	return &held
}

// deliver delivers a message immediately, regardless of the filter.
func (cluster *scriptedCluster) deliver(e Envelope) {
	if n := cluster.nodes[e.Addr]; n != nil && n.core != nil && !n.paused {
		n.core.Receive(cluster.clock(n), e.Msg)
		cluster.processOutputs(e.Addr)
	}
}

func (cluster *scriptedCluster) step() {
	cluster.now += clusterStep
	sent := cluster.sent
	cluster.sent = nil
	for _, e := range sent {
		if cluster.isThrottled(e.Addr) {
			cluster.sent = append(cluster.sent, e) // the message waits in the node's socket
			continue
		}
		if p := cluster.slowNetworks[e.Addr]; p == nil || !p.transmits(cluster.now, e) {
			cluster.deliver(e)
		}
	}
	for _, p := range cluster.slowNetworks {
		for len(p.arrivals) > 0 && p.arrivals[0].at <= cluster.now {
			e := p.arrivals[0].envelope
			p.arrivals = p.arrivals[1:]
			cluster.deliver(e)
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(cluster.nodes)) {
		n := cluster.nodes[addr]
		if n.core == nil || n.paused || cluster.isThrottled(addr) {
			continue
		}
		cluster.finishWrites(n)
		if cluster.quotas != nil || cluster.now%(25*time.Millisecond) == 0 { // a node with a quota may be suspended at such a time
			n.core.Tick(cluster.clock(n))
		}
		cluster.processOutputs(addr)
	}
}

// finishWrites completes the writes of a node that are due.
func (cluster *scriptedCluster) finishWrites(writer *scriptedNode) {
	if cluster.now < writer.writtenAt {
		return
	}
	ops := writer.pending
	writer.pending = nil
	for _, op := range ops {
		writer.disk.p.do(op, len(op.Entries))
		writer.core.DiskDone(cluster.clock(writer), op.Token, nil)
	}
}

func (cluster *scriptedCluster) run(d time.Duration) {
	for end := cluster.now + d; cluster.now < end; {
		cluster.step()
	}
}

// until runs until ok returns true, and fails the test if that takes longer than limit.
func (cluster *scriptedCluster) until(limit time.Duration, what string, ok func() bool) time.Duration {
	cluster.t.Helper()
	began := cluster.now
	for !ok() {
		if cluster.now-began > limit {
			for _, addr := range slices.Sorted(maps.Keys(cluster.nodes)) {
				if n := cluster.nodes[addr]; n.core != nil {
					cluster.t.Logf("%s: view %d %v, active %d, committed %d of %d", addr, n.core.acceptor.view.Epoch, n.core.acceptor.view, n.core.acceptor.durableActiveEpoch,
						n.core.chain.commitIndex, n.core.chain.log.end())
				}
			}
			cluster.t.Fatalf("not within %v: %s", limit, what)
		}
		cluster.step()
	}
	return cluster.now - began
}

// submit submits a change at addr and returns the number of the call.
func (cluster *scriptedCluster) submit(addr string, ch controlstate.Change, ttl time.Duration) uint64 {
	cluster.lastCallID++
	n := cluster.nodes[addr]
	n.core.Submit(cluster.clock(n), cluster.lastCallID, ch, ttl)
	cluster.processOutputs(addr)
	return cluster.lastCallID
}

func (cluster *scriptedCluster) read(addr string, ttl time.Duration) uint64 {
	cluster.lastCallID++
	n := cluster.nodes[addr]
	n.core.Read(cluster.clock(n), cluster.lastCallID, ttl)
	cluster.processOutputs(addr)
	return cluster.lastCallID
}

func (cluster *scriptedCluster) answered(id uint64) bool {
	d, ok := cluster.done[id]
	return ok && d.Outcome == Answered
}

// view returns the newest view that any running core knows.
func (cluster *scriptedCluster) view() *View {
	newest := &View{}
	for _, n := range cluster.nodes {
		if n.core != nil && n.core.acceptor.view.Epoch > newest.Epoch {
			newest = n.core.acceptor.view
		}
	}
	return newest
}

// complete reports whether the newest view has the given number of replicas and voters, and all replicas are active.
func (cluster *scriptedCluster) complete(links, voters int) bool {
	v := cluster.view()
	if len(v.Chain) != links || len(v.Voters) != voters {
		return false
	}
	for _, m := range v.Voters {
		if n := cluster.nodes[m.Addr]; n == nil || n.core == nil || n.core.acceptor.view.Epoch != v.Epoch || n.core.acceptor.acceptedView != nil {
			return false
		}
	}
	for _, id := range v.Chain {
		m, _ := v.Voter(id)
		if n := cluster.nodes[m.Addr]; n.core.acceptor.durableActiveEpoch != v.Epoch {
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
