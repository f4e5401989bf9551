package wal

import "github.com/cockroachdb/errors"

// freeSpaceFor drops the quarantined copy if n more bytes would exceed Options.DiskBytes.
func (l *Log) freeSpaceFor(n int64) {
	used := l.Size() + l.quarantinedBytes
	if l.hasReserve {
		used += l.options.ReserveBytes
	}
	if l.quarantinedBytes > 0 && used+n > l.options.DiskBytes {
		l.dropQuarantined()
	}
}

// withFreeSpace runs write, which needs n bytes. If the disk is full, it drops the quarantined copy and runs write again.
func (l *Log) withFreeSpace(n int, write func() error) error {
	l.freeSpaceFor(int64(n))
	err := write()
	if errors.Is(err, ErrFull) && l.dropQuarantined() {
		err = write()
	}
	return err
}

// withReserve is like withFreeSpace, but if the disk is still full it deletes the reserve and runs write once more.
func (l *Log) withReserve(n int, write func() error) error {
	err := l.withFreeSpace(n, write)
	if !errors.Is(err, ErrFull) || !l.hasReserve {
		return err
	}
	if l.options.FS.Remove(l.path(reserveName)) != nil {
		return err
	}
	l.hasReserve = false
	return write()
}

// createReserve allocates the space that withReserve frees. On a full disk the log works without a reserve.
func (l *Log) createReserve() {
	if l.hasReserve || l.options.ReserveBytes < 0 {
		return
	}
	f, err := l.createNew(reserveName)
	if err != nil {
		return
	}
	_, err = f.WriteAt(make([]byte, l.options.ReserveBytes), 0)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = l.options.FS.Remove(l.path(reserveName))
		return
	}
	l.hasReserve = true
}
