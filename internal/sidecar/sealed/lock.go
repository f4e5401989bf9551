package sealed

import (
	"fmt"
	"os"
	"syscall"
)

// WithLock calls action while this process has the lock of a path, which one process at a time has. While another has it, WithLock waits, or without
// wait fails with syscall.EWOULDBLOCK. The lock is a file beside the path's, which stays; the kernel unlocks it when the process ends.
func WithLock(path string, wait bool, action func() error) error {
	file, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // unlocks it
	how := syscall.LOCK_EX
	if !wait {
		how |= syscall.LOCK_NB
	}
	if err := syscall.Flock(int(file.Fd()), how); err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	return action()
}
