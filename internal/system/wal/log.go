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

	TestingKnobs TestingKnobs
}

// TestingKnobs take protections out, for the tests that show what each is for.
type TestingKnobs struct {
	SkipRecordChecksums         bool // records are taken without a look at their checksums
	ReuseSegmentAfterFailedSync bool // after a failed sync the log goes on in the same file
	TrustNewestSegment          bool // Load syncs the newest segment and believes that
	SkipOwnershipCheck          bool // no look for another process that has opened the log
	SkipQuarantineMarkerSync    bool // a log is put aside though its mark may not last
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
	options    Options
	loaded     bool
	superseded bool // another process has the log

	snapshotSeq    uint64 // its number; 0: none
	firstSegment   uint64 // number of the oldest segment that counts
	lastGeneration uint64 // of the newest snapshot tried
	snapshotBytes  int64

	snapshotGeneration uint64 // 0: there is no snapshot

	batches          []batch // live entries, oldest first
	lastSeq          uint64
	segments         []segmentFile // on disk, oldest first
	activeSegment    File          // the newest of segments; nil: it is ended, or there is none
	activeNonce      uint64        // of active
	nextSegment      uint64        // of the next segment
	tail             segmentEnd    // the newest segment made and its end, for the next one's header
	tailBeforeActive segmentEnd    // tail as it was when active was made
	unclaimed        bool          // Load could not make the next segment
	tailInDoubt      bool          // a record behind the end of tail, or in leftover, may be on disk

	snapshotInDoubt  string                     // a snapshot that may or may not be there
	abandonedSegment string                     // a segment of the next number that did not come about
	meta             map[string]metaGenerations // by name
	garbage          []string                   // files that count no more
	hasReserve       bool                       // the reserve is on disk

	quarantinedFiles []string // files of the copy that was put aside
	quarantinedBytes int64
}

// batch is what one record appended, as far as it is live.
type batch struct{ firstSeq, lastSeq, segment uint64 }

// segmentFile is a file of the log.
type segmentFile struct {
	number    uint64
	liveBytes int64 // bytes that count
	fileBytes int64 // bytes that the file may have
}

// metaGenerations holds generations of one piece of metadata.
type metaGenerations struct{ savedGeneration, triedGeneration uint64 }

var _ Disk = (*Log)(nil)

// Open returns the log in folder, which is made if it is not there. Load must come first.
func Open(folder string, options Options) (*Log, error) {
	l := &Log{folder: folder, options: options.withDefaults()}
	if options.ReadOnly {
		return l, nil
	}
	if err := l.ensureFolder(); err != nil {
		return nil, err
	}
	return l, nil
}

// ensureFolder makes the log's folder where it is missing, and its name durable.
func (l *Log) ensureFolder() error {
	fs := l.options.FS
	if _, err := fs.ReadDir(l.folder); errors.Is(err, os.ErrNotExist) {
		if err := fs.MkdirAll(l.folder); err != nil {
			return diskError(err, "make the log's folder")
		}
	} else if err != nil {
		return diskError(err, "read the log's folder")
	}
	// Also where the folder was there: the process that made it may have ended before this sync.
	return diskError(fs.SyncDir(filepath.Dir(l.folder)), "sync the folder above the log")
}

func (o Options) withDefaults() Options {
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
	return o
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
	n := l.snapshotBytes
	for _, s := range l.segments {
		n += s.fileBytes
	}
	return n
}

// resolveInDoubt makes the log ready for a change: what an earlier failure left undecided is decided as not done.
func (l *Log) resolveInDoubt() error {
	if err := l.checkWritable(); err != nil {
		return err
	}
	if err := l.removeSnapshotInDoubt(); err != nil {
		return err
	}
	if err := l.removeAbandonedSegment(); err != nil { // its header names the snapshot as it was
		return err
	}
	if l.tailInDoubt && !l.options.TestingKnobs.ReuseSegmentAfterFailedSync {
		return l.withReserve(headerSize, func() error { return l.createSegment(nil) })
	}
	return nil
}

func (l *Log) checkWritable() error {
	switch {
	case l.superseded:
		return supersededError()
	case l.options.ReadOnly:
		return misuseError("the log is read only: open it without that to change it")
	case !l.loaded:
		return misuseError("the log is not loaded: call Load first")
	}
	return nil
}

// Append implements Disk. Entries that come in one call are all there after a crash or none is.
func (l *Log) Append(entries []Entry) error {
	if err := l.resolveInDoubt(); err != nil {
		return err
	}
	if err := ValidateAppend(l.lastSeq, entries); err != nil || len(entries) == 0 {
		return err
	}
	record := newAppendRecord(entries)
	if l.Size()+int64(len(record)) > l.options.MaxBytes {
		return errors.Mark(errors.Newf("the log would be larger than %d bytes: compact it", l.options.MaxBytes), ErrFull)
	}
	if err := l.withFreeSpace(len(record), func() error { return l.appendToSegment(record) }); err != nil {
		return err
	}
	l.lastSeq = entries[len(entries)-1].Seq
	l.batches = append(l.batches, batch{entries[0].Seq, l.lastSeq, l.tail.number})
	return nil
}

// Truncate implements Disk. It works at MaxBytes, too.
func (l *Log) Truncate(after uint64) error {
	if err := l.resolveInDoubt(); err != nil {
		return err
	}
	if err := ValidateTruncate(l.snapshotSeq, after); err != nil || after >= l.lastSeq {
		return err
	}
	record := newTruncateRecord(after)
	if err := l.withReserve(len(record), func() error { return l.appendToSegment(record) }); err != nil {
		return err
	}
	l.batches, l.lastSeq = truncateBatches(l.batches, after), after
	return nil
}
