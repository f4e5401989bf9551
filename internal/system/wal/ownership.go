package wal

import (
	"os"

	"github.com/cockroachdb/errors"
)

// takeOwnership makes the loaded contents durable and makes this process the only writer. The last record of the newest segment may
// be only in the kernel's memory, if its sync failed before the last process ended, and another sync of that file would prove
// nothing. So that record is written again as the start of the next segment. If the disk is too full for that, takeOwnership falls
// back to syncing the newest segment.
func (l *Log) takeOwnership(newest newestSegmentTail) error {
	if err := l.syncFolder(); err != nil {
		return err
	}
	l.deleteGarbage()
	l.tail = newest.segmentEnd
	l.freeSpaceFor(int64(len(newest.lastRecord)))
	if !l.unclaimed && !l.options.knobs.TrustNewestSegment {
		if l.rewriteLastRecord(newest) == nil {
			l.trimSegments()
			return nil
		}
		l.unclaimed = true
	}
	if l.options.knobs.TrustNewestSegment {
		l.abandonedSegment = segmentName(l.nextSegment)
	}
	if newest.number == 0 {
		return nil
	}
	f, err := l.options.FS.Open(l.path(segmentName(newest.number)))
	if err != nil {
		return diskError(err, "open the newest segment")
	}
	defer func() { _ = f.Close() }()
	return diskError(f.Sync(), "sync the newest segment")
}

// trimSegments truncates segments to their live ends. Bytes that cannot be truncated still count in Size.
func (l *Log) trimSegments() {
	for i := range l.segments {
		file := &l.segments[i]
		if file.fileBytes <= file.liveBytes {
			continue
		}
		f, err := l.options.FS.Open(l.path(segmentName(file.number)))
		if err != nil {
			continue
		}
		if f.Truncate(file.liveBytes) == nil {
			file.fileBytes = file.liveBytes
		}
		_ = f.Close()
	}
}

// rewriteLastRecord starts the next segment with the last record of the newest one.
func (l *Log) rewriteLastRecord(newest newestSegmentTail) error {
	tail, segments := l.tail, l.segments
	l.tail.offset -= int64(len(newest.lastRecord))
	emptied := newest.number > 0 && l.tail.offset == headerSize
	switch {
	case emptied: // no record is left in the newest segment, so its file is no longer needed
		l.tail = newest.previous
		l.segments = segments[:len(segments)-1]
	case newest.number > 0:
		segments[len(segments)-1].liveBytes = l.tail.offset
	}
	if err := l.fillSegment(newest.lastRecord); err != nil {
		l.tail, l.segments = tail, segments
		if newest.number > 0 {
			segments[len(segments)-1].liveBytes = tail.offset
		}
		return err
	}
	for i := range l.batches {
		if moved := &l.batches[i]; moved.segment == newest.number && moved.firstSeq >= newest.firstSeq {
			moved.segment = l.tail.number
		}
	}
	if emptied {
		l.garbage = append(l.garbage, segmentName(newest.number))
	}
	return nil
}

// claimNextSegment creates the next segment's empty file. The creation is exclusive: if the file exists, another process owns the
// log.
func (l *Log) claimNextSegment() error {
	f, err := l.options.FS.Create(l.path(segmentName(l.nextSegment)))
	if errors.Is(err, os.ErrExist) && !l.options.knobs.SkipOwnershipCheck {
		return l.supersede()
	}
	if err != nil && !errors.Is(err, os.ErrExist) {
		return diskError(err, "create the next segment")
	}
	if err == nil {
		err = f.Close()
	}
	if err == nil && l.unclaimed {
		err = l.checkTailUnchanged()
	}
	if err != nil {
		l.abandonedSegment = segmentName(l.nextSegment)
		_ = l.removeAbandonedSegment()
		return diskError(err, "create the next segment")
	}
	l.unclaimed = false
	return nil
}

// checkTailUnchanged fails if the newest segment has grown since it was loaded without a claim.
func (l *Log) checkTailUnchanged() error {
	if len(l.segments) == 0 || l.segments[len(l.segments)-1].number != l.tail.number {
		return nil
	}
	size, err := l.fileSize(segmentName(l.tail.number))
	if err == nil && size > l.segments[len(l.segments)-1].fileBytes {
		return l.supersede()
	}
	return err
}

// checkOwnership fails if another process has claimed the next segment. That process reads what this one synced before the claim;
// changes that this process synced later must not be acknowledged.
func (l *Log) checkOwnership() error {
	if l.options.knobs.SkipOwnershipCheck {
		return nil
	}
	next := l.nextSegment
	if l.abandonedSegment != "" { // the file with the number nextSegment was created by this process
		next++
	}
	f, err := l.options.FS.Open(l.path(segmentName(next)))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return diskError(err, "check whether the next segment exists")
	}
	_ = f.Close()
	return l.supersede()
}

// supersede marks the log as owned by another process, so that this one accepts no more changes.
func (l *Log) supersede() error {
	l.superseded = true
	return supersededError()
}
