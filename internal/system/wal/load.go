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
	reserveName     = "reserve"
	putAsideName    = "putting-aside" // while it is there, the log's files are to be renamed
	damagedPrefix   = "damaged-"
	temporarySuffix = ".tmp"
)

// folderList is what the names in the folder tell.
type folderList struct {
	segments, snapshots []uint64            // ascending
	meta                map[string][]uint64 // generations, ascending
	temporary           []string
	damaged             []string // files of the copy that was put aside
	reserve             bool
	putAside            bool // putting aside is under way
}

func listFolder(names []string) folderList {
	f := folderList{meta: map[string][]uint64{}}
	for _, name := range names {
		kind, rest, _ := strings.Cut(name, "-")
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			f.temporary = append(f.temporary, name)
		case name == reserveName:
			f.reserve = true
		case name == putAsideName:
			f.putAside = true
		case strings.HasPrefix(name, damagedPrefix):
			f.damaged = append(f.damaged, name)
		case kind == "log":
			if n, ok := parseNumber(rest); ok {
				f.segments = append(f.segments, n)
			}
		case kind == "snap":
			if n, ok := parseNumber(rest); ok {
				f.snapshots = append(f.snapshots, n)
			}
		case kind == "meta":
			key, number, _ := strings.Cut(rest, "-")
			if n, ok := parseNumber(number); ok && checkName(key) == nil {
				f.meta[key] = append(f.meta[key], n)
			}
		}
	}
	slices.Sort(f.segments)
	slices.Sort(f.snapshots)
	for _, all := range f.meta {
		slices.Sort(all)
	}
	return f
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
	if l.o.ReadOnly {
		return meta, snapshot, entries, nil
	}
	l.loaded = true
	l.deleteGarbage()
	l.reserve()
	return meta, snapshot, entries, nil
}

func (l *Log) load() (map[string][]byte, Snapshot, []Entry, error) {
	_ = l.closeSegment()
	*l = Log{folder: l.folder, o: l.o, meta: map[string]metaFile{}}
	list, err := l.prepare()
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
	if list.reserve {
		size, err := l.size(reserveName)
		l.reserved = err == nil && size >= l.o.ReserveBytes
	}
	if l.o.ReadOnly {
		return meta, snapshot, entries, nil
	}
	if err := l.takeOver(newest); err != nil {
		return nil, Snapshot{}, nil, err
	}
	return meta, snapshot, entries, nil
}

// prepare lists the folder once nothing in it can change any more: the next segment's file is there.
func (l *Log) prepare() (folderList, error) {
	list, err := l.list()
	if err != nil {
		return list, err
	}
	if l.o.ReadOnly {
		if list.putAside {
			err = damaged("a damaged log is being put aside")
		}
		return list, err
	}
	if list.putAside {
		if err := l.finishPutAside(); err != nil {
			return list, err
		}
		if list, err = l.list(); err != nil {
			return list, err
		}
	}
	if len(list.damaged) > 0 { // its mark is gone for good before anything new could be taken for a part of it
		if err := l.o.FS.SyncDir(l.folder); err != nil {
			return list, diskError(err, "sync the log's folder")
		}
	}
	for _, name := range list.temporary {
		if l.remove(name) != nil {
			l.garbage = append(l.garbage, name)
		}
	}
	l.countDamaged(list.damaged)
	if l.number, err = l.nextNumber(list); err != nil {
		return list, err
	}
	if l.fence() != nil { // the disk is full or refuses; what is there can still be read
		l.unfenced, l.superseded = true, false
	}
	again, err := l.list()
	for i, n := range again.segments {
		if n == l.number {
			again.segments = again.segments[:i]
			break
		}
	}
	return again, err
}

func (l *Log) list() (folderList, error) {
	names, err := l.o.FS.ReadDir(l.folder)
	return listFolder(names), diskError(err, "read the log's folder")
}

// nextNumber returns the number of a segment that follows all that were made: each snapshot names one, too.
func (l *Log) nextNumber(list folderList) (uint64, error) {
	next := uint64(1)
	if n := len(list.segments); n > 0 {
		next = list.segments[n-1] + 1
	}
	if n := len(list.snapshots); n > 0 {
		first, err := l.peekFirst(list.snapshots[n-1])
		if err != nil {
			return 0, err
		}
		next = max(next, first)
	}
	return next, nil
}

// peekFirst reads the number of the oldest segment that counts out of a snapshot's file, without a check of the whole; 0: there
// is none.
func (l *Log) peekFirst(generation uint64) (uint64, error) {
	name := snapshotName(generation)
	f, err := l.o.FS.Open(l.path(name))
	if err != nil {
		return 0, diskError(err, "open "+name)
	}
	defer func() { _ = f.Close() }()
	var b [snapshotFirstAt + 8]byte
	switch _, err := f.ReadAt(b[:], 0); {
	case errors.Is(err, io.EOF): // it is damaged, as loadSnapshot will find
		return 0, nil
	case err != nil:
		return 0, diskError(err, "read "+name)
	}
	return binary.LittleEndian.Uint64(b[snapshotFirstAt:]), nil
}

func (l *Log) size(name string) (int64, error) {
	f, err := l.o.FS.Open(l.path(name))
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	return f.Size()
}

func readAll(f File) ([]byte, error) {
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

func (l *Log) read(name string) ([]byte, error) {
	f, err := l.o.FS.Open(l.path(name))
	if err != nil {
		return nil, diskError(err, "open "+name)
	}
	defer func() { _ = f.Close() }()
	b, err := readAll(f)
	return b, diskError(err, "read "+name)
}

// loadMeta reads the newest generation of each piece of metadata. A file has its name only once it is synced, so the
// newest one is whole, and to take an older one would be to forget a promise.
func (l *Log) loadMeta(all map[string][]uint64) (map[string][]byte, error) {
	meta := make(map[string][]byte, len(all))
	for name, generations := range all {
		newest := generations[len(generations)-1]
		b, err := l.read(metaName(name, newest))
		if err != nil {
			return nil, err
		}
		fields, data, ok := decodeFile(b, metaMagic, 1)
		if !ok || fields[0] != newest {
			return nil, damaged("metadata %q is not what was written", name)
		}
		meta[name] = data
		l.meta[name] = metaFile{saved: newest, tried: max(newest, l.number<<generationShift)}
		for _, old := range generations[:len(generations)-1] {
			l.garbage = append(l.garbage, metaName(name, old))
		}
	}
	return meta, nil
}

// loadSnapshot reads the newest snapshot, and leaves the number of the oldest segment that counts in l.first.
func (l *Log) loadSnapshot(list folderList) (Snapshot, error) {
	l.first = 1
	newest, err := l.newestHeader(list.segments)
	if err != nil {
		return Snapshot{}, err
	}
	for i := len(list.snapshots) - 1; i >= 0; i-- {
		generation := list.snapshots[i]
		l.generation = max(l.generation, generation)
		// One that an earlier process finished after the newest segment was begun by another does not count.
		late := generation != newest.generation && generation < newest.number<<generationShift
		if l.snapGeneration > 0 || late {
			l.garbage = append(l.garbage, snapshotName(generation))
			continue
		}
		l.snapGeneration = generation
	}
	if l.snapGeneration == 0 {
		if newest.generation > 0 {
			return Snapshot{}, damaged("snapshot %d is missing", newest.generation)
		}
		return Snapshot{}, nil
	}
	snapshot, fields, err := l.readSnapshot(l.snapGeneration)
	if err != nil {
		return Snapshot{}, err
	}
	l.snapshot, l.first, l.snapBytes = snapshot.Seq, fields.first, fields.bytes
	return snapshot, nil
}

// newestHeader returns the header of the newest segment that is not empty; the zero one where there is none.
func (l *Log) newestHeader(numbers []uint64) (header, error) {
	for _, n := range slices.Backward(numbers) {
		if h, size, err := l.readSegmentHeader(n); err != nil || size > 0 {
			return h, err
		}
	}
	return header{}, nil
}

// snapshotFields are what a snapshot's file holds beside the snapshot.
type snapshotFields struct {
	first uint64 // oldest segment that counts
	bytes int64  // size of the file
}

func (l *Log) readSnapshot(generation uint64) (Snapshot, snapshotFields, error) {
	b, err := l.read(snapshotName(generation))
	if err != nil {
		return Snapshot{}, snapshotFields{}, err
	}
	fields, data, ok := decodeFile(b, snapshotMagic, 3)
	if !ok || fields[0] != generation {
		return Snapshot{}, snapshotFields{}, damaged("snapshot %d is not what was written", generation)
	}
	return Snapshot{Seq: fields[1], Data: data}, snapshotFields{fields[2], int64(len(b))}, nil
}
