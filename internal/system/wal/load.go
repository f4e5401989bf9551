package wal

import (
	"encoding/binary"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// generationShift: the upper part of a generation is the number of the newest segment when it was made. Each process begins
// with a segment of its own, so its generations are higher than those of any process that had the log before it.
const generationShift = 24

const (
	reserveName          = "reserve"
	quarantineMarkerName = "putting-aside" // while it is there, the log's files are to be renamed
	quarantinePrefix     = "damaged-"
	temporarySuffix      = ".tmp"
)

// folderListing is what the names in the folder tell.
type folderListing struct {
	segments, snapshots []uint64            // ascending
	meta                map[string][]uint64 // generations, ascending
	temporary           []string
	quarantined         []string // files of the copy that was put aside
	hasReserve          bool
	quarantineBegun     bool // putting aside is under way
}

func parseFolder(names []string) folderListing {
	listing := folderListing{meta: map[string][]uint64{}}
	for _, name := range names {
		kind, rest, _ := strings.Cut(name, "-")
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			listing.temporary = append(listing.temporary, name)
		case name == reserveName:
			listing.hasReserve = true
		case name == quarantineMarkerName:
			listing.quarantineBegun = true
		case strings.HasPrefix(name, quarantinePrefix):
			listing.quarantined = append(listing.quarantined, name)
		case kind == "log":
			if n, ok := parseNumber(rest); ok {
				listing.segments = append(listing.segments, n)
			}
		case kind == "snap":
			if n, ok := parseNumber(rest); ok {
				listing.snapshots = append(listing.snapshots, n)
			}
		case kind == "meta":
			key, number, _ := strings.Cut(rest, "-")
			if n, ok := parseNumber(number); ok && ValidateMetaName(key) == nil {
				listing.meta[key] = append(listing.meta[key], n)
			}
		}
	}
	slices.Sort(listing.segments)
	slices.Sort(listing.snapshots)
	for _, all := range listing.meta {
		slices.Sort(all)
	}
	return listing
}

func parseNumber(s string) (uint64, bool) {
	n, err := strconv.ParseUint(s, 16, 64)
	return n, err == nil && len(s) == 16
}

// Load implements Disk. A torn end is dropped; what is returned is durable. It may be called again, and must be where a
// call has failed that it cannot recover from by itself. Another process that still has the log open can acknowledge nothing
// more.
func (l *Log) Load() (map[string][]byte, Snapshot, []Entry, error) {
	meta, snapshot, entries, err := l.load()
	if err != nil {
		_ = l.closeSegment()
		return nil, Snapshot{}, nil, err
	}
	if l.options.ReadOnly {
		return meta, snapshot, entries, nil
	}
	l.loaded = true
	l.deleteGarbage()
	l.createReserve()
	return meta, snapshot, entries, nil
}

func (l *Log) load() (map[string][]byte, Snapshot, []Entry, error) {
	_ = l.closeSegment()
	*l = Log{folder: l.folder, options: l.options, meta: map[string]metaGenerations{}}
	list, err := l.prepareFolder()
	if err != nil {
		return nil, Snapshot{}, nil, err
	}
	meta, err := l.loadMeta(list.meta)
	if err != nil {
		return nil, Snapshot{}, nil, err
	}
	snapshot, err := l.loadSnapshot(list)
	if err != nil {
		return nil, Snapshot{}, nil, err
	}
	entries, newest, err := l.loadSegments(list.segments)
	if err != nil {
		return nil, Snapshot{}, nil, err
	}
	if list.hasReserve {
		size, err := l.fileSize(reserveName)
		l.hasReserve = err == nil && size >= l.options.ReserveBytes
	}
	if l.options.ReadOnly {
		return meta, snapshot, entries, nil
	}
	if err := l.takeOwnership(newest); err != nil {
		return nil, Snapshot{}, nil, err
	}
	return meta, snapshot, entries, nil
}

// prepareFolder lists the folder once nothing in it can change any more: the next segment's file is there.
func (l *Log) prepareFolder() (folderListing, error) {
	list, err := l.listFolder()
	if err != nil {
		return list, err
	}
	if l.options.ReadOnly {
		if list.quarantineBegun {
			err = damagedError("a damaged log is being put aside")
		}
		return list, err
	}
	if list.quarantineBegun {
		if err := l.finishQuarantine(); err != nil {
			return list, err
		}
		if list, err = l.listFolder(); err != nil {
			return list, err
		}
	}
	if len(list.quarantined) > 0 { // its mark is gone for good before anything new could be taken for a part of it
		if err := l.options.FS.SyncDir(l.folder); err != nil {
			return list, diskError(err, "sync the log's folder")
		}
	}
	for _, name := range list.temporary {
		if l.remove(name) != nil {
			l.garbage = append(l.garbage, name)
		}
	}
	l.recordQuarantined(list.quarantined)
	if l.nextSegment, err = l.nextNumber(list); err != nil {
		return list, err
	}
	if l.claimNextSegment() != nil { // the disk is full or refuses; what is there can still be read
		l.unclaimed, l.superseded = true, false
	}
	again, err := l.listFolder()
	for i, n := range again.segments {
		if n == l.nextSegment {
			again.segments = again.segments[:i]
			break
		}
	}
	return again, err
}

func (l *Log) listFolder() (folderListing, error) {
	names, err := l.options.FS.ReadDir(l.folder)
	return parseFolder(names), diskError(err, "read the log's folder")
}

// nextNumber returns the number of a segment that follows all that were made: each snapshot names one, too.
func (l *Log) nextNumber(list folderListing) (uint64, error) {
	next := uint64(1)
	if n := len(list.segments); n > 0 {
		next = list.segments[n-1] + 1
	}
	if n := len(list.snapshots); n > 0 {
		first, err := l.readFirstSegment(list.snapshots[n-1])
		if err != nil {
			return 0, err
		}
		next = max(next, first)
	}
	return next, nil
}

// readFirstSegment reads the number of the oldest segment that counts out of a snapshot's file, without a check of the whole; 0: there
// is none.
func (l *Log) readFirstSegment(generation uint64) (uint64, error) {
	name := snapshotName(generation)
	f, err := l.options.FS.Open(l.path(name))
	if err != nil {
		return 0, diskError(err, "open "+name)
	}
	defer func() { _ = f.Close() }()
	var b [snapshotFirstSegmentOffset + 8]byte
	switch _, err := f.ReadAt(b[:], 0); {
	case errors.Is(err, io.EOF): // it is damaged, as loadSnapshot will find
		return 0, nil
	case err != nil:
		return 0, diskError(err, "read "+name)
	}
	return binary.LittleEndian.Uint64(b[snapshotFirstSegmentOffset:]), nil
}

func (l *Log) fileSize(name string) (int64, error) {
	f, err := l.options.FS.Open(l.path(name))
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	return f.Size()
}

func readWholeFile(f File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	n, err := f.ReadAt(b, 0)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return b[:n], err
}

func (l *Log) readFile(name string) ([]byte, error) {
	f, err := l.options.FS.Open(l.path(name))
	if err != nil {
		return nil, diskError(err, "open "+name)
	}
	defer func() { _ = f.Close() }()
	b, err := readWholeFile(f)
	return b, diskError(err, "read "+name)
}

// loadMeta reads the newest generation of each piece of metadata. A file has its name only once it is synced, so the
// newest one is whole, and to take an older one would be to forget a promise.
func (l *Log) loadMeta(all map[string][]uint64) (map[string][]byte, error) {
	meta := make(map[string][]byte, len(all))
	for name, generations := range all {
		newest := generations[len(generations)-1]
		content, err := l.readFile(metaName(name, newest))
		if err != nil {
			return nil, err
		}
		fields, data, ok := decodeFile(content, metaMagic, 1)
		if !ok || fields[0] != newest {
			return nil, damagedError("metadata %q is not what was written", name)
		}
		meta[name] = data
		l.meta[name] = metaGenerations{savedGeneration: newest, triedGeneration: max(newest, l.nextSegment<<generationShift)}
		for _, old := range generations[:len(generations)-1] {
			l.garbage = append(l.garbage, metaName(name, old))
		}
	}
	return meta, nil
}

// loadSnapshot reads the newest snapshot, and leaves the number of the oldest segment that counts in l.first.
func (l *Log) loadSnapshot(list folderListing) (Snapshot, error) {
	l.firstSegment = 1
	newest, err := l.newestHeader(list.segments)
	if err != nil {
		return Snapshot{}, err
	}
	for i := len(list.snapshots) - 1; i >= 0; i-- {
		generation := list.snapshots[i]
		l.lastGeneration = max(l.lastGeneration, generation)
		// One that an earlier process finished after the newest segment was begun by another does not count.
		late := generation != newest.generation && generation < newest.number<<generationShift
		if l.snapshotGeneration > 0 || late {
			l.garbage = append(l.garbage, snapshotName(generation))
			continue
		}
		l.snapshotGeneration = generation
	}
	if l.snapshotGeneration == 0 {
		if newest.generation > 0 {
			return Snapshot{}, damagedError("snapshot %d is missing", newest.generation)
		}
		return Snapshot{}, nil
	}
	snapshot, fields, err := l.readSnapshot(l.snapshotGeneration)
	if err != nil {
		return Snapshot{}, err
	}
	l.snapshotSeq, l.firstSegment, l.snapshotBytes = snapshot.Seq, fields.firstSegment, fields.fileBytes
	return snapshot, nil
}

// newestHeader returns the header of the newest segment that is not empty; the zero one where there is none.
func (l *Log) newestHeader(numbers []uint64) (segmentHeader, error) {
	for _, n := range slices.Backward(numbers) {
		if header, size, err := l.readSegmentHeader(n); err != nil || size > 0 {
			return header, err
		}
	}
	return segmentHeader{}, nil
}

// snapshotFileInfo are what a snapshot's file holds beside the snapshot.
type snapshotFileInfo struct {
	firstSegment uint64 // oldest segment that counts
	fileBytes    int64  // size of the file
}

func (l *Log) readSnapshot(generation uint64) (Snapshot, snapshotFileInfo, error) {
	content, err := l.readFile(snapshotName(generation))
	if err != nil {
		return Snapshot{}, snapshotFileInfo{}, err
	}
	fields, data, ok := decodeFile(content, snapshotMagic, 3)
	if !ok || fields[0] != generation {
		return Snapshot{}, snapshotFileInfo{}, damagedError("snapshot %d is not what was written", generation)
	}
	return Snapshot{Seq: fields[1], Data: data}, snapshotFileInfo{fields[2], int64(len(content))}, nil
}
