package link

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts connections at one port of every loopback address, and of no other interface. One goroutine may call Accept;
// SetPartitioned is safe for concurrent use.
type Listener struct {
	*net.TCPListener
	// BySource identifies a caller by its source address instead of the address that it called, for near ends that bind their
	// source address. It is set before the first Accept.
	BySource bool
	// OnError is called with an error of accepting that the listener outlives, such as a want of descriptors; nil: nobody is told. It is set before
	// the first Accept.
	OnError     func(error)
	raw         syscall.RawConn
	mu          sync.Mutex
	passing     chan struct{} // closed unless the listener is partitioned
	partitioned bool
}

// loopbackOnly restricts sockets that are bound to every address to the loopback interface.
var loopbackOnly = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) { inner = unix.SetsockoptString(int(fd), unix.SOL_SOCKET, unix.SO_BINDTODEVICE, "lo") })
	if err == nil {
		err = inner
	}
	return err
}}

// ListenPackets opens a UDP socket at a port of every loopback address, and of no other interface. The caller closes it.
func ListenPackets(port int) (*net.UDPConn, error) {
	conn, err := loopbackOnly.ListenPacket(context.Background(), "udp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return conn.(*net.UDPConn), nil
}

// Listen listens at a TCP port; 0: a free one. The caller closes the listener.
func Listen(port int) (*Listener, error) {
	listener, err := loopbackOnly.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	tcp := listener.(*net.TCPListener)
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = listener.Close() // the error that matters is that of the socket
		return nil, fmt.Errorf("link: %w", err)
	}
	always := make(chan struct{})
	close(always)
	return &Listener{TCPListener: tcp, raw: raw, passing: always}, nil
}

// Port is the port at which it listens.
func (l *Listener) Port() int { return l.Addr().(*net.TCPAddr).Port }

// Near is the index of the near end of an accepted connection; negative: it is none of the experiment's.
func (l *Listener) Near(c net.Conn) int {
	if l.BySource {
		return NearIndex(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
	}
	return NearIndex(c.LocalAddr().(*net.TCPAddr).AddrPort().Addr())
}

// Accept returns the next connection from a near end of the experiment, and the index of the near end. During a partition it waits
// until the partition ends, or fails with net.ErrClosed once stop is closed. Errors that the listener outlives are told to OnError and retried.
func (l *Listener) Accept(stop <-chan struct{}) (*net.TCPConn, int, error) {
	retry := Retry{Stop: stop, OnError: l.OnError}
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			if retry.After(err) {
				continue
			}
			return nil, 0, net.ErrClosed
		}
		retry.Reset()
		near := l.Near(conn)
		l.mu.Lock()
		passing := l.passing
		l.mu.Unlock()
		select {
		case <-passing:
		case <-stop:
			_ = conn.Close() // nothing was written to it
			return nil, 0, net.ErrClosed
		}
		if near >= 0 {
			return conn, near, nil
		}
		_ = conn.Close() // a filler, or nobody of the experiment
	}
}

// SetPartitioned starts or ends a partition in which no call to this listener is established, as by a network that carries nothing.
// Connections that are established are not touched; Link.Set stops those. The kernel drops the first packet of a call while the
// queue of calls that nobody accepts is full (listen(2)), so the queue is made as short as can be and filled with calls of the
// listener's own. A call that is established in the moment before stays without an answer until the partition ends.
func (l *Listener) SetPartitioned(partitioned bool) error {
	l.mu.Lock()
	if l.partitioned == partitioned {
		l.mu.Unlock()
		return nil
	}
	if l.partitioned = partitioned; partitioned {
		l.passing = make(chan struct{})
	}
	passing := l.passing
	l.mu.Unlock()
	if !partitioned {
		err := l.setBacklog(unix.SOMAXCONN)
		close(passing)
		return err
	}
	if err := l.setBacklog(0); err != nil {
		return err
	}
	return l.fillQueue()
}

// fillQueue calls the listener itself until its queue takes no call any more.
func (l *Listener) fillQueue() error {
	target := net.JoinHostPort("127.0.0.1", strconv.Itoa(l.Port()))
	dialer := net.Dialer{Timeout: fillTimeout}
	failures := 0 // fillers in a row that were not established
	for range maxFillers {
		filler, err := dialer.DialContext(context.Background(), "tcp4", target)
		if err != nil {
			// Danger: whoever accepts may only now take one of the fillers out, and leave room for a call.
			if failures++; failures == failuresWhenFull {
				return nil
			}
			continue
		}
		failures = 0
		defer func() { _ = filler.Close() }() // it stays in the queue all the same
	}
	return &QueueNotFullError{Port: l.Port(), Fillers: maxFillers}
}

// QueueNotFullError says that a partition could not be started: the kernel still establishes calls to the port after as many
// fillers. Accept hands out none of them until the partition ends.
type QueueNotFullError struct {
	Port    int
	Fillers int
}

func (e *QueueNotFullError) Error() string {
	return fmt.Sprintf("link: calls to port %d still come up after %d", e.Port, e.Fillers)
}

// A call on loopback is established within the system call that makes it, or not at all.
const (
	maxFillers       = 8
	failuresWhenFull = 2
	fillTimeout      = 5 * time.Millisecond
)

// setBacklog sets how many established calls the kernel queues for Accept.
func (l *Listener) setBacklog(n int) error {
	var inner error
	if err := l.raw.Control(func(fd uintptr) { inner = unix.Listen(int(fd), n) }); err != nil {
		return fmt.Errorf("link: backlog: %w", err)
	}
	if inner != nil {
		return fmt.Errorf("link: backlog: %w", inner)
	}
	return nil
}
