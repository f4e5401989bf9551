package replication

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
	"gradeusher.example/gradeusher/internal/system/wal"
)

const (
	metaRegister = "register"

	diskRetry    = 500 * time.Millisecond
	compactAfter = 2000    // records
	compactBytes = 8 << 20 // or bytes of them
	keepBehind   = 20000   // records kept in memory below a snapshot, for those who follow; keepBytes of them at most
	keepBytes    = 4 << 20
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

// storage is what the core knows of its disk.
type storage struct {
	op       *DiskOp
	done     func(err error)
	since    time.Duration // when op began
	token    uint64
	retryAt  time.Duration
	bad      bool          // refused or was slow the last time
	badUntil time.Duration // no earlier than this it counts as good again
	probe    bool          // a write to find out whether it is good again is wanted

	dirty   bool     // the register differs from what is on disk
	waiters []func() // run when the register as it is now is on disk

	end      uint64 // newest record on disk that is the same in memory
	unsure   bool   // there may be other records above end: truncate first
	install  *wal.Snapshot
	snapshot uint64 // newest snapshot on disk
	bytes    int    // logged since
	refused  bool   // the last append, with no compaction since
}

// persist writes the register and then runs then, unless the process ends before.
func (c *Core) persist(then func()) {
	c.disk.dirty = true
	if then == nil {
		return
	}
	if c.cfg.hooks.sendFirst {
		then()
		return
	}
	c.disk.waiters = append(c.disk.waiters, then)
}

// truncateLog drops the records above after from memory and disk.
func (c *Core) truncateLog(after uint64) {
	c.log.truncate(after)
	c.matched = min(c.matched, after)
	if after < c.disk.end {
		c.disk.end, c.disk.unsure = after, true
	} else if c.disk.op != nil && c.disk.op.Kind == DiskAppend {
		c.disk.unsure = true
	}
}

// startWrite starts the next write.
func (c *Core) startWrite() {
	d := &c.disk
	if d.op != nil || c.now < d.retryAt {
		return
	}
	switch {
	case d.dirty || d.probe:
		d.dirty, d.probe = false, false
		data, err := proto.Marshal(c.reg.pb())
		if err != nil {
			c.fail(errors.Wrap(err, "replication: register"))
			return
		}
		waiters := d.waiters
		d.waiters = nil
		active, sealed, epoch := c.reg.active, c.reg.sealed, c.reg.view.Epoch
		c.startOp(&DiskOp{Kind: DiskSaveMeta, Name: metaRegister, Data: data}, func(err error) {
			if err != nil {
				d.dirty, d.waiters = true, append(waiters, d.waiters...)
				return
			}
			c.activeOn, c.sealedOn, c.epochOn = active, sealed, epoch
			for _, w := range waiters {
				w()
			}
		})
	case d.install != nil:
		snap := d.install
		c.startOp(&DiskOp{Kind: DiskInstall, Snapshot: *snap}, func(err error) {
			if err != nil || d.install != snap {
				return
			}
			d.install, d.unsure = nil, false
			d.end, d.snapshot, d.bytes = snap.Seq, snap.Seq, 0
		})
	case d.unsure:
		after := d.end
		c.startOp(&DiskOp{Kind: DiskTruncate, After: after}, func(err error) {
			if err == nil && d.end >= after {
				d.unsure = false
			}
		})
	case c.compactionDue(2) && c.startCompact(): // before more records, that wait at the end of each write under load
	case d.refused && min(c.committed, d.end) > d.snapshot && c.startCompact(): // the log may be full
	case d.end < c.log.end():
		c.startAppend()
	case c.compactionDue(1) && c.startCompact():
	}
}

// compactionDue tells whether so many times as many records or bytes are committed on disk as a snapshot is taken after.
func (c *Core) compactionDue(times uint64) bool {
	d := &c.disk
	done := min(c.committed, d.end)
	return done >= d.snapshot+times*c.cfg.compactAfter || d.bytes >= int(times)*compactBytes && done > d.snapshot
}

func (c *Core) startAppend() {
	d := &c.disk
	var entries []wal.Entry
	bytes := 0
	for seq := d.end + 1; seq <= c.log.end() && bytes < 1<<20; seq++ {
		data, err := proto.Marshal(c.log.at(seq).pb())
		if err != nil {
			c.fail(errors.Wrap(err, "replication: record"))
			return
		}
		entries = append(entries, wal.Entry{Seq: seq, Data: data})
		bytes += len(data)
	}
	last := entries[len(entries)-1].Seq
	c.startOp(&DiskOp{Kind: DiskAppend, Entries: entries}, func(err error) {
		if d.install != nil {
			return
		}
		d.refused = err != nil
		if err != nil {
			d.unsure = true
			return
		}
		if !d.unsure {
			d.end = last
			d.bytes += bytes
		}
	})
}

// startCompact begins to write the committed state as a snapshot; false where it cannot.
func (c *Core) startCompact() bool {
	d := &c.disk
	epoch, ok := c.log.epochAt(c.committed)
	if !ok {
		return false
	}
	snap, err := encodeImage(c.committed, epoch, c.state)
	if err != nil {
		c.fail(err)
		return false
	}
	op := &DiskOp{Kind: DiskCompact, Snapshot: snap}
	if c.committed > d.end { // it is ahead of the log on disk, and takes its place
		op.Kind = DiskInstall
	}
	c.startOp(op, func(err error) {
		d.refused = false
		if err != nil || d.install != nil {
			return
		}
		d.end, d.snapshot, d.bytes = max(d.end, snap.Seq), snap.Seq, 0
		c.dropBehind(snap)
	})
	return true
}

// dropBehind forgets records below a snapshot, but for those that somebody may need who is a little behind: at most
// keepBehind records, of keepBytes or twice the size of the snapshot. That much is enough for one that was sent a snapshot
// to go on from there: while it was under way, changes took less of the link than the snapshot did, or else the link could
// not carry the changes at all.
func (c *Core) dropBehind(snap wal.Snapshot) {
	room, keep := max(keepBytes, 2*len(snap.Data)), uint64(0)
	for seq := min(snap.Seq, c.log.end()); seq > c.log.base && keep < c.cfg.keepBehind; seq-- {
		if room -= c.log.at(seq).size(); room < 0 {
			break
		}
		keep++
	}
	c.log.drop(snap.Seq - keep)
}

func encodeImage(seq, epoch uint64, s State) (wal.Snapshot, error) {
	data, err := proto.Marshal(&replicationpb.Image{Epoch: epoch, State: s.Encode()})
	if err != nil {
		return wal.Snapshot{}, errors.Wrap(err, "replication: snapshot")
	}
	return wal.Snapshot{Seq: seq, Data: data}, nil
}

func (c *Core) startOp(op *DiskOp, done func(error)) {
	d := &c.disk
	d.token++
	op.Token = d.token
	d.op, d.done, d.since = op, done, c.now
	c.out.Disk = op
}

// DiskDone tells that the operation with the token has ended.
func (c *Core) DiskDone(now time.Duration, token uint64, err error) {
	c.advance(now)
	d := &c.disk
	if d.op == nil || d.op.Token != token {
		return
	}
	done := d.done
	d.op, d.done = nil, nil
	slow := c.now-d.since > c.cfg.SlowDiskTimeout
	switch {
	case errors.Is(err, wal.ErrSuperseded): // no try can succeed any more
		c.fail(errors.Wrap(err, "replication: this keeper takes no part any more"))
	case err != nil:
		d.bad, d.retryAt = true, c.now+diskRetry
		d.badUntil = c.now + diskRetry
		c.note("replication: the disk refuses writes, retrying: " + err.Error())
	case slow:
		d.bad, d.badUntil = true, c.now+4*diskRetry
		d.retryAt = 0
	case d.bad && c.now >= d.badUntil:
		d.bad = false
	}
	done(err)
	c.written()
	c.settle()
}

// watchDisk notices a write that does not end, and asks for one when the disk may be good again.
func (c *Core) watchDisk() {
	d := &c.disk
	if d.op != nil && c.now-d.since > c.cfg.SlowDiskTimeout {
		d.bad, d.badUntil = true, c.now+diskRetry
	}
	if d.bad && d.op == nil && c.now >= d.badUntil {
		d.probe = true
	}
}
