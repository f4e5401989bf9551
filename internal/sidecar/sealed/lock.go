package sealed

import (
	"fmt"
	"os"
	"syscall"
)

// WithLock does something that only one process at a time may do to the file of a path. Where another is at it, it waits, or
// fails with syscall.EWOULDBLOCK. The lock is a file beside it, which stays; the kernel lets go of it with the process.
func WithLock(path string, wait bool, do func() error) error {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close() // which gives the lock up
	how := syscall.LOCK_EX
	if !wait {
		how |= syscall.LOCK_NB
	}
	if err := syscall.Flock(int(lock.Fd()), how); err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	return do()
}
