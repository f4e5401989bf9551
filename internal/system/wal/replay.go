package wal

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/fields"
)

// newestSegmentTail is what Load found last in the newest segment. The zero one: there is none.
type newestSegmentTail struct {
	segmentEnd            // where it ends
	previous   segmentEnd // as its header has it
	lastRecord []byte     // its last record; nil: it holds none
	firstSeq   uint64     // number of the first entry of record
}

// loadSegments replays the segments that count.
func (l *Log) loadSegments(numbers []uint64) ([]Entry, newestSegmentTail, error) {
	chain, err := l.segmentChain(numbers)
	if err != nil {
		return nil, newestSegmentTail{}, err
	}
	r := replayState{}
	newest := newestSegmentTail{}
	for i, h := range chain {
		end := int64(-1)
		if i+1 < len(chain) {
			end = chain[i+1].previous.offset
		}
		if newest, err = l.loadSegment(h, end, &r); err != nil {
			return nil, newestSegmentTail{}, err
		}
	}
	l.lastSeq = max(l.snapshotSeq, r.nextSeq-min(r.nextSeq, 1))
	if r.nextSeq > 0 && r.nextSeq <= l.snapshotSeq {
		return nil, newestSegmentTail{}, damagedError("the log ends at %d, below its snapshot at %d", r.nextSeq-1, l.snapshotSeq)
	}
	entries := r.entries
	for len(entries) > 0 && entries[0].Seq <= l.snapshotSeq {
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Seq != l.snapshotSeq+1 {
		return nil, newestSegmentTail{}, damagedError("the log begins at %d, its snapshot ends at %d", entries[0].Seq, l.snapshotSeq)
	}
	l.batches = r.batches
	for len(l.batches) > 0 && l.batches[0].lastSeq <= l.snapshotSeq {
		l.batches = l.batches[1:]
	}
	return entries, newest, nil
}

// segmentChain returns the headers of the segments that count, oldest first: the newest that is not empty, the one that it names as
// the one before it, and so on. The files of other segments are garbage.
func (l *Log) segmentChain(numbers []uint64) ([]segmentHeader, error) {
	var chain []segmentHeader
	wanted := uint64(0)
	for i := len(numbers) - 1; i >= 0; i-- {
		number := numbers[i]
		if number < l.firstSegment || wanted > 0 && number > wanted {
			l.garbage = append(l.garbage, segmentName(number))
			continue
		}
		if wanted > 0 && number < wanted {
			break
		}
		header, size, err := l.readSegmentHeader(number)
		if err != nil {
			return nil, err
		}
		if size == 0 && wanted == 0 { // its making was cut short
			l.garbage = append(l.garbage, segmentName(number))
			continue
		}
		chain, wanted = append(chain, header), header.previous.number
		if wanted < l.firstSegment {
			wanted = 0
			l.garbage = appendSegmentNames(l.garbage, numbers[:i])
			break
		}
	}
	if wanted > 0 {
		return nil, damagedError("segment %d is missing", wanted)
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
func (l *Log) readSegmentHeader(number uint64) (segmentHeader, int64, error) {
	name := segmentName(number)
	f, err := l.options.FS.Open(l.path(name))
	if err != nil {
		return segmentHeader{}, 0, diskError(err, "open "+name)
	}
	defer func() { _ = f.Close() }()
	size, err := f.Size()
	if err != nil || size == 0 {
		return segmentHeader{}, 0, diskError(err, "read "+name)
	}
	b := make([]byte, min(size, headerSize))
	if _, err := f.ReadAt(b, 0); err != nil {
		return segmentHeader{}, 0, diskError(err, "read "+name)
	}
	h, ok := decodeSegmentHeader(b, number)
	if !ok {
		return segmentHeader{}, 0, damagedError("segment %d has no whole header", number)
	}
	return h, size, nil
}

// loadSegment replays one segment up to end; below 0: it is the newest, and ends with its last whole record.
func (l *Log) loadSegment(header segmentHeader, end int64, state *replayState) (newestSegmentTail, error) {
	content, err := l.readFile(segmentName(header.number))
	if err != nil {
		return newestSegmentTail{}, err
	}
	size := int64(len(content))
	if end > size || end >= 0 && end < headerSize {
		return newestSegmentTail{}, damagedError("segment %d has %d bytes, and %d count", header.number, size, end)
	}
	if end >= 0 {
		content = content[:end]
	}
	scanner := recordScanner{content: content, nonce: header.nonce, skipChecksums: l.options.TestingKnobs.SkipRecordChecksums}
	newest := newestSegmentTail{segmentEnd: segmentEnd{header.number, headerSize}, previous: header.previous}
	for newest.offset < int64(len(content)) {
		record := scanner.record(newest.offset)
		if record == nil {
			break
		}
		first, ok := state.applyRecord(record[recordHeaderSize:], header.number)
		if !ok {
			return newestSegmentTail{}, damagedError("segment %d has a record at %d that does not follow", header.number, newest.offset)
		}
		newest.lastRecord, newest.firstSeq = record, first
		newest.offset += int64(len(record))
	}
	if newest.offset < int64(len(content)) && (end >= 0 || scanner.hasRecordAfter(newest.offset)) {
		return newestSegmentTail{}, damagedError("segment %d is damaged at %d", header.number, newest.offset)
	}
	l.segments = append(l.segments, segmentFile{header.number, newest.offset, size})
	return newest, nil
}

// replayState is what the records read so far add up to.
type replayState struct {
	entries []Entry
	batches []batch
	nextSeq uint64 // number of the next entry; 0: any
}

// applyRecord does what a record says, and returns the number of the first entry that it holds; false where it cannot follow the ones
// before it.
func (r *replayState) applyRecord(payload []byte, segment uint64) (first uint64, ok bool) {
	reader := fields.NewReader(payload)
	switch reader.Byte() {
	case kindAppend:
		var count uint64
		first, count = reader.Uvarint(), reader.Uvarint()
		if reader.Failed() || first == 0 || count == 0 || r.nextSeq != 0 && first != r.nextSeq {
			return 0, false
		}
		for i := range count {
			data := reader.Bytes()
			if reader.Failed() {
				return 0, false
			}
			r.entries = append(r.entries, Entry{Seq: first + i, Data: data})
		}
		r.nextSeq = first + count
		r.batches = append(r.batches, batch{first, r.nextSeq - 1, segment})
	case kindTruncate:
		after := reader.Uvarint()
		if reader.Failed() {
			return 0, false
		}
		for n := len(r.entries); n > 0 && r.entries[n-1].Seq > after; n-- {
			r.entries = r.entries[:n-1]
		}
		first = after + 1
		r.batches, r.nextSeq = truncateBatches(r.batches, after), after+1
	default:
		return 0, false
	}
	return first, reader.Complete()
}
