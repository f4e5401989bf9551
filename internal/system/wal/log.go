package wal

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Defaults of Options.
const (
	defaultMaxBytes     = 40 << 20
	defaultDiskBytes    = 60e6 // of 64 MB
	defaultSegmentBytes = 2 << 20
	defaultReserveBytes = 64 << 10
)

// Options configure a Log. Zero values mean the defaults.
type Options struct {
	FS           FS            // default: the operating system's
	MaxBytes     int64         // of segments and snapshot, above which Append fails with ErrFull; default 40 MiB
	DiskBytes    int64         // of all files, above which the copy of a damaged log is dropped; default 60 MB
	SegmentBytes int64         // a segment that is larger is ended; default 2 MiB
	ReserveBytes int64         // kept for metadata and truncations on a full disk; default 64 KiB, below 0: none
	Nonce        func() uint64 // default: random
	ReadOnly     bool          // nothing is changed, and no other process loses the log; what Load returns need not last

	hooks hooks
}

// hooks take protections out, for the tests that show what each is for.
type hooks struct {
	trustRecords bool // records are taken without a look at their checksums
	sameSegment  bool // after a failed sync the log goes on in the same file
	trustNewest  bool // Load syncs the newest segment and believes that
	noFence      bool // no look for another process that has opened the log
	looseMark    bool // a log is put aside though its mark may not last
}

// Log is a Disk in one folder: segments of records, each written at the end and synced; a snapshot below them; metadata.
// Snapshots, metadata and the starts of segments are files written under a temporary name, synced, renamed and made durable by
// a sync of the folder. A truncation is a record of its own, so the log only ever grows at its end, and a crash leaves a prefix
// of what was done. After a write or sync that failed, the file is not written again: the log goes on in a new segment, whose
// header tells how much of the former counts.
//
// A process that loads the log makes the next segment first, so that another one that still has the log open finds it there
// before it acknowledges anything more. Errors are of kind ErrFull, ErrDamaged, ErrSuperseded and ErrMisuse, or the file
// system's. A Log is used by one goroutine at a time.
type Log struct {
	folder     string
	o          Options
	loaded     bool
	superseded bool // another process has the log

	snapshot   uint64 // its number; 0: none
	first      uint64 // number of the oldest segment that counts
	generation uint64 // of the newest snapshot tried
	snapBytes  int64

	snapGeneration uint64 // 0: there is no snapshot

	batches  []batch // live entries, oldest first
	last     uint64
	segments []segment // on disk, oldest first
	active   File      // the newest of segments; nil: it is ended, or there is none
	nonce    uint64    // of active
	number   uint64    // of the next segment
	tail     link      // the newest segment made and its end, for the next one's header
	before   link      // tail as it was when active was made
	unfenced bool      // Load could not make the next segment
	unsure   bool      // a record behind the end of tail, or in leftover, may be on disk

	stray    string              // a snapshot that may or may not be there
	leftover string              // a segment of the next number that did not come about
	meta     map[string]metaFile // by name
	garbage  []string            // files that count no more
	reserved bool                // the reserve is on disk

	damaged      []string // files of the copy that was put aside
	damagedBytes int64
}

// batch is what one record appended, as far as it is live.
type batch struct{ first, last, segment uint64 }

// segment is a file of the log.
type segment struct {
	number uint64
	end    int64 // bytes that count
	size   int64 // bytes that the file may have
}

// metaFile holds generations of one piece of metadata.
type metaFile struct{ saved, tried uint64 }

var _ Disk = (*Log)(nil)

// Open returns the log in folder, which is made if it is not there. Load must come first.
func Open(folder string, o Options) (*Log, error) {
	if o.FS == nil {
		o.FS = osFS{}
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMaxBytes
	}
	if o.DiskBytes == 0 {
		o.DiskBytes = defaultDiskBytes
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.ReserveBytes == 0 {
		o.ReserveBytes = defaultReserveBytes
	}
	if o.Nonce == nil {
		o.Nonce = randomNonce
	}
	if o.ReadOnly {
		return &Log{folder: folder, o: o}, nil
	}
	if _, err := o.FS.ReadDir(folder); errors.Is(err, os.ErrNotExist) {
		if err := o.FS.MkdirAll(folder); err != nil {
			return nil, diskError(err, "make the log's folder")
		}
	} else if err != nil {
		return nil, diskError(err, "read the log's folder")
	}
	// Also where the folder was there: the process that made it may have ended before this sync.
	if err := o.FS.SyncDir(filepath.Dir(folder)); err != nil {
		return nil, diskError(err, "sync the folder above the log")
	}
	return &Log{folder: folder, o: o}, nil
}

func randomNonce() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// Close ends the use of the log. Nothing needs to be written for it.
func (l *Log) Close() error {
	l.loaded = false
	return l.closeSegment()
}

// Size returns what segments and snapshot take, which MaxBytes bounds.
func (l *Log) Size() int64 {
	n := l.snapBytes
	for _, s := range l.segments {
		n += s.size
	}
	return n
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

// settle makes the log ready for a change: what an earlier failure left undecided is decided as not done.
func (l *Log) settle() error {
	if err := l.usable(); err != nil {
		return err
	}
	if l.stray != "" {
		if err := l.remove(l.stray); err != nil {
			return diskError(err, "remove a snapshot that was not finished")
		}
		if err := l.o.FS.SyncDir(l.folder); err != nil {
			return diskError(err, "sync the log's folder")
		}
		l.stray = ""
	}
	if err := l.removeLeftover(); err != nil { // its header names the snapshot as it was
		return err
	}
	if l.unsure && !l.o.hooks.sameSegment {
		return l.withReserve(headerSize, func() error { return l.createSegment(nil) })
	}
	return nil
}

func (l *Log) usable() error {
	switch {
	case l.superseded:
		return superseded()
	case l.o.ReadOnly:
		return misuse("the log is read only: open it without that to change it")
	case !l.loaded:
		return misuse("the log is not loaded: call Load first")
	}
	return nil
}

// remove deletes a file that may be missing.
func (l *Log) remove(name string) error {
	err := l.o.FS.Remove(l.path(name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// Append implements Disk. Entries that come in one call are all there after a crash or none is.
func (l *Log) Append(entries []Entry) error {
	if err := l.settle(); err != nil {
		return err
	}
	if err := follows(l.last, entries); err != nil || len(entries) == 0 {
		return err
	}
	record := appendRecord(entries)
	if l.Size()+int64(len(record)) > l.o.MaxBytes {
		return errors.Mark(errors.Newf("the log would be larger than %d bytes: compact it", l.o.MaxBytes), ErrFull)
	}
	if err := l.withRoom(len(record), func() error { return l.write(record) }); err != nil {
		return err
	}
	l.last = entries[len(entries)-1].Seq
	l.batches = append(l.batches, batch{entries[0].Seq, l.last, l.tail.number})
	return nil
}

// Truncate implements Disk. It works at MaxBytes, too.
func (l *Log) Truncate(after uint64) error {
	if err := l.settle(); err != nil {
		return err
	}
	if err := mayCut(l.snapshot, after); err != nil || after >= l.last {
		return err
	}
	record := truncateRecord(after)
	if err := l.withReserve(len(record), func() error { return l.write(record) }); err != nil {
		return err
	}
	l.batches, l.last = cut(l.batches, after), after
	return nil
}

// cut drops what follows after.
func cut(batches []batch, after uint64) []batch {
	for len(batches) > 0 && batches[len(batches)-1].first > after {
		batches = batches[:len(batches)-1]
	}
	if n := len(batches); n > 0 && batches[n-1].last > after {
		batches[n-1].last = after
	}
	return batches
}
