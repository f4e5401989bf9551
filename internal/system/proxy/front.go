package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/config"
)

const (
	defaultHeaderTime = 3 * time.Second
	defaultIdle       = 15 * time.Second
	mostHeader        = 64 << 10              // bytes of a request's head that net/http reads
	reserved          = 200                   // descriptors that are not for sockets
	idleMoment        = 50 * time.Millisecond // a connection that idled so long is no client's that is about to send, mostly
	sweepDrain        = 100 * time.Millisecond
	acceptPause       = 20 * time.Millisecond // after an accept that failed
)

// ErrListener is the kind of error of a listener that cannot be served.
var ErrListener = errors.New("give a TCP listener that is open")

// front takes the clients' connections.
type front struct {
	p        *Proxy
	draining atomic.Bool
	most     int // connections at once

	mu       sync.Mutex
	limits   config.Limits
	now      *generation // that takes new connections; nil: none yet
	all      []*generation
	conns    map[net.Conn]*clientState
	changed  chan struct{} // has room for one: a connection has ended or come
	ended    bool
	enough   chan struct{}  // closed when a planned end waits no longer
	over     chan struct{}  // closed when Serve has ended
	servers  sync.WaitGroup // generations
	listener *net.TCPListener
}

// generation is a server with the limits of its time. Its connections keep them.
type generation struct {
	server *http.Server
	hand   *handoff
}

type clientState struct {
	state http.ConnState
	since time.Time
}

func newFront(p *Proxy) *front {
	return &front{p: p, most: max((p.opt.FDLimit-reserved)*6/10, 16), conns: map[net.Conn]*clientState{},
		changed: make(chan struct{}, 1), enough: make(chan struct{}), over: make(chan struct{}),
		limits: config.Limits{HeaderTimeout: defaultHeaderTime, IdleTimeout: defaultIdle}}
}

// limit has connections from now on keep to other limits.
func (f *front) limit(l config.Limits) {
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTime
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdle
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now != nil && (l.HeaderTimeout != f.limits.HeaderTimeout || l.IdleTimeout != f.limits.IdleTimeout) {
		f.now.hand.close()
		f.now = nil // made anew for the next connection
	}
	f.limits = l
}

// take hands a connection to a server with the limits of now.
func (f *front) take(c net.Conn) {
	f.mu.Lock()
	if f.ended {
		f.mu.Unlock()
		_ = c.Close()
		return
	}
	g := f.now
	if g == nil {
		g = &generation{hand: newHandoff(f.listener.Addr())}
		g.server = &http.Server{Handler: f.p, ReadHeaderTimeout: f.limits.HeaderTimeout, IdleTimeout: f.limits.IdleTimeout,
			MaxHeaderBytes: mostHeader, DisableGeneralOptionsHandler: true, ConnState: f.note, ErrorLog: quietLog,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, c)
			}}
		f.now, f.all = g, append(f.all, g)
		f.servers.Go(func() { _ = g.server.Serve(g.hand) })
	}
	f.conns[c] = &clientState{http.StateNew, time.Now()}
	f.mu.Unlock()
	if !g.hand.give(c) {
		f.forget(c)
		_ = c.Close()
	}
}

// note follows a connection's state.
func (f *front) note(c net.Conn, s http.ConnState) {
	if s == http.StateClosed || s == http.StateHijacked {
		f.forget(c)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.conns[c]; at != nil {
		at.state, at.since = s, time.Now()
	}
}

func (f *front) forget(c net.Conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	f.signal()
}

func (f *front) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *front) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// closeIdle closes the connections that idle. Danger: a client that has just sent a request on one has to send it again, or
// loses it, so not one that idled for less than a moment, nor one with bytes on it.
func (f *front) closeIdle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, s := range f.conns {
		if s.state != http.StateIdle && s.state != http.StateNew || now.Sub(s.since) < min(idleMoment, f.p.opt.LossSlack/4) {
			continue
		}
		if g, ok := c.(*framing.ClientConn); ok && (g.MidRequest() || waiting(g.TCPConn)) {
			continue
		}
		_ = c.Close()
	}
}

// closeOldest closes the connection that idles longest, if one does, and tells whether it does.
func (f *front) closeOldest(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found *framing.ClientConn
	var state *clientState
	before := now.Add(-idleMoment)
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

// waiting tells whether bytes lie on a connection that nobody has read.
func waiting(c *net.TCPConn) bool {
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

// stop ends all that still runs, and waits for it.
func (f *front) stop() {
	f.mu.Lock()
	f.ended = true
	all := f.all
	f.now = nil
	f.mu.Unlock()
	for _, g := range all {
		g.hand.close()
		_ = g.server.Close()
	}
	f.mu.Lock()
	for c := range f.conns { // handed over, and not yet known to its server
		_ = c.Close()
	}
	f.mu.Unlock()
	for f.count() > 0 { // a connection is forgotten when its last request has ended
		<-f.changed
	}
	f.servers.Wait()
	f.p.upstream.close()
}
