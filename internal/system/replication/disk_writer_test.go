package replication

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// singleNode is a node that is the only replica of its chain, with a log in a directory.
type singleNode struct {
	t    *testing.T
	core *Core
	log  *wal.Log
	now  time.Duration
	done map[uint64]Completion
	peak int // maximum size of the records in memory
}

func newSingleNode(t *testing.T, machine Machine, folder string) *singleNode {
	t.Helper()
	log, err := wal.Open(folder, wal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	stored, err := log.Load()
	if err != nil {
		t.Fatal(err)
	}
	self := Member{ID: "a", Addr: "10.0.0.1", Zone: "z", Region: "r"}
	core, err := NewCore(Config{Self: self, Seeds: []string{self.Addr}, Bootstrap: true, Incarnation: 1, Seed: 1}, machine, stored.Meta, stored.Snapshot, stored.Entries)
	if err != nil {
		t.Fatal(err)
	}
	return &singleNode{t: t, core: core, log: log, done: map[uint64]Completion{}}
}

// until runs the node until ok returns true, for at most limit; a write takes no time.
func (a *singleNode) until(limit time.Duration, what string, ok func() bool) {
	a.t.Helper()
	for end := a.now + limit; !ok(); a.now += clusterStep {
		if a.now > end {
			a.t.Fatalf("%s: not within %v", what, limit)
		}
		out := a.core.Ready()
		for _, d := range out.Completions {
			a.done[d.ID] = d
		}
		if out.Disk != nil {
			a.core.DiskDone(a.now, out.Disk.Token, out.Disk.Do(a.log))
		} else {
			a.core.Tick(a.now)
		}
		held := 0
		for i := range a.core.chain.log.entries {
			held += a.core.chain.log.entries[i].size()
		}
		a.peak = max(a.peak, held)
	}
}

// change submits count changes of the given size concurrently, and waits for them.
func (a *singleNode) change(first, count uint64, size int) {
	a.t.Helper()
	for id := first; id < first+count; id++ {
		a.core.Submit(a.now, id, controlstate.Change{Op: controlstate.OpNone, Zone: fmt.Sprint(id), Body: make([]byte, size)}, 5*time.Second)
	}
	a.until(5*time.Second, "changes", func() bool {
		for id := first; id < first+count; id++ {
			if _, ok := a.done[id]; !ok {
				return false
			}
		}
		return true
	})
	for id := first; id < first+count; id++ {
		if d := a.done[id]; d.Outcome != Answered {
			a.t.Fatalf("change %d: %+v", id, d)
		}
	}
}

// largeStateMachine is a toyMachine whose states take the given number of bytes on disk.
type largeStateMachine struct {
	toyMachine
	bytes int
}

type largeState struct {
	State
	bytes int
}

func (m largeStateMachine) Empty() State { return largeState{m.toyMachine.Empty(), m.bytes} }

func (m largeStateMachine) Decode(data []byte) (State, error) {
	s, err := m.toyMachine.Decode(data)
	return largeState{s, m.bytes}, err
}

func (h largeState) Encode() []byte {
	return append(h.State.Encode(), bytes.Repeat([]byte(" "), h.bytes)...)
}

func (h largeState) Apply(r controlstate.Record) (State, error) {
	next, err := h.State.Apply(r)
	return largeState{next, h.bytes}, err
}

// TestFullLogIsCompacted has more records in flight than the log can hold in addition to its snapshot. It guards against a log full
// of committed records in which every append fails, while the compaction that would free space waits behind the appends forever.
func TestFullLogIsCompacted(t *testing.T) {
	const size = 15 << 20
	a := newSingleNode(t, largeStateMachine{bytes: size}, t.TempDir())
	a.change(1, 1, size)
	a.change(2, 4, size)
	if n := a.log.Size(); n > 40<<20 {
		t.Errorf("the log has %d bytes", n)
	}
}

// TestCompactionBeyondTheLog makes a compaction due while not all committed records are on the node's own disk yet, as on a node that
// is catching up under load. It guards against retrying forever a snapshot beyond the end of the log, which the log rejects.
func TestCompactionBeyondTheLog(t *testing.T) {
	a := newSingleNode(t, toyMachine{}, t.TempDir())
	a.change(1, 3, 100)
	c := a.core
	c.writer.loggedBytes = 2 * compactThresholdBytes
	record := controlstate.Record{Seq: 4, Op: controlstate.OpNone, Zone: "fed"}
	next, err := c.chain.state.Apply(record)
	if err != nil {
		t.Fatal(err)
	}
	c.chain.log.entries = append(c.chain.log.entries, entry{epoch: c.chain.log.entries[0].epoch, rec: record})
	c.chain.state, c.chain.commitIndex = next, 4
	a.until(2*time.Second, "a snapshot at 4", func() bool { return c.writer.snapshotSeq == 4 && c.writer.op == nil })
	if stored, err := a.log.Load(); err != nil || stored.Snapshot.Seq != 4 || len(stored.Entries) > 0 {
		t.Errorf("on disk: a snapshot at %d, %d entries, %v", stored.Snapshot.Seq, len(stored.Entries), err)
	}
}

// TestSupersededNodeFails opens the log a second time while the node runs, as another process would. It guards against a node that
// retries forever without reporting that two nodes use one data directory.
func TestSupersededNodeFails(t *testing.T) {
	folder := t.TempDir()
	single := newSingleNode(t, toyMachine{}, folder)
	single.change(1, 1, 100)
	other, err := wal.Open(folder, wal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := other.Load(); err != nil {
		t.Fatal(err)
	}
	single.core.Submit(single.now, 2, controlstate.Change{Op: controlstate.OpNone, Zone: "late"}, 5*time.Second)
	single.until(2*time.Second, "the failure of the node", func() bool { return single.core.Err() != nil })
	if err := single.core.Err(); !errors.Is(err, wal.ErrSuperseded) {
		t.Error(err)
	}
	if d, ok := single.done[2]; ok && d.Outcome == Answered {
		t.Errorf("the late change was answered: %+v", d)
	}
}
