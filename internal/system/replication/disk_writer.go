package replication

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
	"gradeusher.example/gradeusher/internal/system/wal"
)

const (
	metaAcceptor = "register"

	diskRetryInterval      = 500 * time.Millisecond
	defaultCompactRecords  = 2000    // records
	compactThresholdBytes  = 8 << 20 // or bytes of them
	defaultRetainedRecords = 20000   // records kept in memory below a snapshot, for those who follow; minRetainedBytes of them at most
	minRetainedBytes       = 4 << 20
)

// DiskKind says what a DiskOp does.
type DiskKind uint8

// The disk operations, named after the methods of wal.Disk.
const (
	DiskSaveMeta DiskKind = iota + 1
	DiskAppend
	DiskTruncate
	DiskCompact
	DiskInstall
)

// DiskOp is a write that the core waits for. At most one is under way.
type DiskOp struct {
	Token    uint64
	Kind     DiskKind
	Name     string
	Data     []byte
	Entries  []wal.Entry
	After    uint64
	Snapshot wal.Snapshot
}

// Do runs the operation.
func (op *DiskOp) Do(d wal.Disk) error {
	switch op.Kind {
	case DiskSaveMeta:
		return d.SaveMeta(op.Name, op.Data)
	case DiskAppend:
		return d.Append(op.Entries)
	case DiskTruncate:
		return d.Truncate(op.After)
	case DiskCompact:
		return d.Compact(op.Snapshot)
	case DiskInstall:
		return d.Install(op.Snapshot)
	}
	return errors.AssertionFailedf("replication: disk operation %d is not known: update the keeper", op.Kind)
}

// diskWriter is what the core knows of its disk.
type diskWriter struct {
	*environment
	acceptor *acceptor
	chain    *chainReplica

	op             *DiskOp
	onDone         func(err error)
	startedAt      time.Duration // when op began
	token          uint64
	retryAt        time.Duration
	unhealthy      bool          // refused or was slow the last time
	unhealthyUntil time.Duration // no earlier than this it counts as good again
	probeWanted    bool          // a write to find out whether it is good again is wanted

	acceptorDirty bool     // the register differs from what is on disk
	waiters       []func() // run when the register as it is now is on disk

	durableEnd     uint64 // newest record on disk that is the same in memory
	truncateNeeded bool   // there may be other records above end: truncate first
	pendingInstall *wal.Snapshot
	snapshotSeq    uint64 // newest snapshot on disk
	loggedBytes    int    // logged since
	appendRefused  bool   // the last append, with no compaction since
}

// persist writes the register and then runs then, unless the process ends before.
func (dw *diskWriter) persist(then func()) {
	dw.acceptorDirty = true
	if then == nil {
		return
	}
	if dw.cfg.knobs.SendBeforeWrite {
		then()
		return
	}
	dw.waiters = append(dw.waiters, then)
}

// truncateLog drops the records above after from memory and disk.
func (cr *chainReplica) truncateLog(after uint64) {
	cr.log.truncate(after)
	cr.matchIndex = min(cr.matchIndex, after)
	if after < cr.writer.durableEnd {
		cr.writer.durableEnd, cr.writer.truncateNeeded = after, true
	} else if cr.writer.op != nil && cr.writer.op.Kind == DiskAppend {
		cr.writer.truncateNeeded = true
	}
}

// startWrite starts the next write.
func (dw *diskWriter) startWrite() {
	if dw.op != nil || dw.now < dw.retryAt {
		return
	}
	switch {
	case dw.acceptorDirty || dw.probeWanted:
		dw.acceptorDirty, dw.probeWanted = false, false
		data, err := proto.Marshal(dw.acceptor.pb())
		if err != nil {
			dw.fail(errors.Wrap(err, "replication: register"))
			return
		}
		waiters := dw.waiters
		dw.waiters = nil
		active, sealed, epoch := dw.acceptor.activeEpoch, dw.acceptor.sealedEpoch, dw.acceptor.view.Epoch
		dw.beginWrite(&DiskOp{Kind: DiskSaveMeta, Name: metaAcceptor, Data: data}, func(err error) {
			if err != nil {
				dw.acceptorDirty, dw.waiters = true, append(waiters, dw.waiters...)
				return
			}
			dw.acceptor.durableActive, dw.acceptor.durableSealed, dw.acceptor.durableEpoch = active, sealed, epoch
			for _, w := range waiters {
				w()
			}
		})
	case dw.pendingInstall != nil:
		snap := dw.pendingInstall
		dw.beginWrite(&DiskOp{Kind: DiskInstall, Snapshot: *snap}, func(err error) {
			if err != nil || dw.pendingInstall != snap {
				return
			}
			dw.pendingInstall, dw.truncateNeeded = nil, false
			dw.durableEnd, dw.snapshotSeq, dw.loggedBytes = snap.Seq, snap.Seq, 0
		})
	case dw.truncateNeeded:
		after := dw.durableEnd
		dw.beginWrite(&DiskOp{Kind: DiskTruncate, After: after}, func(err error) {
			if err == nil && dw.durableEnd >= after {
				dw.truncateNeeded = false
			}
		})
	case dw.compactionDue(2) && dw.startCompact(): // before more records, that wait at the end of each write under load
	case dw.appendRefused && min(dw.chain.commitIndex, dw.durableEnd) > dw.snapshotSeq && dw.startCompact(): // the log may be full
	case dw.durableEnd < dw.chain.log.end():
		dw.startAppend()
	case dw.compactionDue(1) && dw.startCompact():
	}
}

// compactionDue tells whether so many times as many records or bytes are committed on disk as a snapshot is taken after.
func (dw *diskWriter) compactionDue(times uint64) bool {
	done := min(dw.chain.commitIndex, dw.durableEnd)
	return done >= dw.snapshotSeq+times*dw.cfg.compactRecords || dw.loggedBytes >= int(times)*compactThresholdBytes && done > dw.snapshotSeq
}

func (dw *diskWriter) startAppend() {
	var entries []wal.Entry
	bytes := 0
	for seq := dw.durableEnd + 1; seq <= dw.chain.log.end() && bytes < 1<<20; seq++ {
		data, err := proto.Marshal(dw.chain.log.at(seq).pb())
		if err != nil {
			dw.fail(errors.Wrap(err, "replication: record"))
			return
		}
		entries = append(entries, wal.Entry{Seq: seq, Data: data})
		bytes += len(data)
	}
	last := entries[len(entries)-1].Seq
	dw.beginWrite(&DiskOp{Kind: DiskAppend, Entries: entries}, func(err error) {
		if dw.pendingInstall != nil {
			return
		}
		dw.appendRefused = err != nil
		if err != nil {
			dw.truncateNeeded = true
			return
		}
		if !dw.truncateNeeded {
			dw.durableEnd = last
			dw.loggedBytes += bytes
		}
	})
}

// startCompact begins to write the committed state as a snapshot; false where it cannot.
func (dw *diskWriter) startCompact() bool {
	epoch, ok := dw.chain.log.epochAt(dw.chain.commitIndex)
	if !ok {
		return false
	}
	snap, err := encodeImage(dw.chain.commitIndex, epoch, dw.chain.state)
	if err != nil {
		dw.fail(err)
		return false
	}
	op := &DiskOp{Kind: DiskCompact, Snapshot: snap}
	if dw.chain.commitIndex > dw.durableEnd { // it is ahead of the log on disk, and takes its place
		op.Kind = DiskInstall
	}
	dw.beginWrite(op, func(err error) {
		dw.appendRefused = false
		if err != nil || dw.pendingInstall != nil {
			return
		}
		dw.durableEnd, dw.snapshotSeq, dw.loggedBytes = max(dw.durableEnd, snap.Seq), snap.Seq, 0
		dw.chain.compactMemory(snap)
	})
	return true
}

// compactMemory forgets records below a snapshot, but for those that somebody may need who is a little behind: at most
// defaultRetainedRecords records, of minRetainedBytes or twice the size of the snapshot. That much is enough for one that was sent a snapshot
// to go on from there: while it was under way, changes took less of the link than the snapshot did, or else the link could
// not carry the changes at all.
func (cr *chainReplica) compactMemory(snap wal.Snapshot) {
	room, keep := max(minRetainedBytes, 2*len(snap.Data)), uint64(0)
	for seq := min(snap.Seq, cr.log.end()); seq > cr.log.base && keep < cr.cfg.retainedRecords; seq-- {
		if room -= cr.log.at(seq).size(); room < 0 {
			break
		}
		keep++
	}
	cr.log.compact(snap.Seq - keep)
}

func encodeImage(seq, epoch uint64, s State) (wal.Snapshot, error) {
	data, err := proto.Marshal(&replicationpb.Image{Epoch: epoch, State: s.Encode()})
	if err != nil {
		return wal.Snapshot{}, errors.Wrap(err, "replication: snapshot")
	}
	return wal.Snapshot{Seq: seq, Data: data}, nil
}

func (dw *diskWriter) beginWrite(op *DiskOp, done func(error)) {
	dw.token++
	op.Token = dw.token
	dw.op, dw.onDone, dw.startedAt = op, done, dw.now
	dw.out.Disk = op
}

// finishWrite takes up the result of the write that is in progress, false where it is not that of the token.
func (dw *diskWriter) finishWrite(token uint64, err error) bool {
	if dw.op == nil || dw.op.Token != token {
		return false
	}
	done := dw.onDone
	dw.op, dw.onDone = nil, nil
	slow := dw.now-dw.startedAt > dw.cfg.SlowDiskTimeout
	switch {
	case errors.Is(err, wal.ErrSuperseded): // no try can succeed any more
		dw.fail(errors.Wrap(err, "replication: this keeper takes no part any more"))
	case err != nil:
		dw.unhealthy, dw.retryAt = true, dw.now+diskRetryInterval
		dw.unhealthyUntil = dw.now + diskRetryInterval
		dw.logEvent("replication: the disk refuses writes, retrying: " + err.Error())
	case slow:
		dw.unhealthy, dw.unhealthyUntil = true, dw.now+4*diskRetryInterval
		dw.retryAt = 0
	case dw.unhealthy && dw.now >= dw.unhealthyUntil:
		dw.unhealthy = false
	}
	done(err)
	return true
}

// superviseWrites notices a write that does not end, and asks for one when the disk may be good again.
func (dw *diskWriter) superviseWrites() {
	if dw.op != nil && dw.now-dw.startedAt > dw.cfg.SlowDiskTimeout {
		dw.unhealthy, dw.unhealthyUntil = true, dw.now+diskRetryInterval
	}
	if dw.unhealthy && dw.op == nil && dw.now >= dw.unhealthyUntil {
		dw.probeWanted = true
	}
}
