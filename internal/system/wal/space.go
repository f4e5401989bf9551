package wal

import "github.com/cockroachdb/errors"

// freeSpaceFor drops the copy of a damaged log where n bytes more would leave too little of the disk.
func (l *Log) freeSpaceFor(n int64) {
	used := l.Size() + l.quarantinedBytes
	if l.hasReserve {
		used += l.options.ReserveBytes
	}
	if l.quarantinedBytes > 0 && used+n > l.options.DiskBytes {
		l.dropQuarantined()
	}
}

// withFreeSpace runs f, which writes n bytes, and again without the copy of a damaged log where there was no room for it.
func (l *Log) withFreeSpace(n int, f func() error) error {
	l.freeSpaceFor(int64(n))
	err := f()
	if errors.Is(err, ErrFull) && l.dropQuarantined() {
		err = f()
	}
	return err
}

// withReserve is withRoom, and runs f once more without the reserve where there was still no room.
func (l *Log) withReserve(n int, f func() error) error {
	err := l.withFreeSpace(n, f)
	if !errors.Is(err, ErrFull) || !l.hasReserve {
		return err
	}
	if l.options.FS.Remove(l.path(reserveName)) != nil {
		return err
	}
	l.hasReserve = false
	return f()
}

// createReserve takes room for withReserve; where there is none, the log does without.
func (l *Log) createReserve() {
	if l.hasReserve || l.options.ReserveBytes < 0 {
		return
	}
	f, err := l.createNew(reserveName)
	if err != nil {
		return
	}
	_, err = f.WriteAt(make([]byte, l.options.ReserveBytes), 0)
	if closing := f.Close(); err == nil {
		err = closing
	}
	if err != nil {
		_ = l.options.FS.Remove(l.path(reserveName))
		return
	}
	l.hasReserve = true
}
