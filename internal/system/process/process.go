// Package process is what the system's programs share around their parts: logs, signals, HTTP servers of the system's own
// surfaces, and a group of what runs until the process ends.
package process

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	unacknowledgedTimeout = 5 * time.Second // bytes that a peer has not acknowledged for so long end their connection
	readHeaderTimeout     = 5 * time.Second // a caller may take for a head
	idleTimeout           = time.Minute     // a caller's connection may idle
	maxHeaderBytes        = 16 << 10
)

// ErrListen marks an address that cannot be listened at.
var ErrListen = errors.New("listen")

// newLogger writes to standard error, one short line an entry, in logfmt.
func newLogger(level string) (log.Interface, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("log level %q: give debug, info, warn or error", level)
	}
	return &log.Logger{Handler: logfmt.New(os.Stderr), Level: parsed}, nil
}

// notifySignals returns a context that ends with SIGTERM or an interrupt, and a channel that tells of SIGHUPs. Call stop at last.
func notifySignals(parent context.Context) (ctx context.Context, reload <-chan os.Signal, stop func()) {
	ctx, cancel := signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return ctx, hangups, func() {
		signal.Stop(hangups)
		cancel()
	}
}

// Listen opens a TCP listener whose connections end when their peer vanishes.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: 15 * time.Second, Control: func(_, _ string, connection syscall.RawConn) error {
		var inner error
		err := connection.Control(func(fd uintptr) {
			inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
		})
		return errors.CombineErrors(err, inner)
	}}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "cannot listen at %s: check that the address is this machine's and free", address), ErrListen)
	}
	return listener, nil
}

// Group runs what a process is made of and waits for its end. The zero Group is ready.
type Group struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	err  error
	stop context.CancelFunc
}

// NewGroup returns a group and a context that ends with parent, or when one of the group fails.
func NewGroup(parent context.Context) (*Group, context.Context) {
	ctx, cancel := context.WithCancel(parent)
	return &Group{stop: cancel}, ctx
}

// Go runs f; its error ends the group's context.
func (g *Group) Go(run func() error) {
	g.wait.Go(func() {
		if err := run(); err != nil {
			g.mu.Lock()
			if g.err == nil {
				g.err = err
			}
			g.mu.Unlock()
			g.stop()
		}
	})
}

// HTTP serves h at l until ctx is done, with h's ConnContext if it has one; calls that are under way then have a moment to end.
func (g *Group) HTTP(ctx context.Context, listener net.Listener, handler http.Handler) {
	const moment = 300 * time.Millisecond
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(io.Discard, "", 0), BaseContext: func(net.Listener) context.Context { return ctx }}
	if c, ok := handler.(interface {
		ConnContext(context.Context, net.Conn) context.Context
	}); ok {
		server.ConnContext = c.ConnContext
	}
	g.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Mark(errors.Wrapf(err, "no more calls are taken at %s", listener.Addr()), ErrListen)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), moment)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
		return server.Close()
	})
}

// Wait ends when all of the group has ended, and tells the first failure.
func (g *Group) Wait() error {
	g.wait.Wait()
	g.stop()
	return g.err
}
