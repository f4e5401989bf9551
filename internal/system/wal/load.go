package wal

import "slices"

// newestSegmentTail is the end of the newest segment as found by Load. The zero value means that there is no segment.
type newestSegmentTail struct {
	segmentEnd            // end of its last record
	previous   segmentEnd // previous segment according to its header
	lastRecord []byte     // nil if the segment has no record
	firstSeq   uint64     // sequence number of the first entry that lastRecord changes
}

// loadSegments replays the live segments and returns the entries above the snapshot.
func (l *Log) loadSegments(numbers []uint64) ([]Entry, newestSegmentTail, error) {
	chain, err := l.segmentChain(numbers)
	if err != nil {
		return nil, newestSegmentTail{}, err
	}
	state := replayState{}
	newest := newestSegmentTail{}
	for i, header := range chain {
		end := endUnknown
		if i+1 < len(chain) {
			end = chain[i+1].previous.offset
		}
		if newest, err = l.loadSegment(header, end, &state); err != nil {
			return nil, newestSegmentTail{}, err
		}
	}
	entries, err := state.entriesAbove(l.snapshotSeq)
	if err != nil {
		return nil, newestSegmentTail{}, err
	}
	l.lastSeq = max(l.snapshotSeq, state.lastSeq())
	l.batches = batchesAbove(state.batches, l.snapshotSeq)
	return entries, newest, nil
}

// segmentChain returns the headers of the live segments, oldest first. It starts at the newest segment that is not empty and
// follows the headers to each predecessor, down to l.firstSegment. The files of other segments are garbage.
func (l *Log) segmentChain(numbers []uint64) ([]segmentHeader, error) {
	var chain []segmentHeader
	wanted := uint64(0) // the predecessor named by the last header read; 0 if any segment may come next
	for index, number := range slices.Backward(numbers) {
		isOutside := number < l.firstSegment || wanted > 0 && number > wanted
		if isOutside {
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
		if size == 0 && wanted == 0 { // its creation was interrupted
			l.garbage = append(l.garbage, segmentName(number))
			continue
		}
		chain, wanted = append(chain, header), header.previous.number
		if wanted < l.firstSegment {
			wanted = 0
			l.garbage = appendSegmentNames(l.garbage, numbers[:index])
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

// readSegmentHeader returns the header of a segment and the size of its file. For an empty file the header is zero.
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
		return segmentHeader{}, 0, damagedError("segment %d has no complete header", number)
	}
	return h, size, nil
}

// endUnknown is the end passed for the newest segment, for which no later header states the live end.
const endUnknown = int64(-1)

// loadSegment replays one segment up to end. The newest segment, whose end is unknown, ends with its last complete record.
func (l *Log) loadSegment(header segmentHeader, end int64, state *replayState) (newestSegmentTail, error) {
	content, err := l.readFile(segmentName(header.number))
	if err != nil {
		return newestSegmentTail{}, err
	}
	size := int64(len(content))
	isNewest := end == endUnknown
	if !isNewest {
		if end > size || end < headerSize {
			return newestSegmentTail{}, damagedError("segment %d has %d bytes, but its live end is at %d", header.number, size, end)
		}
		content = content[:end]
	}
	scanner := recordScanner{content: content, nonce: header.nonce, skipChecksums: l.options.knobs.SkipRecordChecksums}
	tail, err := scanner.replay(header, state)
	if err != nil {
		return newestSegmentTail{}, err
	}
	hasTrailingBytes := tail.offset < int64(len(content))
	if hasTrailingBytes && (!isNewest || scanner.hasRecordAfter(tail.offset)) {
		return newestSegmentTail{}, damagedError("segment %d is damaged at offset %d", header.number, tail.offset)
	}
	l.segments = append(l.segments, segmentFile{header.number, tail.offset, size})
	return tail, nil
}

// replay applies the records of a segment to state, up to the first one that is torn or damaged.
func (s recordScanner) replay(header segmentHeader, state *replayState) (newestSegmentTail, error) {
	tail := newestSegmentTail{segmentEnd: segmentEnd{header.number, headerSize}, previous: header.previous}
	for tail.offset < int64(len(s.content)) {
		record := s.record(tail.offset)
		if record == nil {
			break
		}
		firstSeq, ok := state.applyRecord(record[recordHeaderSize:], header.number)
		if !ok {
			return newestSegmentTail{}, damagedError("segment %d has a record at offset %d that does not follow the one before it", header.number, tail.offset)
		}
		tail.lastRecord, tail.firstSeq = record, firstSeq
		tail.offset += int64(len(record))
	}
	return tail, nil
}

// Load implements Disk. It drops a torn end, and the contents that it returns are durable. It may be called again to reread the
// disk. From then on, another process that still has the log open cannot acknowledge a change.
func (l *Log) Load() (Contents, error) {
	stored, err := l.load()
	if err != nil {
		_ = l.closeSegment()
		return Contents{}, err
	}
	if l.options.ReadOnly {
		return stored, nil
	}
	l.loaded = true
	l.deleteGarbage()
	l.createReserve()
	return stored, nil
}

func (l *Log) load() (Contents, error) {
	_ = l.closeSegment()
	*l = Log{folder: l.folder, options: l.options, meta: map[string]metaGenerations{}}
	listing, err := l.prepareFolder()
	if err != nil {
		return Contents{}, err
	}
	meta, err := l.loadMeta(listing.meta)
	if err != nil {
		return Contents{}, err
	}
	snapshot, err := l.loadSnapshot(listing)
	if err != nil {
		return Contents{}, err
	}
	entries, newest, err := l.loadSegments(listing.segments)
	if err != nil {
		return Contents{}, err
	}
	if listing.hasReserve {
		size, err := l.fileSize(reserveName)
		l.hasReserve = err == nil && size >= l.options.ReserveBytes
	}
	stored := Contents{Meta: meta, Snapshot: snapshot, Entries: entries}
	if l.options.ReadOnly {
		return stored, nil
	}
	if err := l.takeOwnership(newest); err != nil {
		return Contents{}, err
	}
	return stored, nil
}

// loadMeta reads the newest generation of each piece of metadata. A file gets its final name only after it is synced, so the
// newest one is complete, and returning an older one would lose an acknowledged promise.
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
		l.meta[name] = metaGenerations{savedGeneration: newest, attemptedGeneration: max(newest, l.nextSegment<<generationShift)}
		for _, old := range generations[:len(generations)-1] {
			l.garbage = append(l.garbage, metaName(name, old))
		}
	}
	return meta, nil
}

// loadSnapshot reads the newest snapshot, and sets l.firstSegment to the oldest live segment.
func (l *Log) loadSnapshot(listing folderListing) (Snapshot, error) {
	l.firstSegment = 1
	newest, err := l.newestHeader(listing.segments)
	if err != nil {
		return Snapshot{}, err
	}
	l.chooseSnapshot(listing.snapshots, newest)
	if l.snapshotGeneration == 0 {
		if newest.generation > 0 {
			return Snapshot{}, damagedError("snapshot %d is missing", newest.generation)
		}
		return Snapshot{}, nil
	}
	snapshot, info, err := l.readSnapshot(l.snapshotGeneration)
	if err != nil {
		return Snapshot{}, err
	}
	l.snapshotSeq, l.firstSegment, l.snapshotBytes = snapshot.Seq, info.firstSegment, info.fileBytes
	return snapshot, nil
}

// chooseSnapshot sets l.snapshotGeneration to the newest valid snapshot; the others are garbage. A snapshot that a superseded
// process finished after the newest segment had been started is not valid.
func (l *Log) chooseSnapshot(generations []uint64, newest segmentHeader) {
	for _, generation := range slices.Backward(generations) {
		l.lastGeneration = max(l.lastGeneration, generation)
		isLate := generation != newest.generation && generation < newest.number<<generationShift
		if l.snapshotGeneration > 0 || isLate {
			l.garbage = append(l.garbage, snapshotName(generation))
			continue
		}
		l.snapshotGeneration = generation
	}
}

// newestHeader returns the header of the newest segment that is not empty, or the zero header if there is none.
func (l *Log) newestHeader(numbers []uint64) (segmentHeader, error) {
	for _, n := range slices.Backward(numbers) {
		if header, size, err := l.readSegmentHeader(n); err != nil || size > 0 {
			return header, err
		}
	}
	return segmentHeader{}, nil
}

// snapshotFileInfo describes a snapshot's file, apart from the snapshot itself.
type snapshotFileInfo struct {
	firstSegment uint64 // oldest live segment
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
