package wal

import "fmt"

func metaName(name string, generation uint64) string {
	return fmt.Sprintf("meta-%s-%016x", name, generation)
}

// SaveMeta implements Disk. A name has 1 to 64 characters from a to z, 0 to 9 and _. It also succeeds if the log has reached
// Options.MaxBytes, or on a full disk by means of the reserve.
func (l *Log) SaveMeta(name string, data []byte) error {
	if err := l.checkWritable(); err != nil {
		return err
	}
	if err := ValidateMetaName(name); err != nil {
		return err
	}
	generations := l.meta[name]
	err := l.withReserve(len(data), func() error {
		generations.attemptedGeneration++ // never reused: a generation whose write failed may be on disk
		return l.writeMeta(name, generations.attemptedGeneration, data)
	})
	if err == nil {
		if generations.savedGeneration > 0 {
			l.garbage = append(l.garbage, metaName(name, generations.savedGeneration))
		}
		generations.savedGeneration = generations.attemptedGeneration
	}
	l.meta[name] = generations
	l.deleteGarbage()
	return err
}

// writeMeta writes one generation of the named metadata. If the write fails, the file is garbage.
func (l *Log) writeMeta(name string, generation uint64, data []byte) error {
	file := metaName(name, generation)
	_, err := l.replaceOwnedFile(file, encodeFile(metaMagic, []uint64{generation}, data))
	if err != nil {
		l.garbage = append(l.garbage, file)
	}
	return err
}
