package sidecar

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/framing"
)

// drainListener goes on accepting for some time after drain is called.
type drainListener struct {
	*net.TCPListener
	quietTime   time.Duration
	drainRounds int           // of looking for connections left waiting; 0: not yet
	accepted    bool          // one in this round
	improper    *atomic.Int64 // counts connections ended for their framing
}

// maxDrainRounds bounds how long connections that keep coming hold the end up.
const maxDrainRounds = 8

// drain has Accept go on for some time, and end once no connection is left waiting.
func (l *drainListener) drain(atLeast time.Duration) error {
	return l.SetDeadline(time.Now().Add(atLeast))
}

// stopNow has Accept end at once.
func (l *drainListener) stopNow() error {
	l.drainRounds = maxDrainRounds
	return l.SetDeadline(time.Now())
}

// interrupt ends a wait in the kernel for a connection, so that the listener meets its deadline.
//
// Whether calls at a socket wait depends on a flag that all who inherited it share, not on each one's descriptor. A platform that
// starts the next process may make it wait meanwhile (as os/exec does with ExtraFiles), and a process that accepts just then
// waits where no deadline reaches it: it would stay until the next client came, and take it. A signal has the system begin the
// call anew.
func (l *drainListener) interrupt() {
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
	threads, _ := os.ReadDir("/proc/self/task") // none: as if nobody waited
	for _, t := range threads {
		if id, err := strconv.Atoi(t.Name()); err == nil {
			_ = unix.Tgkill(os.Getpid(), id, unix.SIGURG) // which Go's runtime uses itself, and programs may send for nothing
		}
	}
}

// Accept implements net.Listener. A deadline can pass with connections waiting, and closing the listener resets them, so the end
// comes only after a round in which none was found.
func (l *drainListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err == nil {
			l.accepted = true
			return framing.NewClientConn(c, maxHeadBytes, l.improper), nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if l.drainRounds > 0 && !l.accepted || l.drainRounds == maxDrainRounds {
			return nil, net.ErrClosed
		}
		l.drainRounds, l.accepted = l.drainRounds+1, false
		if err := l.SetDeadline(time.Now().Add(l.quietTime)); err != nil {
			return nil, err
		}
	}
}
