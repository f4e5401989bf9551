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
	maxRequestHeadBytes  = 64 << 10 // that net/http reads of a request's head
	reservedFDs          = 200      // file descriptors that are not for connections
	clientFDPercent      = 60       // of the others that are for clients' connections; the rest is for servers
	minClientConns       = 16
)

// discardLog drops what net/http logs about single connections; the counters tell of them.
var discardLog = stdlog.New(io.Discard, "", 0)

// clientListener owns the clients' side of a proxy: the connections and the HTTP servers that read requests from them.
type clientListener struct {
	proxy        *Proxy
	maxConns     int // at once
	conns        *connTracker
	draining     atomic.Bool
	drainExpired chan struct{} // closed when Drain waits no longer
	serveDone    chan struct{} // closed when Serve has ended
	serving      sync.WaitGroup

	mu          sync.Mutex
	listener    *net.TCPListener // nil: Serve has not begun
	limits      config.Limits
	current     *serverGeneration   // takes new connections; nil: made with the next one
	generations []*serverGeneration // all of them
	stopped     bool
}

// serverGeneration is an HTTP server with the limits of its time. Its connections keep them, as those of a http.Server must
// not change while it serves.
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

// setLimits has new connections keep to other limits.
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

// track begins to track a connection and returns the generation that serves it; nil after the end.
func (l *clientListener) track(conn net.Conn) *serverGeneration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil
	}
	if l.current == nil {
		l.startGeneration()
	}
	l.conns.add(conn) // before shutdown can look for connections to close
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
