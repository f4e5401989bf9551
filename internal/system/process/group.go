package process

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the system's own HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	shutdownTimeout   = 300 * time.Millisecond // for calls in flight when the server shuts down
)

// Group owns the goroutines of a process: the first failure cancels all, and Wait returns once all have ended. Use NewGroup to create one.
type Group struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	err  error
	stop context.CancelFunc
}

// NewGroup returns a group and its context, which is canceled with parent or when a goroutine of the group fails.
func NewGroup(parent context.Context) (*Group, context.Context) {
	ctx, cancel := context.WithCancel(parent)
	return &Group{stop: cancel}, ctx
}

// Go runs run in a goroutine of the group. An error cancels the group's context.
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

// ServeHTTP serves handler at listener until ctx is done. Calls in flight then have shutdownTimeout to complete.
// ServeHTTP does not block; an error of the listener, marked ErrListen, cancels the group.
func (g *Group) ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler) {
	server := newServer(ctx, handler)
	g.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Mark(errors.Wrapf(err, "the HTTP server at %s stopped accepting connections", listener.Addr()), ErrListen)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
		return server.Close()
	})
}

func newServer(ctx context.Context, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

// Wait returns when all goroutines of the group have ended, with the first error.
func (g *Group) Wait() error {
	g.wait.Wait()
	g.stop()
	return g.err
}
