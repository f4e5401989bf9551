package wal

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/fields"
)

// newestSegment is what Load found last in the newest segment. The zero one: there is none.
type newestSegment struct {
	link            // where it ends
	previous link   // as its header has it
	record   []byte // its last record; nil: it holds none
	first    uint64 // number of the first entry of record
}

// loadSegments replays the segments that count.
func (l *Log) loadSegments(numbers []uint64) ([]Entry, newestSegment, error) {
	chain, err := l.chain(numbers)
	if err != nil {
		return nil, newestSegment{}, err
	}
	r := replay{}
	newest := newestSegment{}
	for i, h := range chain {
		end := int64(-1)
		if i+1 < len(chain) {
			end = chain[i+1].previous.end
		}
		if newest, err = l.loadSegment(h, end, &r); err != nil {
			return nil, newestSegment{}, err
		}
	}
	l.last = max(l.snapshot, r.next-min(r.next, 1))
	if r.next > 0 && r.next <= l.snapshot {
		return nil, newestSegment{}, damaged("the log ends at %d, below its snapshot at %d", r.next-1, l.snapshot)
	}
	entries := r.entries
	for len(entries) > 0 && entries[0].Seq <= l.snapshot {
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Seq != l.snapshot+1 {
		return nil, newestSegment{}, damaged("the log begins at %d, its snapshot ends at %d", entries[0].Seq, l.snapshot)
	}
	l.batches = r.batches
	for len(l.batches) > 0 && l.batches[0].last <= l.snapshot {
		l.batches = l.batches[1:]
	}
	return entries, newest, nil
}

// chain returns the headers of the segments that count, oldest first: the newest that is not empty, the one that it names as
// the one before it, and so on. The files of other segments are garbage.
func (l *Log) chain(numbers []uint64) ([]header, error) {
	var chain []header
	want := uint64(0)
	for i := len(numbers) - 1; i >= 0; i-- {
		n := numbers[i]
		if n < l.first || want > 0 && n > want {
			l.garbage = append(l.garbage, segmentName(n))
			continue
		}
		if want > 0 && n < want {
			break
		}
		h, size, err := l.readSegmentHeader(n)
		if err != nil {
			return nil, err
		}
		if size == 0 && want == 0 { // its making was cut short
			l.garbage = append(l.garbage, segmentName(n))
			continue
		}
		chain, want = append(chain, h), h.previous.number
		if want < l.first {
			want = 0
			l.garbage = appendSegmentNames(l.garbage, numbers[:i])
			break
		}
	}
	if want > 0 {
		return nil, damaged("segment %d is missing", want)
	}
	slices.Reverse(chain)
	return chain, nil
}

func appendSegmentNames(names []string, numbers []uint64) []string {
	for _, n := range numbers {
		names = append(names, segmentName(n))
	}
	return names
}

// readSegmentHeader returns the header, and the size of the file; one that is empty has no header.
func (l *Log) readSegmentHeader(number uint64) (header, int64, error) {
	name := segmentName(number)
	f, err := l.o.FS.Open(l.path(name))
	if err != nil {
		return header{}, 0, diskError(err, "open "+name)
	}
	defer func() { _ = f.Close() }()
	size, err := f.Size()
	if err != nil || size == 0 {
		return header{}, 0, diskError(err, "read "+name)
	}
	b := make([]byte, min(size, headerSize))
	if _, err := f.ReadAt(b, 0); err != nil {
		return header{}, 0, diskError(err, "read "+name)
	}
	h, ok := readHeader(b, number)
	if !ok {
		return header{}, 0, damaged("segment %d has no whole header", number)
	}
	return h, size, nil
}

// loadSegment replays one segment up to end; below 0: it is the newest, and ends with its last whole record.
func (l *Log) loadSegment(h header, end int64, r *replay) (newestSegment, error) {
	b, err := l.read(segmentName(h.number))
	if err != nil {
		return newestSegment{}, err
	}
	size := int64(len(b))
	if end > size || end >= 0 && end < headerSize {
		return newestSegment{}, damaged("segment %d has %d bytes, and %d count", h.number, size, end)
	}
	if end >= 0 {
		b = b[:end]
	}
	s := scanner{segment: b, nonce: h.nonce, trust: l.o.hooks.trustRecords}
	newest := newestSegment{link: link{h.number, headerSize}, previous: h.previous}
	for newest.end < int64(len(b)) {
		record := s.record(newest.end)
		if record == nil {
			break
		}
		first, ok := r.take(record[recordHeaderSize:], h.number)
		if !ok {
			return newestSegment{}, damaged("segment %d has a record at %d that does not follow", h.number, newest.end)
		}
		newest.record, newest.first = record, first
		newest.end += int64(len(record))
	}
	if newest.end < int64(len(b)) && (end >= 0 || s.recordBehind(newest.end)) {
		return newestSegment{}, damaged("segment %d is damaged at %d", h.number, newest.end)
	}
	l.segments = append(l.segments, segment{h.number, newest.end, size})
	return newest, nil
}

// replay is what the records read so far add up to.
type replay struct {
	entries []Entry
	batches []batch
	next    uint64 // number of the next entry; 0: any
}

// take does what a record says, and returns the number of the first entry that it holds; false where it cannot follow the ones
// before it.
func (r *replay) take(payload []byte, segment uint64) (first uint64, ok bool) {
	d := fields.NewReader(payload)
	switch d.Byte() {
	case kindAppend:
		var count uint64
		first, count = d.Uvarint(), d.Uvarint()
		if d.Failed() || first == 0 || count == 0 || r.next != 0 && first != r.next {
			return 0, false
		}
		for i := range count {
			data := d.Bytes()
			if d.Failed() {
				return 0, false
			}
			r.entries = append(r.entries, Entry{Seq: first + i, Data: data})
		}
		r.next = first + count
		r.batches = append(r.batches, batch{first, r.next - 1, segment})
	case kindTruncate:
		after := d.Uvarint()
		if d.Failed() {
			return 0, false
		}
		for n := len(r.entries); n > 0 && r.entries[n-1].Seq > after; n-- {
			r.entries = r.entries[:n-1]
		}
		first = after + 1
		r.batches, r.next = cut(r.batches, after), after+1
	default:
		return 0, false
	}
	return first, d.Complete()
}
