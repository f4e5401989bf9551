package proxy

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	dialNear     = 250 * time.Millisecond
	dialFar      = 600 * time.Millisecond
	leastIdle    = 250 * time.Millisecond // and at least so long
	leastConns   = 4                      // idle connections to a server, whatever the number of proxies
	sweepEvery   = 2 * time.Second        // how often connections that idled too long are looked for
	mostHead     = 64<<10 + 8192          // bytes of a head that are looked at, of requests and answers
	unackedFor   = 10 * time.Second       // what a peer's machine does not acknowledge for so long breaks the connection
	readerBuffer = 4 << 10
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBuffer) }}

// upstream holds the connections to the servers, a pool for each incarnation.
type upstream struct {
	start    time.Time // moments are counted from it
	open     func(ctx context.Context, address string, within time.Duration) (net.Conn, error)
	near     time.Duration // a connection within the region comes up within it
	far      time.Duration // to another region
	region   string
	regions  map[string]string // zone to region
	counters *Counters
	without  removed

	mu    sync.Mutex
	pools map[string]*pool         // by the server's id
	idle  map[string]time.Duration // by service: how long servers keep idle connections, halved
	most  map[string]int           // by service: idle connections to a server
	sweep *time.Timer              // nil: no connection idles
}

// pool is the connections to one incarnation of a server.
type pool struct {
	id, service, address string
	far                  bool
	gone                 bool          // no longer listed
	idle                 []*serverConn // the most recently used last
	heard                atomic.Int64  // when bytes last came from it, in nanoseconds after start
}

// serverConn is a connection to a server. One exchange has it at a time.
type serverConn struct {
	*framing.ServerConn
	tcp   *net.TCPConn // nil: no socket
	fresh bool         // no answer has come on it
	id    string       // of the request that was answered last on it
	since time.Duration
}

func newUpstream(s pick.Settings, c *Counters) *upstream {
	return &upstream{start: time.Now(), open: open, near: dialNear, far: dialFar, region: s.Region, regions: s.Regions, counters: c, pools: map[string]*pool{},
		idle: map[string]time.Duration{}, most: map[string]int{}}
}

func (u *upstream) now() time.Duration { return time.Since(u.start) }

// update takes in which servers there are. Danger: idle connections to a server that is gone swallow the next requests.
func (u *upstream) update(w pick.ClusterState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[string]bool, len(w.Servers))
	for _, s := range w.Servers {
		listed[s.ID] = true
		if p := u.pools[s.ID]; p != nil && p.address != s.Address {
			u.drop(p)
		}
	}
	for id, p := range u.pools {
		if !listed[id] {
			u.drop(p)
		}
	}
	if w.Config == nil {
		return
	}
	for name := range u.idle {
		if w.Config.Services[name] == nil {
			delete(u.idle, name)
		}
	}
	clear(u.most)
	for name, s := range w.Config.Services {
		u.most[name] = max(s.MaxConns/max(len(w.Peers), 1), leastConns)
	}
}

// drop forgets a pool. Connections that are in use end with their exchange.
func (u *upstream) drop(p *pool) {
	p.gone = true
	closeAll(&p.idle)
	if u.pools[p.id] == p {
		delete(u.pools, p.id)
	}
}

func closeAll(conns *[]*serverConn) {
	for _, c := range *conns {
		_ = c.Close()
	}
	*conns = nil
}

// pool is that of a server.
func (u *upstream) pool(s pick.Server) *pool {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[s.ID]
	if p == nil {
		region := s.Region
		if region == "" {
			region = u.regions[s.Zone]
		}
		p = &pool{id: s.ID, service: s.Service, address: s.Address, far: region != u.region}
		u.pools[s.ID] = p
	}
	return p
}

// idleFor is for how long connections to servers of a service may idle. The caller holds the lock.
func (u *upstream) idleFor(service string) time.Duration {
	if d := u.idle[service]; d > 0 {
		return d
	}
	return pick.DefaultIdleTimeout
}

// keeps takes in for how long servers of a service keep idle connections.
func (u *upstream) keeps(service string, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idle[service] = max(min(pick.IdleTimeout(d), u.idleFor(service)), leastIdle)
}

// take is an idle connection that looks sound, nil if there is none, and how long one had idled that was found closed by
// its server. Danger: a surplus answer to a request of the same id could not be told from the answer, so a connection that
// answered one last is not used.
func (u *upstream) take(p *pool, id string) (*serverConn, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, most := u.now(), u.idleFor(p.service)
	var stale time.Duration
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last], p.idle = nil, p.idle[:last]
		age := now - c.since
		if age > most { // and so are all the others
			_ = c.Close()
			closeAll(&p.idle)
			break
		}
		if c.id == id {
			_ = c.Close()
			continue
		}
		if u.without.idleLook {
			return c, stale
		}
		switch quiet(c.tcp) {
		case sound:
			return c, stale
		case surplus:
			u.counters.Surplus.Add(1)
		default:
			u.counters.Stale.Add(1)
			stale = age
		}
		_ = c.Close()
	}
	return nil, stale
}

// put gives a connection back on which the answer to a request with that id has come whole.
func (u *upstream) put(p *pool, c *serverConn, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := u.most[p.service]
	if p.gone || len(p.idle) >= max(most, leastConns) {
		_ = c.Close()
		return
	}
	c.fresh, c.since, c.id = false, u.now(), id
	p.idle = append(p.idle, c)
	if u.sweep == nil {
		u.sweep = time.AfterFunc(sweepEvery, u.sweepIdle)
	}
}

// sweepIdle closes connections that idled too long, and comes again while any idles.
func (u *upstream) sweepIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	left, now := 0, u.now()
	for _, p := range u.pools {
		old, most := 0, u.idleFor(p.service)
		for old < len(p.idle) && now-p.idle[old].since > most {
			_ = p.idle[old].Close()
			old++
		}
		p.idle = append(p.idle[:0], p.idle[old:]...)
		left += len(p.idle)
	}
	if u.sweep = nil; left > 0 {
		u.sweep = time.AfterFunc(sweepEvery, u.sweepIdle)
	}
}

// distrust closes the idle connections of a server that has not been heard since a moment. Danger: when a machine
// vanishes, its idle connections stay open and swallow requests that may then never be repeated. A new connection fails
// before anything is sent.
func (u *upstream) distrust(p *pool, since time.Duration) {
	if time.Duration(p.heard.Load()) >= since {
		return
	}
	u.abandon(p)
}

// abandon closes the idle connections of a server.
func (u *upstream) abandon(p *pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	closeAll(&p.idle)
}

// close ends all idle connections, and any that come back.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools {
		u.drop(p)
	}
	if u.sweep != nil {
		u.sweep.Stop()
		u.sweep = nil
	}
}

// dial opens a connection.
func (u *upstream) dial(ctx context.Context, p *pool, deadline time.Time) (*serverConn, error) {
	most := u.near
	if p.far {
		most = u.far
	}
	u.counters.Dials.Add(1)
	c, err := u.open(ctx, p.address, min(most, time.Until(deadline)))
	if err != nil {
		u.counters.DialFailures.Add(1)
		return nil, err
	}
	tcp, _ := c.(*net.TCPConn)
	return &serverConn{ServerConn: framing.NewServerConn(c, mostHead), tcp: tcp, fresh: true}, nil
}

// open opens a TCP connection within a time, which is over 0.
func open(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	if within <= 0 {
		return nil, errTimeUp
	}
	d := net.Dialer{Timeout: within, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return boundUnacked(raw)
	}}
	return d.DialContext(ctx, "tcp4", address)
}

// boundUnacked has the system break a connection whose peer's machine acknowledges nothing. A system that cannot is not at
// fault: every wait here is bounded besides.
func boundUnacked(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor.Milliseconds()))
	})
}

// quietness is what a look at an idle connection finds.
type quietness int

const (
	sound   quietness = iota // nothing has come
	surplus                  // bytes that nobody asked for
	ended                    // closed or broken
)

// quiet looks whether an idle connection has ended, or bytes have come on it. It does not wait.
func quiet(c *net.TCPConn) quietness {
	if c == nil {
		return sound
	}
	found := ended
	raw, err := c.SyscallConn()
	if err != nil {
		return ended
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		switch n, err := unix.Read(int(fd), one[:]); {
		case n > 0:
			found = surplus
		case err == unix.EAGAIN || err == unix.EINTR:
			found = sound
		}
		return true
	})
	if err != nil {
		return ended
	}
	return found
}
