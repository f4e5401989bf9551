package proxy

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// dialTCP opens a TCP connection within a time, which is over 0.
func dialTCP(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	if within <= 0 {
		return nil, errDeadlinePassed
	}
	d := net.Dialer{Timeout: within, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUnackedTimeout(raw)
	}}
	return d.DialContext(ctx, "tcp4", address)
}

// setUnackedTimeout has the system break a connection whose peer's machine acknowledges nothing. A system that cannot is not at
// fault: every wait here is bounded besides.
func setUnackedTimeout(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// idleCondition is what a look at an idle connection finds.
type idleCondition int

const (
	idleSound   idleCondition = iota // nothing has come
	idleSurplus                      // bytes that nobody asked for
	idleClosed                       // closed or broken
)

// inspectIdle looks whether an idle connection has ended, or bytes have come on it. It does not wait.
func inspectIdle(c *net.TCPConn) idleCondition {
	if c == nil {
		return idleSound
	}
	found := idleClosed
	raw, err := c.SyscallConn()
	if err != nil {
		return idleClosed
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		switch n, err := unix.Read(int(fd), one[:]); {
		case n > 0:
			found = idleSurplus
		case err == unix.EAGAIN || err == unix.EINTR:
			found = idleSound
		}
		return true
	})
	if err != nil {
		return idleClosed
	}
	return found
}
