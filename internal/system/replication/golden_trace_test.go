package replication

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/testsupport/golden"
)

// goldenFile has a line "scenario seed steps digest" for each run; GRADEUSHER_WRITE_GOLDEN=1 regenerates it.
const goldenFile = "testdata/golden_trace.txt"

// goldenTrace is the digest of all outputs of the cores of a simulation, in the order of the simulation. It covers wire bytes,
// numbers and fixed tags, but no names of the code or texts for people. Nothing is sorted here: a run uses one goroutine, and the
// clock and random numbers of its simulation, and the cores produce all outputs in a deterministic order. The digests also depend on
// the random choices of the test harness: a change of the simulation, of its faults or of the toy state requires regenerating them.
type goldenTrace struct {
	*golden.Digest
	t     *testing.T
	epoch map[*Core]uint64 // of the view last recorded
}

// newGoldenTrace digests the outputs of the cores of a simulation from now on.
func newGoldenTrace(t *testing.T, digest *golden.Digest, w *clusterSim) *goldenTrace {
	t.Helper()
	g := &goldenTrace{Digest: digest, t: t, epoch: map[*Core]uint64{}}
	w.onOutput = func(m *simNode, out *Outputs) { g.step(w, m, out) }
	w.onReply = func(m *simNode, r *pollReply) { g.reply(w, m, r) }
	return g
}

func (g *goldenTrace) wire(m proto.Message) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		g.t.Fatal(err)
	}
	g.Bytes(data)
}

// step records one call of Ready on a core: the time, the node, the requested work, and the resulting state.
func (g *goldenTrace) step(w *clusterSim, node *simNode, out *Outputs) {
	g.TextStep("step", uint64(w.now), uint64(node.name), node.incarnation)
	for _, e := range out.Messages {
		g.message(e)
	}
	if out.Disk != nil {
		g.disk(out.Disk)
	}
	for _, d := range out.Completions {
		g.done(d)
	}
	g.core(node)
}

// message records a message, excluding the reason of an answer, which is a text for people.
func (g *goldenTrace) message(e Envelope) {
	msg := e.Msg
	if msg.GetAnswer().GetReason() != "" {
		msg = proto.CloneOf(msg)
		msg.GetAnswer().Reason = ""
	}
	g.Text("msg")
	g.Text(e.Addr)
	g.wire(msg)
}

// goldenDiskTags are the tags of the disk operations.
var goldenDiskTags = map[DiskKind]string{
	DiskSaveMeta: "save", DiskAppend: "append", DiskTruncate: "truncate", DiskCompact: "compact", DiskInstall: "install",
}

func (g *goldenTrace) disk(op *DiskOp) {
	g.Text(goldenDiskTags[op.Kind])
	g.Uints(op.Token, op.After, op.Snapshot.Seq, uint64(len(op.Entries)))
	g.Text(op.Name)
	g.Bytes(op.Data)
	g.Bytes(op.Snapshot.Data)
	for _, e := range op.Entries {
		g.Uints(e.Seq)
		g.Bytes(e.Data)
	}
}

// done records the answer to a call, using the numbers that are also sent on the wire.
func (g *goldenTrace) done(d Completion) {
	g.Text("done")
	g.Uints(d.ID, uint64(d.Outcome), uint64(d.Verdict.Kind), d.Verdict.Seq, d.Seq)
	g.Bools(d.Read)
	if d.State != nil {
		g.Bytes(d.State.Encode())
	}
}

// reply records the answer to a proxy that follows the nodes.
func (g *goldenTrace) reply(w *clusterSim, m *simNode, r *pollReply) {
	g.TextStep("reply", uint64(w.now), uint64(m.name), r.newest, r.snapSeq, uint64(len(r.records)))
	g.Bools(r.current)
	g.Bytes(r.snapshot)
	for _, rec := range r.records {
		g.Uints(rec.Seq, uint64(rec.Op), uint64(rec.Base))
		g.Bytes(rec.Body)
		g.Text(rec.Zone)
	}
	for _, addr := range r.nodes {
		g.Text(addr)
	}
}

// core records the commit index of a core, and its view if it has changed.
func (g *goldenTrace) core(m *simNode) {
	seq, _ := m.core.Committed()
	g.Uints(seq)
	if v := m.core.View(); v.Epoch != g.epoch[m.core] {
		g.epoch[m.core] = v.Epoch
		g.Text("view")
		g.wire(viewPB(v))
	}
}

// end records the final state of a run.
func (g *goldenTrace) end(w *clusterSim) {
	g.Text("end")
	g.Uints(uint64(w.now), uint64(len(w.committedRecords)), w.acked, w.newestRead)
	for _, m := range w.nodes {
		g.Bools(m.isRunning())
		g.Uints(m.disk.end())
	}
	for _, p := range w.proxies {
		g.Uints(p.seq)
	}
	g.Bytes(w.states[len(w.states)-1].Encode())
}

// goldenScenario is a topology and the faults that are injected into it.
type goldenScenario struct {
	name  string
	seeds []uint64
	topology
	faults  []fault
	joiners int           // nodes that join, each in its own zone
	until   time.Duration // the end of the faults
}

// goldenScenarios are run in order. Without a topology, the seed determines topology and faults.
var goldenScenarios = []goldenScenario{
	{name: "normal", seeds: []uint64{1, 2}, topology: topology{3, 0, 1, 3, 0, 0}, until: 10 * time.Second},
	{name: "cuts", seeds: []uint64{1, 2}, topology: topology{5, 1, 2, 3, 0, 0}, until: 16 * time.Second, faults: []fault{
		{at: 4 * time.Second, kind: faultIsolate, a: 0, n: 8, duration: 2 * time.Second},
		{at: 6 * time.Second, kind: faultIsolate, a: 1, n: 4, duration: 2 * time.Second},
		{at: 8 * time.Second, kind: faultPartitionOneWay, a: 2, b: 0, n: 4, duration: 2 * time.Second},
		{at: 9 * time.Second, kind: faultPartitionPair, a: 1, b: 3, duration: 2 * time.Second},
		{at: 11 * time.Second, kind: faultSplit, n: 0b110, duration: 3 * time.Second},
		{at: 12 * time.Second, kind: faultLoss, duration: time.Second},
		{at: 13 * time.Second, kind: faultDelay, duration: time.Second},
	}},
	{name: "leaving", seeds: []uint64{1, 2}, topology: topology{4, 1, 1, 2, 0, 0}, until: 16 * time.Second, faults: []fault{
		{at: 4 * time.Second, kind: faultLeave, a: 0, duration: time.Second},
		{at: 7 * time.Second, kind: faultLeave, a: 2, n: 2, duration: time.Second},
		{at: 9 * time.Second, kind: faultReplace, a: 1, n: 1, duration: time.Second},
		{at: 13 * time.Second, kind: faultJoin, a: 3},
	}},
	{name: "disks", seeds: []uint64{1, 2}, topology: topology{3, 1, 1, 3, 0, 0}, until: 18 * time.Second, faults: []fault{
		{at: 4 * time.Second, kind: faultWipe, a: 0, duration: time.Second},
		{at: 8 * time.Second, kind: faultKill, a: 1, duration: time.Second},
		{at: 10 * time.Second, kind: faultDiskFull, a: 2, n: 1, duration: 2 * time.Second},
		{at: 12 * time.Second, kind: faultPowerAll, n: 1, a: 2},
		{at: 16 * time.Second, kind: faultDiskStall, a: 0, duration: time.Second},
		{at: 16 * time.Second, kind: faultDiskSlow, a: 1, n: 500, duration: time.Second},
	}},
	{name: "observers", seeds: []uint64{1, 2}, topology: topology{3, 0, 1, 2, 2, 0}, until: 14 * time.Second, faults: []fault{
		{at: 4 * time.Second, kind: faultKill, a: 3, duration: time.Second},
		{at: 6 * time.Second, kind: faultIsolate, a: 4, n: 8, duration: 2 * time.Second},
		{at: 8 * time.Second, kind: faultKill, a: 0, duration: 2 * time.Second},
		{at: 11 * time.Second, kind: faultPause, a: 3, duration: 2 * time.Second},
	}},
	{name: "zones", seeds: []uint64{1}, topology: topology{6, 0, 1, 3, 0, 1}, until: 12 * time.Second, faults: []fault{
		{at: 5 * time.Second, kind: faultZone, act: faultWipe, a: 0, duration: 2 * time.Second},
	}},
	{name: "rebalance", seeds: []uint64{1}, topology: topology{4, 0, 1, 2, 0, 1}, joiners: 2, until: 14 * time.Second},
	{name: "random", seeds: []uint64{1, 3, 5, 16, 27, 117, zoneSeeds + 1}}, // 117: replicas seal an epoch
}

// trace runs the scenario and digests its outputs.
func (s goldenScenario) trace(t *testing.T, digest *golden.Digest, seed uint64) {
	if s.diskNodes == 0 {
		s.topology, s.faults, s.until = topologyOf(seed), seedFaults(seed), faultsUntil(seed)
	}
	w := newClusterSim(seed, s.topology, TestingKnobs{})
	traced := newGoldenTrace(t, digest, w)
	for _, f := range s.faults {
		w.inject(f)
	}
	for i := range s.joiners {
		w.after(time.Duration(5+3*i)*time.Second, func() {
			m := w.newNode(fmt.Sprintf("10.0.1.%d", i+1), fmt.Sprintf("y%d", i), "r0")
			m.seeds = w.seeds
			m.start()
		})
	}
	w.operate()
	w.runUntil(s.until)
	w.heal()
	w.expectAck("after the last fault")
	w.runUntil(w.now + 2*time.Second)
	if err := w.converge(convergenceBound); err != nil {
		t.Fatal(err)
	}
	traced.end(w)
}

// TestGoldenTrace compares the outputs of the cores, step by step, with the recorded digests. A refactoring, such as a renaming, must
// not change them.
func TestGoldenTrace(t *testing.T) {
	var scenarios []golden.Scenario
	for _, s := range goldenScenarios {
		for _, seed := range s.seeds {
			scenarios = append(scenarios, golden.Scenario{Name: s.name, Seed: seed, Play: s.trace})
		}
	}
	golden.CompareDigests(t, goldenFile, scenarios)
}
