package proxy

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/defaults"
)

const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	maxRequestHeadBytes  = 64 << 10 // how much of a request's head net/http reads
	reservedFDs          = 200      // file descriptors that are not used for connections
	clientFDPercent      = 60       // percentage of the remaining ones for clients' connections; the rest is for servers
	minClientConns       = 16
)

// discardLog drops what net/http logs about single connections, which the counters cover.
var discardLog = stdlog.New(io.Discard, "", 0)

// clientListener owns the clients' side of a proxy: the connections and the HTTP servers that read requests from them.
type clientListener struct {
	proxy        *Proxy
	maxConns     int // maximum number of simultaneous connections
	conns        *connTracker
	draining     atomic.Bool
	drainExpired chan struct{} // closed when Drain stops waiting
	serveDone    chan struct{} // closed when Serve has ended
	serving      sync.WaitGroup

	mu          sync.Mutex
	listener    *net.TCPListener // nil: Serve has not begun
	limits      config.Limits
	current     *serverGeneration   // serves new connections; nil: created for the next connection
	generations []*serverGeneration // every generation, including current
	stopped     bool
}

// serverGeneration is an HTTP server with the limits that were in force when it was started. Its connections keep these limits,
// because the limits of an http.Server must not change while it serves.
type serverGeneration struct {
	server  *http.Server
	handoff *handoffListener
}

func newClientListener(p *Proxy) *clientListener {
	return &clientListener{
		proxy:        p,
		maxConns:     max((p.options.FDLimit-reservedFDs)*clientFDPercent/100, minClientConns),
		conns:        newConnTracker(),
		drainExpired: make(chan struct{}),
		serveDone:    make(chan struct{}),
		limits:       config.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout},
	}
}

// setLimits sets the limits for new connections.
func (l *clientListener) setLimits(limits config.Limits) {
	limits.HeaderTimeout = defaults.IfNotPositive(limits.HeaderTimeout, defaultHeaderTimeout)
	limits.IdleTimeout = defaults.IfNotPositive(limits.IdleTimeout, defaultIdleTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	timeoutsChanged := limits.HeaderTimeout != l.limits.HeaderTimeout || limits.IdleTimeout != l.limits.IdleTimeout
	if l.current != nil && timeoutsChanged {
		l.current.handoff.shut()
		l.current = nil
	}
	l.limits = limits
}

// setListener records the listener that Serve accepts from.
func (l *clientListener) setListener(listener *net.TCPListener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
}

// serveConn hands a connection to an HTTP server with the current limits.
func (l *clientListener) serveConn(conn net.Conn) {
	generation := l.track(conn)
	if generation == nil {
		_ = conn.Close()
		return
	}
	if !generation.handoff.offer(conn) {
		l.conns.remove(conn)
		_ = conn.Close()
	}
}

// track starts tracking a connection and returns the generation that serves it, or nil after stop was called.
func (l *clientListener) track(conn net.Conn) *serverGeneration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil
	}
	if l.current == nil {
		l.startGeneration()
	}
	l.conns.add(conn) // under the lock, so that shutdown finds the connection and closes it
	return l.current
}

// startGeneration starts an HTTP server with the current limits. The caller holds the lock; shutdown ends the server.
func (l *clientListener) startGeneration() {
	generation := &serverGeneration{
		handoff: newHandoffListener(l.listener.Addr()),
		server: &http.Server{
			Handler:                      l.proxy,
			ReadHeaderTimeout:            l.limits.HeaderTimeout,
			IdleTimeout:                  l.limits.IdleTimeout,
			MaxHeaderBytes:               maxRequestHeadBytes,
			DisableGeneralOptionsHandler: true,
			ConnState:                    l.conns.observe,
			ErrorLog:                     discardLog,
			ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
				return context.WithValue(ctx, clientConnKey{}, conn)
			},
		},
	}
	l.current = generation
	l.generations = append(l.generations, generation)
	l.serving.Go(func() { _ = generation.server.Serve(generation.handoff) })
}
