package wal

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Defaults of Options.
const (
	defaultMaxBytes     = 40 << 20
	defaultDiskBytes    = 60e6 // the disk has 64 MB
	defaultSegmentBytes = 2 << 20
	defaultReserveBytes = 64 << 10
)

// Options configure a Log. Zero values select the defaults.
type Options struct {
	FS FS // default: the operating system's

	// MaxBytes bounds the size of the segments and the snapshot: Append fails with ErrFull if they would exceed it. Default 40 MiB.
	MaxBytes int64
	// DiskBytes bounds the size of all files: the quarantined copy is dropped if they would exceed it. Default 60 MB.
	DiskBytes int64
	// SegmentBytes is the size from which a segment is closed and the next one started. Default 2 MiB.
	SegmentBytes int64
	// ReserveBytes is the space reserved for metadata and truncations on a full disk. Default 64 KiB; a negative value means none.
	ReserveBytes int64

	// Nonce generates the nonce of a segment. Default: 64 random bits.
	Nonce func() uint64
	// ReadOnly opens the log for inspection: nothing is changed, the process that has the log open keeps its ownership, and what
	// Load returns need not be durable.
	ReadOnly bool

	knobs TestingKnobs // zero in production
}

// Log is a Disk in one folder. The package comment describes how it makes changes durable. A Log must not be used by more than one
// goroutine at a time.
type Log struct {
	folder     string
	options    Options
	loaded     bool
	superseded bool // another process has opened the log

	snapshotSeq    uint64 // 0 if there is no snapshot
	firstSegment   uint64 // number of the oldest live segment
	lastGeneration uint64 // generation of the newest snapshot that the log started to save
	snapshotBytes  int64

	snapshotGeneration uint64 // 0 if there is no snapshot

	batches          []batch // live entries, oldest first
	lastSeq          uint64
	segments         []segmentFile // on disk, oldest first
	activeSegment    File          // the newest of segments; nil if the next record starts a new segment
	activeNonce      uint64        // nonce of activeSegment
	nextSegment      uint64        // number of the next segment
	tail             segmentEnd    // the newest segment and its live end, for the next one's header
	tailBeforeActive segmentEnd    // value of tail before activeSegment was created
	unclaimed        bool          // Load could not create the next segment
	tailUnfinished   bool          // a record after tail, or in abandonedSegment, may be on disk

	unfinishedSnapshot string                     // file of a snapshot whose saving failed after the rename
	abandonedSegment   string                     // file of segment nextSegment, whose creation failed
	meta               map[string]metaGenerations // by name
	garbage            []string                   // files to delete
	hasReserve         bool                       // the reserve is on disk

	quarantinedFiles []string // files of the quarantined copy
	quarantinedBytes int64
}

// batch describes the live entries that one record appended.
type batch struct{ firstSeq, lastSeq, segment uint64 }

// segmentFile describes a segment and the disk space that it takes.
type segmentFile struct {
	number    uint64
	liveBytes int64 // up to the last live record
	fileBytes int64 // upper bound on the file's size
}

// metaGenerations tracks the generations of one piece of metadata.
type metaGenerations struct {
	savedGeneration     uint64 // the current one; 0 if none
	attemptedGeneration uint64 // the newest one that may be on disk
}

var _ Disk = (*Log)(nil)

// Open returns the log in folder, and creates the folder if it does not exist. Load must be the first call on the log.
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

// ensureFolder creates the log's folder if it does not exist, and makes its name durable.
func (l *Log) ensureFolder() error {
	fs := l.options.FS
	if _, err := fs.ReadDir(l.folder); errors.Is(err, os.ErrNotExist) {
		if err := fs.MkdirAll(l.folder); err != nil {
			return diskError(err, "create the log's folder")
		}
	} else if err != nil {
		return diskError(err, "read the log's folder")
	}
	// The sync is needed also if the folder existed: the process that created it may have ended before its own sync.
	return diskError(fs.SyncDir(filepath.Dir(l.folder)), "sync the parent of the log's folder")
}

func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = osFS{}
	}
	o.MaxBytes = cmp.Or(o.MaxBytes, defaultMaxBytes)
	o.DiskBytes = cmp.Or(o.DiskBytes, defaultDiskBytes)
	o.SegmentBytes = cmp.Or(o.SegmentBytes, defaultSegmentBytes)
	o.ReserveBytes = cmp.Or(o.ReserveBytes, defaultReserveBytes)
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

// Close closes the log without writing anything.
func (l *Log) Close() error {
	l.loaded = false
	return l.closeSegment()
}

// Size returns the size of the segments and the snapshot in bytes, which Options.MaxBytes bounds.
func (l *Log) Size() int64 {
	n := l.snapshotBytes
	for _, s := range l.segments {
		n += s.fileBytes
	}
	return n
}

// resolveUnfinished prepares the log for a change: it resolves every change that an earlier failure left unfinished as not done.
func (l *Log) resolveUnfinished() error {
	if err := l.checkWritable(); err != nil {
		return err
	}
	if err := l.removeUnfinishedSnapshot(); err != nil {
		return err
	}
	if err := l.removeAbandonedSegment(); err != nil { // its header may name a snapshot that is no longer current
		return err
	}
	if l.tailUnfinished && !l.options.knobs.ReuseSegmentAfterFailedSync {
		return l.withReserve(headerSize, func() error { return l.createSegment(nil) })
	}
	return nil
}

// checkWritable returns an error with the reason if the log does not accept changes.
func (l *Log) checkWritable() error {
	switch {
	case l.superseded:
		return supersededError()
	case l.options.ReadOnly:
		return misuseError("the log is open read-only: open it without Options.ReadOnly to change it")
	case !l.loaded:
		return misuseError("the log is not loaded: call Load first")
	}
	return nil
}

// Append implements Disk. It fails with ErrFull if the log would exceed Options.MaxBytes.
func (l *Log) Append(entries []Entry) error {
	if err := l.resolveUnfinished(); err != nil {
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

// Truncate implements Disk. It also succeeds if the log has reached Options.MaxBytes, or on a full disk by means of the reserve.
func (l *Log) Truncate(after uint64) error {
	if err := l.resolveUnfinished(); err != nil {
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
