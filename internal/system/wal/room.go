package wal

import "github.com/cockroachdb/errors"

// makeRoom drops the copy of a damaged log where n bytes more would leave too little of the disk.
func (l *Log) makeRoom(n int64) {
	used := l.Size() + l.damagedBytes
	if l.reserved {
		used += l.o.ReserveBytes
	}
	if l.damagedBytes > 0 && used+n > l.o.DiskBytes {
		l.dropDamaged()
	}
}

// withRoom runs f, which writes n bytes, and again without the copy of a damaged log where there was no room for it.
func (l *Log) withRoom(n int, f func() error) error {
	l.makeRoom(int64(n))
	err := f()
	if errors.Is(err, ErrFull) && l.dropDamaged() {
		err = f()
	}
	return err
}

// withReserve is withRoom, and runs f once more without the reserve where there was still no room.
func (l *Log) withReserve(n int, f func() error) error {
	err := l.withRoom(n, f)
	if !errors.Is(err, ErrFull) || !l.reserved {
		return err
	}
	if l.o.FS.Remove(l.path(reserveName)) != nil {
		return err
	}
	l.reserved = false
	return f()
}

// reserve takes room for withReserve; where there is none, the log does without.
func (l *Log) reserve() {
	if l.reserved || l.o.ReserveBytes < 0 {
		return
	}
	f, err := l.createNew(reserveName)
	if err != nil {
		return
	}
	_, err = f.WriteAt(make([]byte, l.o.ReserveBytes), 0)
	if closing := f.Close(); err == nil {
		err = closing
	}
	if err != nil {
		_ = l.o.FS.Remove(l.path(reserveName))
		return
	}
	l.reserved = true
}
