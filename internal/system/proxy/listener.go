package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/config"
)

const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	maxRequestHeadBytes  = 64 << 10              // bytes of a request's head that net/http reads
	reservedFDs          = 200                   // descriptors that are not for sockets
	minIdleBeforeClose   = 50 * time.Millisecond // a connection that idled so long is no client's that is about to send, mostly
	drainPollInterval    = 100 * time.Millisecond
	acceptBackoff        = 20 * time.Millisecond // after an accept that failed
)

// ErrListener is the kind of error of a listener that cannot be served.
var ErrListener = errors.New("give a TCP listener that is open")

// clientListener takes the clients' connections.
type clientListener struct {
	proxy    *Proxy
	draining atomic.Bool
	maxConns int // connections at once

	mu           sync.Mutex
	limits       config.Limits
	current      *serverGeneration // that takes new connections; nil: none yet
	generations  []*serverGeneration
	conns        map[net.Conn]*connState
	connsChanged chan struct{} // has room for one: a connection has ended or come
	stopped      bool
	drainExpired chan struct{}  // closed when a planned end waits no longer
	serveDone    chan struct{}  // closed when Serve has ended
	serving      sync.WaitGroup // generations
	listener     *net.TCPListener
}

// serverGeneration is a server with the limits of its time. Its connections keep them.
type serverGeneration struct {
	server  *http.Server
	handoff *handoffListener
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newClientListener(p *Proxy) *clientListener {
	return &clientListener{proxy: p, maxConns: max((p.options.FDLimit-reservedFDs)*6/10, 16), conns: map[net.Conn]*connState{},
		connsChanged: make(chan struct{}, 1), drainExpired: make(chan struct{}), serveDone: make(chan struct{}),
		limits: config.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}}
}

// setLimits has connections from now on keep to other limits.
func (f *clientListener) setLimits(limits config.Limits) {
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && (limits.HeaderTimeout != f.limits.HeaderTimeout || limits.IdleTimeout != f.limits.IdleTimeout) {
		f.current.handoff.shut()
		f.current = nil // made anew for the next connection
	}
	f.limits = limits
}

// handOff hands a connection to a server with the limits of now.
func (f *clientListener) handOff(c net.Conn) {
	f.mu.Lock()
	if f.stopped {
		f.mu.Unlock()
		_ = c.Close()
		return
	}
	generation := f.current
	if generation == nil {
		generation = &serverGeneration{handoff: newHandoffListener(f.listener.Addr())}
		generation.server = &http.Server{Handler: f.proxy, ReadHeaderTimeout: f.limits.HeaderTimeout, IdleTimeout: f.limits.IdleTimeout,
			MaxHeaderBytes: maxRequestHeadBytes, DisableGeneralOptionsHandler: true, ConnState: f.observeConnState, ErrorLog: discardLog,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, clientConnKey{}, c)
			}}
		f.current, f.generations = generation, append(f.generations, generation)
		f.serving.Go(func() { _ = generation.server.Serve(generation.handoff) })
	}
	f.conns[c] = &connState{http.StateNew, time.Now()}
	f.mu.Unlock()
	if !generation.handoff.offer(c) {
		f.removeConn(c)
		_ = c.Close()
	}
}

// observeConnState follows a connection's state.
func (f *clientListener) observeConnState(c net.Conn, s http.ConnState) {
	if s == http.StateClosed || s == http.StateHijacked {
		f.removeConn(c)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.conns[c]; at != nil {
		at.state, at.since = s, time.Now()
	}
}

func (f *clientListener) removeConn(c net.Conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	f.signalChange()
}

func (f *clientListener) signalChange() {
	select {
	case f.connsChanged <- struct{}{}:
	default:
	}
}

func (f *clientListener) connCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// closeIdleConns closes the connections that idle. Danger: a client that has just sent a request on one has to send it again, or
// loses it, so not one that idled for less than a moment, nor one with bytes on it.
func (f *clientListener) closeIdleConns(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, s := range f.conns {
		if s.state != http.StateIdle && s.state != http.StateNew || now.Sub(s.since) < min(minIdleBeforeClose, f.proxy.options.LossSlack/4) {
			continue
		}
		if g, ok := c.(*framing.ClientConn); ok && (g.MidRequest() || hasUnreadBytes(g.TCPConn)) {
			continue
		}
		_ = c.Close()
	}
}

// closeLongestIdle closes the connection that idles longest, if one does, and tells whether it does.
func (f *clientListener) closeLongestIdle(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found *framing.ClientConn
	var state *connState
	before := now.Add(-minIdleBeforeClose)
	for c, s := range f.conns {
		if g, ok := c.(*framing.ClientConn); ok && s.state == http.StateIdle && s.since.Before(before) && !g.MidRequest() {
			found, state, before = g, s, s.since
		}
	}
	if found == nil {
		return false
	}
	state.state = http.StateClosed // and not found again
	_ = found.Close()
	return true
}

// hasUnreadBytes tells whether bytes lie on a connection that nobody has read.
func hasUnreadBytes(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, _ = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n > 0
}
