package wal

import "fmt"

func snapshotName(generation uint64) string { return fmt.Sprintf("snap-%016x", generation) }

// Compact implements Disk. It works at MaxBytes, too; the segments behind the snapshot are deleted.
func (l *Log) Compact(snapshot Snapshot) error {
	if err := l.resolveInDoubt(); err != nil {
		return err
	}
	if err := ValidateCompact(l.snapshotSeq, l.lastSeq, snapshot.Seq); err != nil {
		return err
	}
	// What follows goes to a new segment, so that whether the snapshot is there or not, the log continues in a segment that
	// counts, and a later Compact can delete this one.
	if err := l.closeSegment(); err != nil {
		return err
	}
	live := l.batches
	for len(live) > 0 && live[0].lastSeq <= snapshot.Seq {
		live = live[1:]
	}
	first := l.nextSegment
	if len(live) > 0 {
		first = live[0].segment
	}
	if err := l.withFreeSpace(len(snapshot.Data), func() error { return l.saveSnapshot(snapshot, first) }); err != nil {
		return err
	}
	l.batches = append([]batch(nil), live...)
	return nil
}

// Install implements Disk.
func (l *Log) Install(snapshot Snapshot) error {
	if err := l.resolveInDoubt(); err != nil {
		return err
	}
	if err := l.withFreeSpace(len(snapshot.Data), func() error { return l.saveSnapshot(snapshot, l.nextSegment) }); err != nil {
		return err
	}
	l.batches, l.lastSeq = nil, snapshot.Seq
	// The ended segment counts no more. What closing it says does not matter then.
	_ = l.closeSegment()
	return nil
}

// saveSnapshot makes s the snapshot, and the segment numbered first the oldest that counts.
func (l *Log) saveSnapshot(snapshot Snapshot, firstSegment uint64) error {
	if err := l.resolveInDoubt(); err != nil {
		return err
	}
	l.lastGeneration = max(l.lastGeneration, l.tail.number<<generationShift) + 1
	name := snapshotName(l.lastGeneration)
	content := encodeFile(snapshotMagic, []uint64{l.lastGeneration, snapshot.Seq, firstSegment}, snapshot.Data)
	f, renamed, err := l.replaceFile(name, content)
	if err == nil {
		_ = f.Close() // it is synced
		err = l.checkOwnership()
	}
	if err != nil {
		if renamed && !l.superseded {
			l.snapshotInDoubt = name
			_ = l.resolveInDoubt()
		}
		return err
	}
	if l.snapshotGeneration > 0 {
		l.garbage = append(l.garbage, snapshotName(l.snapshotGeneration))
	}
	l.snapshotSeq, l.firstSegment, l.snapshotGeneration, l.snapshotBytes = snapshot.Seq, firstSegment, l.lastGeneration, int64(len(content))
	for len(l.segments) > 0 && l.segments[0].number < firstSegment {
		l.garbage = append(l.garbage, segmentName(l.segments[0].number))
		l.segments = l.segments[1:]
	}
	l.deleteGarbage()
	l.createReserve()
	return nil
}
