package replication

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/wal"
)

// simDisk is what remains on a disk after a loss of power.
type simDisk struct {
	meta    map[string][]byte
	snap    wal.Snapshot
	entries []wal.Entry
}

var errFull = errors.New("no space left on device")

// writeNames are the names of the disk operations in steps.
var writeNames = map[DiskKind]string{
	DiskSaveMeta: "register", DiskAppend: "append", DiskTruncate: "truncate", DiskCompact: "compact", DiskInstall: "install",
}

func (p *simDisk) do(op *DiskOp, part int) {
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
		if op.Snapshot.Seq > p.end() {
			panic(fmt.Sprintf("compaction at %d of a log that ends at %d", op.Snapshot.Seq, p.end()))
		}
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

// end returns the number of the newest record on the disk.
func (p *simDisk) end() uint64 {
	if n := len(p.entries); n > 0 {
		return p.entries[n-1].Seq
	}
	return p.snap.Seq
}

func (m *simNode) write(core *Core, op *DiskOp) {
	w := m.sim
	if m.core != core {
		return
	}
	if m.diskStalled {
		w.after(50*time.Millisecond, func() { m.write(core, op) })
		return
	}
	d := time.Duration(1+w.rng.IntN(8))*time.Millisecond + m.diskDelay
	w.after(d, func() {
		if m.core != core {
			return
		}
		if m.diskStalled {
			m.write(core, op)
			return
		}
		m.completedOp = op
		if m.diskFull && op.Kind != DiskTruncate && (op.Kind != DiskSaveMeta || !m.acceptorReserve) {
			if w.rng.IntN(3) == 0 && op.Kind == DiskAppend { // a part of the write succeeded
				m.disk.do(op, w.rng.IntN(len(op.Entries)+1))
			}
			m.run(core, func() { core.DiskDone(m.clock(), op.Token, errFull) })
			return
		}
		m.disk.do(op, len(op.Entries))
		w.step("wrote "+writeNames[op.Kind], m, "")
		m.run(core, func() { core.DiskDone(m.clock(), op.Token, nil) })
	})
}
