package wal

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

func snapshotName(generation uint64) string { return fmt.Sprintf("snap-%016x", generation) }

func metaName(name string, generation uint64) string {
	return fmt.Sprintf("meta-%s-%016x", name, generation)
}

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

// SaveMeta implements Disk. Names have 1 to 64 bytes of a to z, 0 to 9 and _. It works at MaxBytes, too.
func (l *Log) SaveMeta(name string, data []byte) error {
	if err := l.checkWritable(); err != nil {
		return err
	}
	if err := ValidateMetaName(name); err != nil {
		return err
	}
	generations := l.meta[name]
	err := l.withReserve(len(data), func() error {
		generations.triedGeneration++ // never used twice: a failed one may be there
		f, _, err := l.replaceFile(metaName(name, generations.triedGeneration), encodeFile(metaMagic, []uint64{generations.triedGeneration}, data))
		if err == nil {
			_ = f.Close() // it is synced
			err = l.checkOwnership()
		}
		if err != nil {
			l.garbage = append(l.garbage, metaName(name, generations.triedGeneration))
		}
		return err
	})
	if err == nil {
		if generations.savedGeneration > 0 {
			l.garbage = append(l.garbage, metaName(name, generations.savedGeneration))
		}
		generations.savedGeneration = generations.triedGeneration
	}
	l.meta[name] = generations
	l.deleteGarbage()
	return err
}

// replaceFile writes a file under a temporary name, syncs it, gives it its name and makes that durable. It returns the file, open.
// renamed tells whether the name may be there in spite of an error.
func (l *Log) replaceFile(name string, content []byte) (f File, renamed bool, err error) {
	temporary := name + temporarySuffix
	f, err = l.createNew(temporary)
	if err != nil {
		return nil, false, diskError(err, "make "+name)
	}
	_, err = f.WriteAt(content, 0)
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Close()
		_ = l.remove(temporary)
		return nil, false, diskError(err, "write "+name)
	}
	err = l.options.FS.Rename(l.path(temporary), l.path(name))
	if err != nil {
		_ = l.remove(temporary)
		err = diskError(err, "rename "+name)
	} else {
		err = diskError(l.options.FS.SyncDir(l.folder), "sync the log's folder")
	}
	if err != nil {
		_ = f.Close()
		return nil, true, err
	}
	return f, true, nil
}

// maxGarbage bounds what is remembered; Load finds the rest.
const maxGarbage = 256

// deleteGarbage deletes what counts no more. What cannot be deleted now is tried again later.
func (l *Log) deleteGarbage() {
	kept := l.garbage[:0]
	for _, name := range l.garbage {
		if err := l.options.FS.Remove(l.path(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			kept = append(kept, name)
		}
	}
	l.garbage = kept[max(0, len(kept)-maxGarbage):]
}
