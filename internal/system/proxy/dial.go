package proxy

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout is how long sent data may remain unacknowledged by the peer's host before the kernel closes the connection.
const unackedTimeout = 10 * time.Second

// dialTCP opens a TCP connection within a timeout. It fails with errDeadlinePassed if the timeout is not positive.
func dialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		return nil, errDeadlinePassed
	}
	dialer := net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control:   func(_, _ string, raw syscall.RawConn) error { return setUnackedTimeout(raw) },
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

// setUnackedTimeout makes the kernel close a connection whose peer's host does not acknowledge data (TCP_USER_TIMEOUT, RFC 5482).
// A failure to set the option is ignored, because a system may lack it and every wait of the proxy is bounded anyway.
func setUnackedTimeout(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// idleCondition is the result of inspecting an idle connection.
type idleCondition int

const (
	idleUsable  idleCondition = iota // open, without unread bytes
	idleSurplus                      // has received bytes that no request asked for
	idleClosed                       // closed by the server, or broken
)

// inspectIdle checks, without blocking, whether an idle connection has ended or has received bytes.
func inspectIdle(conn *net.TCPConn) idleCondition {
	if conn == nil {
		return idleUsable
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return idleClosed
	}
	condition := idleClosed
	err = raw.Read(func(fd uintptr) bool {
		var first [1]byte
		count, err := unix.Read(int(fd), first[:])
		switch {
		case count > 0:
			condition = idleSurplus
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
			condition = idleUsable
		}
		return true
	})
	if err != nil {
		return idleClosed
	}
	return condition
}
