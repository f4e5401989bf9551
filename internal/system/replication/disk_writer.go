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
func (c *diskWriter) persist(then func()) {
	c.acceptorDirty = true
	if then == nil {
		return
	}
	if c.cfg.knobs.SendBeforeWrite {
		then()
		return
	}
	c.waiters = append(c.waiters, then)
}

// truncateLog drops the records above after from memory and disk.
func (c *chainReplica) truncateLog(after uint64) {
	c.log.truncate(after)
	c.matchIndex = min(c.matchIndex, after)
	if after < c.writer.durableEnd {
		c.writer.durableEnd, c.writer.truncateNeeded = after, true
	} else if c.writer.op != nil && c.writer.op.Kind == DiskAppend {
		c.writer.truncateNeeded = true
	}
}

// startWrite starts the next write.
func (c *diskWriter) startWrite() {
	if c.op != nil || c.now < c.retryAt {
		return
	}
	switch {
	case c.acceptorDirty || c.probeWanted:
		c.acceptorDirty, c.probeWanted = false, false
		data, err := proto.Marshal(c.acceptor.pb())
		if err != nil {
			c.fail(errors.Wrap(err, "replication: register"))
			return
		}
		waiters := c.waiters
		c.waiters = nil
		active, sealed, epoch := c.acceptor.activeEpoch, c.acceptor.sealedEpoch, c.acceptor.view.Epoch
		c.beginWrite(&DiskOp{Kind: DiskSaveMeta, Name: metaAcceptor, Data: data}, func(err error) {
			if err != nil {
				c.acceptorDirty, c.waiters = true, append(waiters, c.waiters...)
				return
			}
			c.acceptor.durableActive, c.acceptor.durableSealed, c.acceptor.durableEpoch = active, sealed, epoch
			for _, w := range waiters {
				w()
			}
		})
	case c.pendingInstall != nil:
		snap := c.pendingInstall
		c.beginWrite(&DiskOp{Kind: DiskInstall, Snapshot: *snap}, func(err error) {
			if err != nil || c.pendingInstall != snap {
				return
			}
			c.pendingInstall, c.truncateNeeded = nil, false
			c.durableEnd, c.snapshotSeq, c.loggedBytes = snap.Seq, snap.Seq, 0
		})
	case c.truncateNeeded:
		after := c.durableEnd
		c.beginWrite(&DiskOp{Kind: DiskTruncate, After: after}, func(err error) {
			if err == nil && c.durableEnd >= after {
				c.truncateNeeded = false
			}
		})
	case c.compactionDue(2) && c.startCompact(): // before more records, that wait at the end of each write under load
	case c.appendRefused && min(c.chain.commitIndex, c.durableEnd) > c.snapshotSeq && c.startCompact(): // the log may be full
	case c.durableEnd < c.chain.log.end():
		c.startAppend()
	case c.compactionDue(1) && c.startCompact():
	}
}

// compactionDue tells whether so many times as many records or bytes are committed on disk as a snapshot is taken after.
func (c *diskWriter) compactionDue(times uint64) bool {
	done := min(c.chain.commitIndex, c.durableEnd)
	return done >= c.snapshotSeq+times*c.cfg.compactRecords || c.loggedBytes >= int(times)*compactThresholdBytes && done > c.snapshotSeq
}

func (c *diskWriter) startAppend() {
	var entries []wal.Entry
	bytes := 0
	for seq := c.durableEnd + 1; seq <= c.chain.log.end() && bytes < 1<<20; seq++ {
		data, err := proto.Marshal(c.chain.log.at(seq).pb())
		if err != nil {
			c.fail(errors.Wrap(err, "replication: record"))
			return
		}
		entries = append(entries, wal.Entry{Seq: seq, Data: data})
		bytes += len(data)
	}
	last := entries[len(entries)-1].Seq
	c.beginWrite(&DiskOp{Kind: DiskAppend, Entries: entries}, func(err error) {
		if c.pendingInstall != nil {
			return
		}
		c.appendRefused = err != nil
		if err != nil {
			c.truncateNeeded = true
			return
		}
		if !c.truncateNeeded {
			c.durableEnd = last
			c.loggedBytes += bytes
		}
	})
}

// startCompact begins to write the committed state as a snapshot; false where it cannot.
func (c *diskWriter) startCompact() bool {
	epoch, ok := c.chain.log.epochAt(c.chain.commitIndex)
	if !ok {
		return false
	}
	snap, err := encodeImage(c.chain.commitIndex, epoch, c.chain.state)
	if err != nil {
		c.fail(err)
		return false
	}
	op := &DiskOp{Kind: DiskCompact, Snapshot: snap}
	if c.chain.commitIndex > c.durableEnd { // it is ahead of the log on disk, and takes its place
		op.Kind = DiskInstall
	}
	c.beginWrite(op, func(err error) {
		c.appendRefused = false
		if err != nil || c.pendingInstall != nil {
			return
		}
		c.durableEnd, c.snapshotSeq, c.loggedBytes = max(c.durableEnd, snap.Seq), snap.Seq, 0
		c.chain.compactMemory(snap)
	})
	return true
}

// compactMemory forgets records below a snapshot, but for those that somebody may need who is a little behind: at most
// defaultRetainedRecords records, of minRetainedBytes or twice the size of the snapshot. That much is enough for one that was sent a snapshot
// to go on from there: while it was under way, changes took less of the link than the snapshot did, or else the link could
// not carry the changes at all.
func (c *chainReplica) compactMemory(snap wal.Snapshot) {
	room, keep := max(minRetainedBytes, 2*len(snap.Data)), uint64(0)
	for seq := min(snap.Seq, c.log.end()); seq > c.log.base && keep < c.cfg.retainedRecords; seq-- {
		if room -= c.log.at(seq).size(); room < 0 {
			break
		}
		keep++
	}
	c.log.compact(snap.Seq - keep)
}

func encodeImage(seq, epoch uint64, s State) (wal.Snapshot, error) {
	data, err := proto.Marshal(&replicationpb.Image{Epoch: epoch, State: s.Encode()})
	if err != nil {
		return wal.Snapshot{}, errors.Wrap(err, "replication: snapshot")
	}
	return wal.Snapshot{Seq: seq, Data: data}, nil
}

func (c *diskWriter) beginWrite(op *DiskOp, done func(error)) {
	c.token++
	op.Token = c.token
	c.op, c.onDone, c.startedAt = op, done, c.now
	c.out.Disk = op
}

// finishWrite takes up the result of the write that is in progress, false where it is not that of the token.
func (c *diskWriter) finishWrite(token uint64, err error) bool {
	if c.op == nil || c.op.Token != token {
		return false
	}
	done := c.onDone
	c.op, c.onDone = nil, nil
	slow := c.now-c.startedAt > c.cfg.SlowDiskTimeout
	switch {
	case errors.Is(err, wal.ErrSuperseded): // no try can succeed any more
		c.fail(errors.Wrap(err, "replication: this keeper takes no part any more"))
	case err != nil:
		c.unhealthy, c.retryAt = true, c.now+diskRetryInterval
		c.unhealthyUntil = c.now + diskRetryInterval
		c.logEvent("replication: the disk refuses writes, retrying: " + err.Error())
	case slow:
		c.unhealthy, c.unhealthyUntil = true, c.now+4*diskRetryInterval
		c.retryAt = 0
	case c.unhealthy && c.now >= c.unhealthyUntil:
		c.unhealthy = false
	}
	done(err)
	return true
}

// superviseWrites notices a write that does not end, and asks for one when the disk may be good again.
func (c *diskWriter) superviseWrites() {
	if c.op != nil && c.now-c.startedAt > c.cfg.SlowDiskTimeout {
		c.unhealthy, c.unhealthyUntil = true, c.now+diskRetryInterval
	}
	if c.unhealthy && c.op == nil && c.now >= c.unhealthyUntil {
		c.probeWanted = true
	}
}
