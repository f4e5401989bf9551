package proxy

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout is how long data may wait for an acknowledgement of the peer's machine before the system breaks the connection.
const unackedTimeout = 10 * time.Second

// dialTCP opens a TCP connection within a timeout. It fails with errDeadlinePassed if that is not above 0.
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

// setUnackedTimeout has the system break a connection whose peer's machine acknowledges nothing (TCP_USER_TIMEOUT, RFC 5482). A
// system that has no such option is not at fault, as every wait of the proxy is bounded besides.
func setUnackedTimeout(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// idleCondition is what an inspection of an idle connection finds.
type idleCondition int

const (
	idleSound   idleCondition = iota // nothing has come
	idleSurplus                      // bytes that no request asked for
	idleClosed                       // by the server, or broken
)

// inspectIdle looks whether an idle connection has ended or bytes have come on it. It does not wait.
func inspectIdle(conn *net.TCPConn) idleCondition {
	if conn == nil {
		return idleSound
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
			condition = idleSound
		}
		return true
	})
	if err != nil {
		return idleClosed
	}
	return condition
}
