package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Near is the address by which the i-th process at the near ends, from 0, reaches any far end: each has its own, so a far
// end knows from the address that was called who calls. There is room for 65,000.
func Near(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i%250 + 1)}) }

// NearIndex undoes Near; it is below 0 for other addresses.
func NearIndex(a netip.Addr) int {
	b := a.Unmap().As4()
	if b[0] != 127 || b[1] != 1 || b[3] == 0 || b[3] > 250 {
		return -1
	}
	return int(b[2])*250 + int(b[3]) - 1
}

// PortReservation is an address that nobody else is given while it is kept, though nobody may listen there: a call to a process that
// is gone is refused, and never reaches one that the kernel gave the same port.
type PortReservation struct {
	fd   int
	Addr netip.AddrPort
}

// Reserve takes a free port at an address.
func Reserve(a netip.Addr) (*PortReservation, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("link: reserve: %w", err)
	}
	// With this option, which Go sets on listeners too, a socket that does not listen is no obstacle to one that does
	// (socket(7)); when the kernel looks for a free port it passes over both.
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: a.As4()})
	}
	var at unix.Sockaddr
	if err == nil {
		at, err = unix.Getsockname(fd)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("link: reserve: %w", err), unix.Close(fd))
	}
	return &PortReservation{fd, netip.AddrPortFrom(a, uint16(at.(*unix.SockaddrInet4).Port))}, nil
}

// Close gives the place up.
func (p *PortReservation) Close() error { return unix.Close(p.fd) }

// Anywhere is all loopback addresses, as far as a Listener goes.
var Anywhere = netip.IPv4Unspecified()

// Listener accepts at one port of every loopback address, and of no other interface. One goroutine accepts.
type Listener struct {
	*net.TCPListener
	// BySource tells who calls by the address that he calls from, not by the one that he calls: for those who say where they
	// call from.
	BySource bool
	raw      syscall.RawConn
	mu       sync.Mutex
	open     chan struct{} // closed while calls come up
	cut      bool
}

// onLoopback keeps a socket that is bound to every address to those of loopback.
var onLoopback = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) { inner = unix.SetsockoptString(int(fd), unix.SOL_SOCKET, unix.SO_BINDTODEVICE, "lo") })
	if err == nil {
		err = inner
	}
	return err
}}

// ListenPackets takes packets at a port of every loopback address, and of no other interface.
func ListenPackets(port int) (*net.UDPConn, error) {
	c, err := onLoopback.ListenPacket(context.Background(), "udp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return c.(*net.UDPConn), nil
}

// Listen listens at a port; 0: any that is free.
func Listen(port int) (*Listener, error) {
	l, err := onLoopback.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	tcp := l.(*net.TCPListener)
	raw, err := tcp.SyscallConn()
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("link: %w", err)
	}
	always := make(chan struct{})
	close(always)
	return &Listener{TCPListener: tcp, raw: raw, open: always}, nil
}

// Port is where it listens.
func (l *Listener) Port() int { return l.Addr().(*net.TCPAddr).Port }

// Near is the index of the process that called on an accepted connection; below 0: none of the experiment's.
func (l *Listener) Near(c net.Conn) int {
	if l.BySource {
		return NearIndex(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
	}
	return NearIndex(c.LocalAddr().(*net.TCPAddr).AddrPort().Addr())
}

// Accept returns the next call by a process of the experiment, and its index. While calls are cut off it waits.
func (l *Listener) Accept(stop <-chan struct{}) (*net.TCPConn, int, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, 0, err
		}
		near := l.Near(c)
		l.mu.Lock()
		open := l.open
		l.mu.Unlock()
		select {
		case <-open:
		case <-stop:
			c.Close()
			return nil, 0, net.ErrClosed
		}
		if near >= 0 {
			return c, near, nil
		}
		c.Close() // a filler, or nobody of the experiment
	}
}

// SetPartitioned has calls never come up, as by a network that carries nothing, or ends that. Connections that are up are not touched;
// Link.Set holds those. The kernel drops the first packet of a call while the queue of those that nobody accepts is full
// (listen(2)), so the queue is made as short as can be and filled with calls of our own. A call that comes up in the
// moment before stays silent until the cut ends.
func (l *Listener) SetPartitioned(cut bool) error {
	l.mu.Lock()
	if l.cut == cut {
		l.mu.Unlock()
		return nil
	}
	if l.cut = cut; cut {
		l.open = make(chan struct{})
	}
	open := l.open
	l.mu.Unlock()
	if !cut {
		err := l.backlog(unix.SOMAXCONN)
		close(open)
		return err
	}
	if err := l.backlog(0); err != nil {
		return err
	}
	own := net.JoinHostPort("127.0.0.1", strconv.Itoa(l.Port()))
	full := 0 // fillers in a row that did not come up
	for range mostFillers {
		c, err := net.DialTimeout("tcp4", own, fillTimeout)
		if err != nil {
			// Danger: whoever accepts may only now take one of the fillers out, and leave room for a call.
			if full++; full == fullAfter {
				return nil
			}
			continue
		}
		full = 0
		defer c.Close() // it stays in the queue all the same
	}
	return fmt.Errorf("link: calls to port %d still come up after %d", l.Port(), mostFillers)
}

// A call on loopback comes up within the system call that makes it, or not at all.
const (
	mostFillers = 8
	fullAfter   = 2
	fillTimeout = 5 * time.Millisecond
)

func (l *Listener) backlog(n int) error {
	var inner error
	if err := l.raw.Control(func(fd uintptr) { inner = unix.Listen(int(fd), n) }); err != nil {
		return fmt.Errorf("link: backlog: %w", err)
	}
	if inner != nil {
		return fmt.Errorf("link: backlog: %w", inner)
	}
	return nil
}
