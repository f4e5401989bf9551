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

// drainListener continues to accept connections for some time after drain is called.
type drainListener struct {
	*net.TCPListener
	quietTime   time.Duration
	drainRounds int           // rounds of looking for connections in the backlog; 0: not draining yet
	accepted    bool          // a connection was accepted in this round
	improper    *atomic.Int64 // counts connections ended for bad framing
}

// maxDrainRounds bounds how long connections that keep arriving delay the end.
const maxDrainRounds = 8

// drain has Accept continue for at least the given time, and end once the backlog is empty.
func (l *drainListener) drain(atLeast time.Duration) error {
	return l.SetDeadline(time.Now().Add(atLeast))
}

// stopNow has Accept end immediately.
func (l *drainListener) stopNow() error {
	l.drainRounds = maxDrainRounds
	return l.SetDeadline(time.Now())
}

// interrupt wakes a thread that is blocked in accept(2), so that the listener notices its deadline.
//
// Whether calls on a socket block depends on a flag that is shared by all processes that inherited the socket, not on
// the descriptor. A platform that starts the next process may make the socket blocking meanwhile (as os/exec does
// with ExtraFiles). A process that calls accept just then blocks where no deadline reaches it: it would stay until
// the next client connected, and accept that connection. A signal makes the kernel restart the call.
func (l *drainListener) interrupt() {
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
	threads, _ := os.ReadDir("/proc/self/task") // on an error no thread is signalled, as if none were blocked
	for _, t := range threads {
		if id, err := strconv.Atoi(t.Name()); err == nil {
			_ = unix.Tgkill(os.Getpid(), id, unix.SIGURG) // Go's runtime uses SIGURG itself, and programs must tolerate spurious ones
		}
	}
}

// Accept implements net.Listener. A deadline can pass while connections are in the backlog, and
// closing the listener would reset them, so Accept ends only after a round in which there was none.
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
