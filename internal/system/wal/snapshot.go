package wal

import (
	"fmt"
	"slices"
)

func snapshotName(generation uint64) string { return fmt.Sprintf("snap-%016x", generation) }

// Compact implements Disk. It also succeeds if the log has reached Options.MaxBytes. Segments that the snapshot covers are deleted.
func (l *Log) Compact(snapshot Snapshot) error {
	if err := l.resolveUnfinished(); err != nil {
		return err
	}
	if err := ValidateCompact(l.snapshotSeq, l.lastSeq, snapshot.Seq); err != nil {
		return err
	}
	// Later records go to a new segment, so that the log continues in a live segment whether or not the snapshot is saved, and a
	// later Compact can delete this one.
	if err := l.closeSegment(); err != nil {
		return err
	}
	live := batchesAbove(l.batches, snapshot.Seq)
	first := l.nextSegment
	if len(live) > 0 {
		first = live[0].segment
	}
	if err := l.withFreeSpace(len(snapshot.Data), func() error { return l.saveSnapshot(snapshot, first) }); err != nil {
		return err
	}
	l.batches = slices.Clone(live)
	return nil
}

// Install implements Disk.
func (l *Log) Install(snapshot Snapshot) error {
	if err := l.resolveUnfinished(); err != nil {
		return err
	}
	if err := l.withFreeSpace(len(snapshot.Data), func() error { return l.saveSnapshot(snapshot, l.nextSegment) }); err != nil {
		return err
	}
	l.batches, l.lastSeq = nil, snapshot.Seq
	// The segment is no longer live, so an error from closing it does not matter.
	_ = l.closeSegment()
	return nil
}

// saveSnapshot replaces the snapshot and makes firstSegment the oldest live segment.
func (l *Log) saveSnapshot(snapshot Snapshot, firstSegment uint64) error {
	if err := l.resolveUnfinished(); err != nil {
		return err
	}
	l.lastGeneration = max(l.lastGeneration, l.tail.number<<generationShift) + 1
	name := snapshotName(l.lastGeneration)
	content := encodeFile(snapshotMagic, []uint64{l.lastGeneration, snapshot.Seq, firstSegment}, snapshot.Data)
	renamed, err := l.replaceOwnedFile(name, content)
	if err != nil {
		if renamed && !l.superseded {
			l.unfinishedSnapshot = name
			_ = l.resolveUnfinished()
		}
		return err
	}
	if l.snapshotGeneration > 0 {
		l.garbage = append(l.garbage, snapshotName(l.snapshotGeneration))
	}
	l.snapshotSeq, l.snapshotGeneration, l.snapshotBytes = snapshot.Seq, l.lastGeneration, int64(len(content))
	l.dropSegmentsBefore(firstSegment)
	l.deleteGarbage()
	l.createReserve()
	return nil
}

// dropSegmentsBefore makes first the oldest live segment and the segments before it garbage.
func (l *Log) dropSegmentsBefore(first uint64) {
	l.firstSegment = first
	for len(l.segments) > 0 && l.segments[0].number < first {
		l.garbage = append(l.garbage, segmentName(l.segments[0].number))
		l.segments = l.segments[1:]
	}
}

// removeUnfinishedSnapshot durably removes a snapshot whose saving failed after its rename.
func (l *Log) removeUnfinishedSnapshot() error {
	if l.unfinishedSnapshot == "" {
		return nil
	}
	if err := l.remove(l.unfinishedSnapshot); err != nil {
		return diskError(err, "remove the unfinished snapshot")
	}
	if err := l.syncFolder(); err != nil {
		return err
	}
	l.unfinishedSnapshot = ""
	return nil
}
