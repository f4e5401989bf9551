package wal

import (
	"io"
	"os"
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
	wipeName        = "wipe" // while it is there, everything else is to go
	temporarySuffix = ".tmp"
)

// folderList is what the names in the folder tell.
type folderList struct {
	segments, snapshots []uint64            // ascending
	meta                map[string][]uint64 // generations, ascending
	temporary           []string
	reserve, wipe       bool
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
		case name == wipeName:
			f.wipe = true
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
	if list.wipe {
		if err := l.Wipe(); err != nil {
			return list, err
		}
		if list, err = l.list(); err != nil {
			return list, err
		}
	}
	for _, name := range list.temporary {
		if l.remove(name) != nil {
			l.garbage = append(l.garbage, name)
		}
	}
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
		_, fields, err := l.readSnapshot(list.snapshots[n-1])
		if err != nil {
			return 0, err
		}
		next = max(next, fields.first)
	}
	return next, nil
}

// takeOver makes what was loaded durable, and the log's own from here on. What the newest segment ends with may be in the
// kernel's memory alone, if its sync failed before the last process ended; to sync that file again would prove nothing. So its
// last record is written again, as the start of the next segment. Where there is no room for that, a sync has to do.
func (l *Log) takeOver(newest newestSegment) error {
	if err := l.o.FS.SyncDir(l.folder); err != nil {
		return diskError(err, "sync the log's folder")
	}
	l.deleteGarbage()
	l.tail = newest.link
	if !l.unfenced && !l.o.hooks.trustNewest {
		if l.carry(newest) == nil {
			l.giveBackRoom()
			return nil
		}
		l.unfenced = true
	}
	if newest.number == 0 {
		return nil
	}
	f, err := l.o.FS.Open(l.path(segmentName(newest.number)))
	if err != nil {
		return diskError(err, "open the newest segment")
	}
	defer func() { _ = f.Close() }()
	return diskError(f.Sync(), "sync the newest segment")
}

// giveBackRoom cuts off what segments have behind their ends. What cannot be cut off is counted as taken.
func (l *Log) giveBackRoom() {
	for i := range l.segments {
		s := &l.segments[i]
		if s.size <= s.end {
			continue
		}
		f, err := l.o.FS.Open(l.path(segmentName(s.number)))
		if err != nil {
			continue
		}
		if f.Truncate(s.end) == nil {
			s.size = s.end
		}
		_ = f.Close()
	}
}

// carry begins the next segment with the last record of the newest.
func (l *Log) carry(newest newestSegment) error {
	tail, segments := l.tail, l.segments
	l.tail.end -= int64(len(newest.record))
	emptied := newest.number > 0 && l.tail.end == headerSize
	switch {
	case emptied: // then it is not needed any more
		l.tail = newest.previous
		l.segments = segments[:len(segments)-1]
	case newest.number > 0:
		segments[len(segments)-1].end = l.tail.end
	}
	if err := l.fillSegment(slices.Clone(newest.record)); err != nil {
		l.tail, l.segments = tail, segments
		if newest.number > 0 {
			segments[len(segments)-1].end = tail.end
		}
		return err
	}
	for i := range l.batches {
		if b := &l.batches[i]; b.segment == newest.number && b.first >= newest.first {
			b.segment = l.tail.number
		}
	}
	if emptied {
		l.garbage = append(l.garbage, segmentName(newest.number))
	}
	return nil
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

// Wipe deletes everything, durably; Load is to be called afterwards. Cut short, it is finished by the next Load, so that
// nothing is left of an identity once a part of it is gone.
func (l *Log) Wipe() error {
	_ = l.closeSegment()
	l.loaded = false
	fs := l.o.FS
	_ = fs.Remove(l.path(reserveName)) // makes room for the mark
	f, err := fs.Create(l.path(wipeName))
	if errors.Is(err, os.ErrExist) {
		f, err = fs.Open(l.path(wipeName))
	}
	if err != nil {
		return diskError(err, "mark the log as wiped")
	}
	err = f.Sync()
	if closing := f.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return diskError(err, "mark the log as wiped")
	}
	if err := fs.SyncDir(l.folder); err != nil {
		return diskError(err, "sync the log's folder")
	}
	names, err := fs.ReadDir(l.folder)
	if err != nil {
		return diskError(err, "read the log's folder")
	}
	for _, name := range names {
		kind, _, _ := strings.Cut(name, "-")
		if kind != "log" && kind != "snap" && kind != "meta" && !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := fs.Remove(l.path(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return diskError(err, "delete "+name)
		}
	}
	if err := fs.SyncDir(l.folder); err != nil {
		return diskError(err, "sync the log's folder")
	}
	if err := fs.Remove(l.path(wipeName)); err != nil {
		return diskError(err, "end the wiping")
	}
	return diskError(fs.SyncDir(l.folder), "sync the log's folder")
}
