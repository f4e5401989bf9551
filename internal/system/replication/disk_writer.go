package replication

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
	"gradeusher.example/gradeusher/internal/system/wal"
)

const (
	metaAcceptor = "register" // name of the acceptor's state on disk

	diskRetryInterval      = 500 * time.Millisecond
	slowDiskPenalty        = 4 * diskRetryInterval // how long a disk that was slow counts as unhealthy
	slowWriteDivisor       = 5                     // a write longer than SlowDiskTimeout divided by this delays the agreement on views
	maxAppendOpBytes       = 1 << 20               // no further records are added to a write of this size
	defaultCompactRecords  = 2000                  // a snapshot is taken after this many records
	compactThresholdBytes  = 8 << 20               // or this many bytes of them
	defaultRetainedRecords = 20000                 // kept in memory below a snapshot for nodes that are behind, within minRetainedBytes
	minRetainedBytes       = 4 << 20
)

// DiskKind is the kind of a DiskOp.
type DiskKind uint8

// The disk operations, named after the methods of wal.Disk.
const (
	DiskSaveMeta DiskKind = iota + 1
	DiskAppend
	DiskTruncate
	DiskCompact
	DiskInstall
)

// DiskOp is a write that the core waits for. At most one is in progress.
type DiskOp struct {
	Token    uint64 // passed back to Core.DiskDone
	Kind     DiskKind
	Name     string       // of DiskSaveMeta
	Data     []byte       // of DiskSaveMeta
	Entries  []wal.Entry  // of DiskAppend
	After    uint64       // of DiskTruncate: the last record that is kept
	Snapshot wal.Snapshot // of DiskCompact and DiskInstall
}

// Do runs the operation and returns the disk's error.
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
	return errors.AssertionFailedf("replication: disk operation %d is not known: update the node", op.Kind)
}

// diskWriter orders the writes of a core: one at a time, the acceptor's state before anything else. It tracks which part of the log
// is on disk, and whether the disk is healthy.
type diskWriter struct {
	*environment
	acceptor *acceptor
	chain    *chainReplica

	op              *DiskOp // in progress, nil: none
	onDone          func(err error)
	startedAt       time.Duration // when op began
	token           uint64
	retryAt         time.Duration
	unhealthy       bool          // the last operation failed or was slow
	lastWriteFailed bool          // the last write failed
	lastWriteTime   time.Duration // duration of the last write
	unhealthyUntil  time.Duration // the disk counts as unhealthy at least until then
	probeWanted     bool          // a write is wanted to find out whether the disk is healthy again

	firstStartPending bool // it has to be stored that this node takes part in the first start

	acceptorDirty bool     // the acceptor's state differs from what is on disk
	waiters       []func() // to run when the acceptor's current state is on disk

	durableEnd       uint64        // newest record on disk that is the same in memory
	truncateNeeded   bool          // there may be other records above durableEnd: truncate first
	pendingInstall   *wal.Snapshot // to replace the log on disk
	snapshotSeq      uint64        // newest snapshot on disk
	loggedBytes      int           // since that snapshot
	lastAppendFailed bool          // the last append failed, with no compaction since
}

// persist writes the acceptor's state and then runs then, unless the process ends first.
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

// truncated records that the log in memory was truncated, so that the disk follows.
func (dw *diskWriter) truncated(after uint64) {
	if after < dw.durableEnd {
		dw.durableEnd, dw.truncateNeeded = after, true
	} else if dw.op != nil && dw.op.Kind == DiskAppend {
		dw.truncateNeeded = true // the records may be among those being written
	}
}

// install requests that a snapshot replace the log on disk.
func (dw *diskWriter) install(snap *wal.Snapshot) {
	dw.pendingInstall, dw.durableEnd, dw.truncateNeeded = snap, 0, false
}

// isLogClean reports whether the log on disk holds nothing that must be replaced.
func (dw *diskWriter) isLogClean() bool { return !dw.truncateNeeded && dw.pendingInstall == nil }

// startWrite starts the most urgent write, unless one is in progress.
func (dw *diskWriter) startWrite() {
	if dw.op != nil || dw.now < dw.retryAt {
		return
	}
	switch dw.nextWrite() {
	case DiskSaveMeta:
		dw.startSave()
	case DiskInstall:
		dw.startInstall()
	case DiskTruncate:
		dw.startTruncate()
	case DiskCompact:
		dw.startCompact()
	case DiskAppend:
		dw.startAppend()
	}
}

// nextWrite returns the kind of the most urgent write, or 0 if there is none.
func (dw *diskWriter) nextWrite() DiskKind {
	switch {
	case dw.firstStartPending || dw.acceptorDirty || dw.probeWanted:
		return DiskSaveMeta
	case dw.pendingInstall != nil:
		return DiskInstall
	case dw.truncateNeeded:
		return DiskTruncate
	case dw.isCompactionDue(2) && dw.canCompact(): // before more records, which under load are waiting at the end of each write
		return DiskCompact
	case dw.isLogPossiblyFull() && dw.canCompact():
		return DiskCompact
	case dw.durableEnd < dw.chain.log.end():
		return DiskAppend
	case dw.isCompactionDue(1) && dw.canCompact():
		return DiskCompact
	}
	return 0
}

// durableCommitIndex returns the newest record that is committed and on disk.
func (dw *diskWriter) durableCommitIndex() uint64 { return min(dw.chain.commitIndex, dw.durableEnd) }

// isLogPossiblyFull reports whether an append failed that a snapshot may free space for.
func (dw *diskWriter) isLogPossiblyFull() bool {
	return dw.lastAppendFailed && dw.durableCommitIndex() > dw.snapshotSeq
}

// isCompactionDue reports whether the committed records or bytes on disk have reached the given multiple of the threshold for a
// snapshot.
func (dw *diskWriter) isCompactionDue(times uint64) bool {
	index := dw.durableCommitIndex()
	hasRecords := index >= dw.snapshotSeq+times*dw.cfg.compactRecords
	hasBytes := dw.loggedBytes >= int(times)*compactThresholdBytes && index > dw.snapshotSeq
	return hasRecords || hasBytes
}

// startSave writes the record of the first start, which comes before everything else, or the acceptor's state.
func (dw *diskWriter) startSave() {
	if dw.firstStartPending {
		dw.startSaveFirstStart()
		return
	}
	dw.acceptorDirty, dw.probeWanted = false, false
	data, err := proto.Marshal(dw.acceptor.pb())
	if err != nil {
		dw.fail(errors.Wrap(err, "replication: acceptor state cannot be encoded"))
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
		dw.acceptor.durableActiveEpoch, dw.acceptor.durableSealedEpoch, dw.acceptor.durableViewEpoch = active, sealed, epoch
		for _, onDurable := range waiters {
			onDurable()
		}
	})
}

// startInstall writes a snapshot that replaces the log.
func (dw *diskWriter) startInstall() {
	snap := dw.pendingInstall
	dw.beginWrite(&DiskOp{Kind: DiskInstall, Snapshot: *snap}, func(err error) {
		if err != nil || dw.pendingInstall != snap {
			return
		}
		dw.pendingInstall, dw.truncateNeeded = nil, false
		dw.durableEnd, dw.snapshotSeq, dw.loggedBytes = snap.Seq, snap.Seq, 0
	})
}

// startTruncate removes from disk the records that may differ from those in memory.
func (dw *diskWriter) startTruncate() {
	after := dw.durableEnd
	dw.beginWrite(&DiskOp{Kind: DiskTruncate, After: after}, func(err error) {
		if err == nil && dw.durableEnd >= after {
			dw.truncateNeeded = false
		}
	})
}

// startAppend writes records, up to about maxAppendOpBytes.
func (dw *diskWriter) startAppend() {
	var entries []wal.Entry
	bytes := 0
	for seq := dw.durableEnd + 1; seq <= dw.chain.log.end() && bytes < maxAppendOpBytes; seq++ {
		data, err := proto.Marshal(dw.chain.log.at(seq).pb())
		if err != nil {
			dw.fail(errors.Wrap(err, "replication: record cannot be encoded"))
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
		dw.lastAppendFailed = err != nil
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

// canCompact reports whether the epoch of the committed state, which a snapshot contains, is known.
func (dw *diskWriter) canCompact() bool {
	_, ok := dw.chain.log.epochAt(dw.chain.commitIndex)
	return ok
}

// startCompact starts writing the committed state as a snapshot.
func (dw *diskWriter) startCompact() {
	epoch, _ := dw.chain.log.epochAt(dw.chain.commitIndex)
	snap, err := encodeImage(dw.chain.commitIndex, epoch, dw.chain.state)
	if err != nil {
		dw.fail(err)
		return
	}
	op := &DiskOp{Kind: DiskCompact, Snapshot: snap}
	if dw.chain.commitIndex > dw.durableEnd {
		op.Kind = DiskInstall // the snapshot extends beyond the log on disk, and replaces it
	}
	dw.beginWrite(op, func(err error) {
		dw.lastAppendFailed = false
		if err != nil || dw.pendingInstall != nil {
			return
		}
		dw.durableEnd, dw.snapshotSeq, dw.loggedBytes = max(dw.durableEnd, snap.Seq), snap.Seq, 0
		dw.chain.compactMemory(snap)
	})
}

// encodeImage encodes a snapshot of the state after the record seq, which was accepted in the epoch.
func encodeImage(seq, epoch uint64, s State) (wal.Snapshot, error) {
	data, err := proto.Marshal(&replicationpb.Image{Epoch: epoch, State: s.Encode()})
	if err != nil {
		return wal.Snapshot{}, errors.Wrap(err, "replication: snapshot cannot be encoded")
	}
	return wal.Snapshot{Seq: seq, Data: data}, nil
}

// beginWrite outputs a write; onDone runs when it has ended.
func (dw *diskWriter) beginWrite(op *DiskOp, onDone func(error)) {
	dw.token++
	op.Token = dw.token
	dw.op, dw.onDone, dw.startedAt = op, onDone, dw.now
	dw.out.Disk = op
}

// finishWrite handles the result of the write in progress. It returns false if the token is not that write's.
func (dw *diskWriter) finishWrite(token uint64, err error) bool {
	if dw.op == nil || dw.op.Token != token {
		return false
	}
	onDone := dw.onDone
	dw.op, dw.onDone = nil, nil
	dw.observeWrite(err)
	onDone(err)
	return true
}

// writeTime returns how long a write takes here: the duration of the last one, or of the one in progress if that has already taken
// longer.
func (dw *diskWriter) writeTime() time.Duration {
	if dw.op == nil {
		return dw.lastWriteTime
	}
	return max(dw.lastWriteTime, dw.now-dw.startedAt)
}

// slowWriteTime returns how long a write takes here if that is long enough to affect the agreement on views, otherwise 0.
func (dw *diskWriter) slowWriteTime() time.Duration {
	took := dw.writeTime()
	if took <= dw.cfg.SlowDiskTimeout/slowWriteDivisor || dw.cfg.knobs.FixedTimeouts {
		return 0
	}
	return took
}

// observeWrite updates the health of the disk at the end of a write. A slow disk counts as unhealthy, since other nodes would wait
// for it.
func (dw *diskWriter) observeWrite(err error) {
	dw.lastWriteFailed, dw.lastWriteTime = err != nil, dw.now-dw.startedAt
	wasSlow := dw.lastWriteTime > dw.cfg.SlowDiskTimeout
	switch {
	case errors.Is(err, wal.ErrSuperseded): // no retry can succeed
		dw.fail(errors.Wrap(err, "replication: this node no longer takes part"))
	case err != nil:
		dw.unhealthy, dw.retryAt = true, dw.now+diskRetryInterval
		dw.unhealthyUntil = dw.now + diskRetryInterval
		dw.logEvent("replication: write to disk failed, retrying: " + err.Error())
	case wasSlow:
		dw.unhealthy, dw.unhealthyUntil = true, dw.now+slowDiskPenalty
		dw.retryAt = 0
	case dw.unhealthy && dw.now >= dw.unhealthyUntil:
		dw.unhealthy = false
	}
}

// checkWriteProgress marks the disk as unhealthy when a write takes too long, and requests a probe when the disk may be healthy again.
func (dw *diskWriter) checkWriteProgress() {
	if dw.op != nil && dw.now-dw.startedAt > dw.cfg.SlowDiskTimeout {
		dw.unhealthy, dw.unhealthyUntil = true, dw.now+diskRetryInterval
	}
	if dw.unhealthy && dw.op == nil && dw.now >= dw.unhealthyUntil {
		dw.probeWanted = true
	}
}
