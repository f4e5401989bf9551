package wal

import "fmt"

func segmentName(number uint64) string { return fmt.Sprintf("log-%016x", number) }

// closeSegment closes the active segment, so that the next record starts a new one.
func (l *Log) closeSegment() error {
	if l.activeSegment == nil {
		return nil
	}
	err := l.activeSegment.Close()
	l.activeSegment = nil
	return diskError(err, "close the active segment")
}

// appendToSegment writes a record at the end of the log, syncs it, and checks that this process still owns the log.
func (l *Log) appendToSegment(record []byte) error {
	if l.activeSegment != nil && l.tail.offset >= l.options.SegmentBytes {
		if err := l.closeSegment(); err != nil {
			return err
		}
	}
	if l.activeSegment == nil {
		if err := l.createSegment(nil); err != nil {
			return err
		}
	}
	sealRecord(record, l.activeNonce, l.tail.offset)
	_, err := l.activeSegment.WriteAt(record, l.tail.offset)
	if err == nil {
		err = l.activeSegment.Sync()
	}
	if err == nil {
		err = l.checkOwnership()
	}
	if err != nil {
		l.abandonActiveSegment(l.tail.offset + int64(len(record)))
		return diskError(err, "write to the active segment")
	}
	l.tail.offset += int64(len(record))
	file := &l.segments[len(l.segments)-1]
	file.liveBytes, file.fileBytes = l.tail.offset, l.tail.offset
	return nil
}

// abandonActiveSegment closes the newest segment after a failed write or sync. Whether its last record is on disk is unknown, and
// a later successful sync of this file would prove nothing: the kernel may have dropped the pages that it could not write. The next
// segment's header excludes that record; truncating the file only frees its space.
func (l *Log) abandonActiveSegment(size int64) {
	if l.superseded { // the files belong to another process
		_ = l.closeSegment()
		return
	}
	file := &l.segments[len(l.segments)-1]
	file.fileBytes = size
	if l.activeSegment.Truncate(file.liveBytes) == nil {
		file.fileBytes = file.liveBytes
	}
	if l.options.knobs.ReuseSegmentAfterFailedSync {
		return
	}
	l.tailUnfinished = true
	_ = l.closeSegment()
	if file.liveBytes > headerSize {
		return
	}
	// The segment has no record, so its number can be reused.
	l.abandonedSegment = segmentName(file.number)
	l.nextSegment, l.tail = file.number, l.tailBeforeActive
	l.segments = l.segments[:len(l.segments)-1]
	_ = l.removeAbandonedSegment()
}

// removeAbandonedSegment removes a segment whose creation failed, so that its number can be reused.
func (l *Log) removeAbandonedSegment() error {
	if l.abandonedSegment == "" {
		return nil
	}
	if err := l.remove(l.abandonedSegment); err != nil {
		return diskError(err, "remove the abandoned segment")
	}
	l.abandonedSegment = ""
	return nil
}

// createSegment creates the next segment, which starts with the record, if any. The empty file is created under the segment's own
// name first, which fails if another process has claimed the number. The file with the header and the record is renamed over it
// once it is synced, so a segment that is not empty has a complete start. After a failure the same number is used again.
func (l *Log) createSegment(record []byte) error {
	if err := l.removeAbandonedSegment(); err != nil {
		return err
	}
	if err := l.claimNextSegment(); err != nil {
		return err
	}
	return l.fillSegment(record)
}

// fillSegment writes the start of the next segment, whose empty file has been created.
func (l *Log) fillSegment(record []byte) error {
	name := segmentName(l.nextSegment)
	header := segmentHeader{number: l.nextSegment, previous: l.tail, generation: l.snapshotGeneration, nonce: l.options.Nonce()}
	start := append(header.encode(), record...)
	if len(record) > 0 {
		sealRecord(start[headerSize:], header.nonce, headerSize)
	}
	f, _, err := l.replaceFile(name, start)
	if err != nil {
		l.abandonedSegment = name
		_ = l.removeAbandonedSegment()
		return err
	}
	l.tailBeforeActive, l.tail = l.tail, segmentEnd{l.nextSegment, int64(len(start))}
	l.segments = append(l.segments, segmentFile{l.nextSegment, l.tail.offset, l.tail.offset})
	l.activeSegment, l.activeNonce = f, header.nonce
	l.nextSegment++
	l.tailUnfinished = false
	return nil
}
