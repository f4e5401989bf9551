package wal

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Options configure a Log. Zero values mean the defaults.
type Options struct {
	FS           FS            // default: the operating system's
	MaxBytes     int64         // of segments and snapshot, above which Append fails with ErrFull; default 40 MiB
	SegmentBytes int64         // a segment that is larger is ended; default 2 MiB
	ReserveBytes int64         // kept for metadata and truncations on a full disk; default 64 KiB, below 0: none
	Nonce        func() uint64 // default: random
}

// Log is a Disk in one folder: segments of records, each written at the end and synced; a snapshot below them; metadata.
// Snapshot and metadata are files written aside, synced, renamed and made durable by a sync of the folder. A truncation is
// a record of its own, so the log only ever grows at its end, and a crash leaves a prefix of what was done. Its errors are of
// kind ErrFull, ErrDamaged and ErrUse, or the file system's. A Log is used by one goroutine at a time.
type Log struct {
	folder string
	o      Options
	loaded bool

	snapshot   uint64 // its number; 0: none
	generation uint64 // of the newest snapshot tried
	snapBytes  int64
	snapName   string

	batches  []batch // live entries, oldest first
	last     uint64
	segments []segment // on disk, oldest first
	active   File      // of the newest segment; nil: it is ended, or there is none
	nonce    uint64    // of active
	number   uint64    // of the next segment

	torn     bool                // bytes behind the end of active may be on disk
	stray    string              // a snapshot that may or may not be there
	meta     map[string]metaFile // by name
	garbage  []string            // files that count no more
	reserved bool                // the reserve is on disk
}

// batch is what one record appended, as far as it is live.
type batch struct{ first, last, segment uint64 }

type segment struct {
	number uint64
	bytes  int64 // up to its end; there may be more while torn
}

// metaFile holds generations of one piece of metadata.
type metaFile struct{ saved, tried uint64 }

var _ Disk = (*Log)(nil)

const (
	reserveName     = "reserve"
	wipeName        = "wipe" // while it is there, everything else is to go
	temporarySuffix = ".tmp"
)

// Open returns the log in folder, which is made if it is not there. Load must come first.
func Open(folder string, o Options) (*Log, error) {
	if o.FS == nil {
		o.FS = osFS{}
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = 40 << 20
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = 2 << 20
	}
	if o.ReserveBytes == 0 {
		o.ReserveBytes = 64 << 10
	}
	if o.Nonce == nil {
		o.Nonce = func() uint64 {
			var b [8]byte
			_, _ = rand.Read(b[:]) // never fails
			return binary.LittleEndian.Uint64(b[:])
		}
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

// Close ends the use of the log. Nothing needs to be written for it.
func (l *Log) Close() error {
	l.loaded = false
	return l.closeSegment()
}

// Bytes returns what segments and snapshot take, which MaxBytes bounds.
func (l *Log) Bytes() int64 {
	n := l.snapBytes
	for _, s := range l.segments {
		n += s.bytes
	}
	return n
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

func segmentName(number uint64) string { return fmt.Sprintf("log-%016x", number) }

// closeSegment ends the newest segment: the next append makes another.
func (l *Log) closeSegment() error {
	if l.active == nil {
		return nil
	}
	err := l.active.Close()
	l.active = nil
	return diskError(err, "close a segment")
}

// settle makes the log ready for a change: what an earlier failure left undecided is decided as not done.
func (l *Log) settle() error {
	if !l.loaded {
		return misuse("the log is not loaded: call Load first")
	}
	if l.stray != "" {
		if err := l.o.FS.Remove(l.path(l.stray)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return diskError(err, "remove a snapshot that was not finished")
		}
		if err := l.o.FS.SyncDir(l.folder); err != nil {
			return diskError(err, "sync the log's folder")
		}
		l.stray = ""
	}
	if l.torn {
		if err := l.active.Truncate(l.segments[len(l.segments)-1].bytes); err != nil {
			return diskError(err, "cut off a torn record")
		}
		if err := l.active.Sync(); err != nil {
			return diskError(err, "sync a segment")
		}
		l.torn = false
	}
	return nil
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
	if l.Bytes()+int64(len(record)) > l.o.MaxBytes {
		return errors.Mark(errors.Newf("the log would be larger than %d bytes: compact it", l.o.MaxBytes), ErrFull)
	}
	if err := l.write(record); err != nil {
		return err
	}
	l.last = entries[len(entries)-1].Seq
	l.batches = append(l.batches, batch{entries[0].Seq, l.last, l.segments[len(l.segments)-1].number})
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
	err := l.withReserve(func() error { return l.write(truncateRecord(after)) })
	if err != nil {
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

// write puts a record at the end of the log, and syncs it.
func (l *Log) write(record []byte) error {
	if n := len(l.segments); l.active != nil && l.segments[n-1].bytes >= l.o.SegmentBytes {
		if err := l.closeSegment(); err != nil {
			return err
		}
	}
	if l.active == nil {
		if err := l.createSegment(); err != nil {
			return err
		}
	}
	s := &l.segments[len(l.segments)-1]
	finishRecord(record, l.nonce, s.bytes)
	l.torn = true // until it is whole
	_, err := l.active.WriteAt(record, s.bytes)
	if err == nil {
		err = l.active.Sync()
	}
	if err != nil {
		_ = l.settle() // gives back the room at once; where that fails, the next change comes here again
		return diskError(err, "write to a segment")
	}
	l.torn = false
	s.bytes += int64(len(record))
	return nil
}

// createSegment makes the next segment. Its header is synced before the first record, so a segment with a bad header never holds
// one. After a failure the same number is used again.
func (l *Log) createSegment() error {
	name := l.path(segmentName(l.number))
	f, err := l.o.FS.Create(name)
	if err != nil {
		return diskError(err, "make a segment")
	}
	nonce := l.o.Nonce()
	if _, err = f.WriteAt(segmentHeader(l.number, nonce), 0); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.o.FS.SyncDir(l.folder)
	}
	if err != nil {
		_ = f.Close()
		_ = l.o.FS.Remove(name) // not needed for anything but room
		return diskError(err, "start a segment")
	}
	l.segments = append(l.segments, segment{l.number, headerSize})
	l.active, l.nonce = f, nonce
	l.number++
	return nil
}

// withReserve runs f again without the reserve where there was no room for it.
func (l *Log) withReserve(f func() error) error {
	err := f()
	if !errors.Is(err, ErrFull) || !l.reserved {
		return err
	}
	if l.o.FS.Remove(l.path(reserveName)) != nil {
		return err
	}
	l.reserved = false
	return f()
}

// reserve takes room for withReserve; where there is none, the log does without.
func (l *Log) reserve() {
	if l.reserved || l.o.ReserveBytes < 0 {
		return
	}
	f, err := l.o.FS.Create(l.path(reserveName))
	if err != nil {
		return
	}
	_, err = f.WriteAt(make([]byte, l.o.ReserveBytes), 0)
	if closing := f.Close(); err == nil {
		err = closing
	}
	if err != nil {
		_ = l.o.FS.Remove(l.path(reserveName))
		return
	}
	l.reserved = true
}
