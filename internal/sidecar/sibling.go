package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"
)

// siblingLock detects whether another process of this sidecar runs. Each process locks one byte of a
// file, at the offset of its pid. The kernel releases the lock when the process ends.
type siblingLock struct{ file *os.File }

// newSiblingLock takes this process's lock. path is that of the handover file, "" if there is no shared directory.
func newSiblingLock(path string) (*siblingLock, error) {
	if path == "" {
		return nil, errors.New("TMPDIR is not set")
	}
	file, err := os.OpenFile(path+".alive", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	own := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart, Start: int64(os.Getpid()), Len: 1}
	if err := syscall.FcntlFlock(file.Fd(), syscall.F_SETLK, &own); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("lock: %w", err)
	}
	return &siblingLock{file}, nil
}

// hasSibling reports whether another process holds a lock.
func (b *siblingLock) hasSibling() (bool, error) {
	lock := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart}
	if err := syscall.FcntlFlock(b.file.Fd(), syscall.F_GETLK, &lock); err != nil {
		return false, fmt.Errorf("lock: %w", err)
	}
	return lock.Type != syscall.F_UNLCK, nil
}

// follow calls changed each time that another process has started or ended, until ctx is done.
func (b *siblingLock) follow(ctx context.Context, changed func(beside bool)) {
	tick := time.NewTicker(followInterval)
	defer tick.Stop()
	for was := false; ; {
		// An error changes nothing: the limits stay as they are.
		if is, err := b.hasSibling(); err == nil && is != was {
			was = is
			changed(is)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *siblingLock) close() { _ = b.file.Close() }
