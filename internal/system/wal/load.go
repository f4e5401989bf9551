package wal

import (
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// folderList is what the names in the folder tell.
type folderList struct {
	segments, snapshots []uint64            // ascending
	meta                map[string][]uint64 // generations, ascending
	aside               []string
	reserve, wipe       bool
}

func listFolder(names []string) folderList {
	f := folderList{meta: map[string][]uint64{}}
	for _, name := range names {
		kind, rest, _ := strings.Cut(name, "-")
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			f.aside = append(f.aside, name)
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
// call has failed that it cannot recover from by itself.
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
	*l = Log{folder: l.folder, o: l.o, meta: map[string]metaFile{}, number: 1}
	names, err := l.o.FS.ReadDir(l.folder)
	if err != nil {
		return nil, Snapshot{}, nil, diskError(err, "read the log's folder")
	}
	list := listFolder(names)
	if list.wipe {
		if err := l.Wipe(); err != nil {
			return nil, Snapshot{}, nil, err
		}
		list = folderList{}
	}
	l.garbage = append(l.garbage, list.aside...)
	meta, err := l.loadMeta(list.meta)
	if err != nil {
		return nil, Snapshot{}, nil, err
	}
	snapshot, err := l.loadSnapshot(list.snapshots)
	if err != nil {
		return nil, Snapshot{}, nil, err
	}
	entries, err := l.loadSegments(list.segments)
	if err != nil {
		return nil, Snapshot{}, nil, err
	}
	// A process that was killed may have left what no sync covers. It has been believed here, so it has to last, and before
	// anything that it replaces is deleted.
	if l.active != nil {
		if err := l.active.Sync(); err != nil {
			return nil, Snapshot{}, nil, diskError(err, "sync a segment")
		}
	}
	if err := l.o.FS.SyncDir(l.folder); err != nil {
		return nil, Snapshot{}, nil, diskError(err, "sync the log's folder")
	}
	if list.reserve {
		size, err := l.size(reserveName)
		l.reserved = err == nil && size >= l.o.ReserveBytes
	}
	return meta, snapshot, entries, nil
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
		l.meta[name] = metaFile{saved: newest, tried: newest}
		for _, old := range generations[:len(generations)-1] {
			l.garbage = append(l.garbage, metaName(name, old))
		}
	}
	return meta, nil
}

// loadSnapshot reads the newest snapshot, and leaves the number of the oldest segment that counts in l.number.
func (l *Log) loadSnapshot(generations []uint64) (Snapshot, error) {
	if len(generations) == 0 {
		return Snapshot{}, nil
	}
	newest := generations[len(generations)-1]
	name := snapshotName(newest)
	b, err := l.read(name)
	if err != nil {
		return Snapshot{}, err
	}
	fields, data, ok := decodeFile(b, snapshotMagic, 3)
	if !ok || fields[0] != newest {
		return Snapshot{}, damaged("snapshot %d is not what was written", newest)
	}
	l.generation, l.snapshot, l.number = newest, fields[1], fields[2]
	l.snapName, l.snapBytes = name, int64(len(b))
	for _, old := range generations[:len(generations)-1] {
		l.garbage = append(l.garbage, snapshotName(old))
	}
	return Snapshot{Seq: l.snapshot, Data: data}, nil
}

// loadSegments replays the segments from l.number on.
func (l *Log) loadSegments(numbers []uint64) ([]Entry, error) {
	r := replay{}
	for i, n := range numbers {
		if n < l.number {
			l.garbage = append(l.garbage, segmentName(n))
			continue
		}
		if n != l.number {
			return nil, damaged("segment %d is missing", l.number)
		}
		if err := l.loadSegment(n, i == len(numbers)-1, &r); err != nil {
			return nil, err
		}
	}
	l.last = max(l.snapshot, r.next-min(r.next, 1))
	if r.next > 0 && r.next <= l.snapshot {
		return nil, damaged("the log ends at %d, below its snapshot at %d", r.next-1, l.snapshot)
	}
	entries := r.entries
	for len(entries) > 0 && entries[0].Seq <= l.snapshot {
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Seq != l.snapshot+1 {
		return nil, damaged("the log begins at %d, its snapshot ends at %d", entries[0].Seq, l.snapshot)
	}
	l.batches = r.batches
	for len(l.batches) > 0 && l.batches[0].last <= l.snapshot {
		l.batches = l.batches[1:]
	}
	return entries, nil
}

func (l *Log) loadSegment(number uint64, newest bool, r *replay) error {
	name := segmentName(number)
	f, err := l.o.FS.Open(l.path(name))
	if err != nil {
		return diskError(err, "open "+name)
	}
	keep := false
	defer func() {
		if !keep {
			_ = f.Close()
		}
	}()
	b, err := readAll(f)
	if err != nil {
		return diskError(err, "read "+name)
	}
	nonce, ok := readHeader(b, number)
	if !ok {
		if !newest || len(b) > headerSize {
			return damaged("segment %d has no whole header", number)
		}
		return nil // its making was cut short, so it held nothing; the next segment takes its number and place
	}
	end := int64(headerSize)
	for end < int64(len(b)) {
		payload := readRecord(b, nonce, end)
		if payload == nil {
			break
		}
		if !r.take(payload, number) {
			return damaged("segment %d has a record at %d that does not follow", number, end)
		}
		end += recordHeaderSize + int64(len(payload))
	}
	if end < int64(len(b)) {
		if !newest || recordBehind(b, nonce, end) {
			return damaged("segment %d is damaged at %d", number, end)
		}
		if err := f.Truncate(end); err != nil {
			return diskError(err, "cut off a torn record")
		}
	}
	l.segments = append(l.segments, segment{number, end})
	l.number = number + 1
	if newest {
		keep, l.active, l.nonce = true, f, nonce
	}
	return nil
}

// replay is what the records read so far add up to.
type replay struct {
	entries []Entry
	batches []batch
	next    uint64 // number of the next entry; 0: any
}

// take does what a record says; false where it cannot follow the ones before it.
func (r *replay) take(payload []byte, segment uint64) bool {
	d := reader{b: payload}
	switch d.byte() {
	case kindAppend:
		first, count := d.uvarint(), d.uvarint()
		if d.bad || first == 0 || count == 0 || r.next != 0 && first != r.next {
			return false
		}
		for i := range count {
			data := d.bytes()
			if d.bad {
				return false
			}
			r.entries = append(r.entries, Entry{Seq: first + i, Data: data})
		}
		r.next = first + count
		r.batches = append(r.batches, batch{first, r.next - 1, segment})
	case kindTruncate:
		after := d.uvarint()
		if d.bad {
			return false
		}
		for n := len(r.entries); n > 0 && r.entries[n-1].Seq > after; n-- {
			r.entries = r.entries[:n-1]
		}
		r.batches, r.next = cut(r.batches, after), after+1
	default:
		return false
	}
	return !d.bad && len(d.b) == 0
}

// Wipe deletes everything, durably; Load is to be called afterwards. Cut short, it is finished by the next Load, so that
// nothing is left of an identity once a part of it is gone.
func (l *Log) Wipe() error {
	_ = l.closeSegment()
	l.loaded = false
	fs := l.o.FS
	_ = fs.Remove(l.path(reserveName)) // makes room for the mark
	f, err := fs.Create(l.path(wipeName))
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
