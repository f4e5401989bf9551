package process

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	keepAliveInterval = 15 * time.Second
	// unacknowledgedTimeout is how long sent bytes may remain unacknowledged before the connection is closed.
	unacknowledgedTimeout = 5 * time.Second
)

// ErrListen marks errors of listening on an address. Test with errors.Is of github.com/cockroachdb/errors.
var ErrListen = errors.New("listen")

// Listen opens an IPv4 TCP listener whose connections are closed when their peer vanishes. Errors are marked ErrListen.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveInterval, Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "cannot listen on %s: check that the address belongs to this machine and is free", address), ErrListen)
	}
	return listener, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482), which accepted connections inherit.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var setting error
	err := connection.Control(func(fd uintptr) {
		setting = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, setting)
}
