package replication

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// blobState is a state that each change with a body replaces completely, as with a configuration.
type blobState struct {
	seq  uint64
	body []byte
}

func (*blobState) Check(controlstate.Change) controlstate.Verdict {
	return controlstate.Verdict{Kind: controlstate.Accepted}
}

func (s *blobState) Apply(r controlstate.Record) (State, error) {
	next := &blobState{r.Seq, s.body}
	if len(r.Body) > 0 {
		next.body = r.Body
	}
	return next, nil
}

func (s *blobState) Encode() []byte { return s.body }

type blobMachine struct{}

func (blobMachine) Empty() State                   { return &blobState{} }
func (blobMachine) Decode(b []byte) (State, error) { return &blobState{body: b}, nil }

func changeOfSize(bytes int) controlstate.Change {
	return controlstate.Change{Op: controlstate.OpReplace, Body: make([]byte, bytes)}
}

// logBytesInMemory returns the size of a core's log in memory.
func logBytesInMemory(c *Core) int {
	n := 0
	for i := range c.chain.log.entries {
		n += c.chain.log.entries[i].size()
	}
	return n
}

// submitContinuously submits a change of the given size at addr 20 times a second, until the clock reaches end.
func (cluster *scriptedCluster) submitContinuously(addr string, end time.Duration, bytes int, each func()) {
	for next := cluster.now; cluster.now < end; {
		if cluster.now >= next {
			cluster.submit(addr, changeOfSize(bytes), 2*time.Second)
			next += 50 * time.Millisecond
		}
		cluster.step()
		if each != nil {
			each()
		}
	}
}

// TestTheLogInMemoryIsBounded commits hundreds of large changes. It guards against bounding the records retained for nodes that are
// behind only by count and not by size, which lets the process exceed its memory.
func TestTheLogInMemoryIsBounded(t *testing.T) {
	cluster := newScriptedCluster(t)
	cluster.machine = blobMachine{}
	formThreeNodes(cluster, 1, TestingKnobs{})
	const each = 256 << 10
	most := 0
	cluster.submitContinuously("a", cluster.now+20*time.Second, each, func() {
		for _, n := range cluster.nodes {
			most = max(most, logBytesInMemory(n.core))
		}
	})
	if seq := cluster.nodes["a"].core.chain.commitIndex; seq < 390 {
		t.Fatalf("%d changes were acknowledged", seq)
	}
	t.Logf("at most %.1f MB", float64(most)/(1<<20))
	if most > compactThresholdBytes+4<<20+8*each {
		t.Errorf("the log takes %.1f MB in memory", float64(most)/(1<<20))
	}
}

// TestTheLogOnDiskIsBounded lets writes take so long that new records wait at the end of each. It guards against appends always
// preceding a snapshot, so that the log grows until the load ends.
func TestTheLogOnDiskIsBounded(t *testing.T) {
	cluster := newScriptedCluster(t)
	cluster.machine = blobMachine{}
	for _, a := range []string{"a", "b", "c"} {
		cluster.start(Config{
			Self: Member{Addr: a, Zone: "zone " + a, Region: "r"}, MachineLosses: 1, Seeds: []string{"a", "b", "c"}, Bootstrap: true,
			compactRecords: 50, retainedRecords: 20,
		})
	}
	cluster.until(5*time.Second, "the first view", func() bool { return cluster.complete(3, 3) })
	cluster.run(time.Second)
	most := 0
	for range 2000 { // a change in each step, which is the duration of a write
		cluster.submit("a", evacuating("x"), 2*time.Second)
		cluster.step()
		for _, n := range cluster.nodes {
			most = max(most, len(n.disk.p.entries))
		}
	}
	t.Logf("at most %d records on disk", most)
	if most > 4*50 {
		t.Errorf("%d records on disk, but a snapshot is due after 50", most)
	}
}

// TestSnapshotInFlightIsNotResent guards against resending a large snapshot that takes longer than the resend timeout, which would
// flood the replica with copies of it.
func TestSnapshotInFlightIsNotResent(t *testing.T) {
	cluster := newScriptedCluster(t)
	cluster.machine = blobMachine{}
	formThreeNodes(cluster, 1, TestingKnobs{})
	id := cluster.submit("a", changeOfSize(4<<20), 2*time.Second)
	cluster.until(2*time.Second, "a large change", func() bool { return cluster.answered(id) })
	cluster.submitContinuously("a", cluster.now+3*time.Second, 300<<10, nil) // 18 MB: the first records are covered by a snapshot
	id = cluster.submit("a", changeOfSize(4<<20), 2*time.Second)
	cluster.until(2*time.Second, "a large change", func() bool { return cluster.answered(id) })
	cluster.slowNetworks["d"] = &slowNetwork{bytesPerSecond: 1 << 20}
	sent := 0
	cluster.filter = func(_, to string, m *replicationpb.Message) bool {
		if to == "d" && m.GetInstall() != nil {
			sent++
		}
		return true
	}
	cluster.start(Config{Self: Member{Addr: "d", Zone: "zone d", Region: "r"}, MachineLosses: 1, Seeds: []string{"a", "b", "c"}})
	took := cluster.until(15*time.Second, "the spare to catch up", func() bool {
		return cluster.nodes["d"].core.chain.commitIndex == cluster.nodes["a"].core.chain.commitIndex
	})
	t.Logf("caught up after %v, %d snapshots sent", took, sent)
	if sent > 2 {
		t.Errorf("%d snapshots were sent", sent)
	}
}

// TestSlowNetworkIsNotFilledWithDuplicates lets a node that was down for 400 and for 2,000 changes catch up over a network of 1 MB/s,
// while 20 changes per second continue. It guards against resending what is still in flight, so that the catch-up never completes.
func TestSlowNetworkIsNotFilledWithDuplicates(t *testing.T) {
	for _, away := range []time.Duration{20 * time.Second, 100 * time.Second} {
		cluster := newScriptedCluster(t)
		cluster.machine = blobMachine{}
		formThreeNodes(cluster, 1, TestingKnobs{})
		spare := Config{Self: Member{Addr: "d", Zone: "zone d", Region: "r"}, MachineLosses: 1, Seeds: []string{"a", "b", "c"}}
		cluster.start(spare)
		cluster.run(time.Second)
		cluster.nodes["d"].core = nil
		const each = 10 << 10
		cluster.submitContinuously("a", cluster.now+away, each, nil)
		cluster.slowNetworks["d"] = &slowNetwork{bytesPerSecond: 1 << 20}
		cluster.start(spare)
		began, caughtUpAfter := cluster.now, time.Duration(0)
		cluster.submitContinuously("a", cluster.now+15*time.Second, each, func() {
			if caughtUpAfter == 0 && cluster.nodes["d"].core.chain.commitIndex+5 >= cluster.nodes["a"].core.chain.commitIndex {
				caughtUpAfter = cluster.now - began
			}
		})
		offered := float64(cluster.slowNetworks["d"].sentBytes) / (1 << 20)
		t.Logf("away for %v: caught up after %v, %.1f MB sent in 15 s", away, caughtUpAfter, offered)
		if caughtUpAfter == 0 || offered > 15 {
			t.Errorf("away for %v: caught up after %v, %.1f MB sent in 15 s through a network of 1 MB/s", away, caughtUpAfter, offered)
		}
	}
}
