package proxy

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	sameRegionDialTimeout  = 250 * time.Millisecond
	crossRegionDialTimeout = 600 * time.Millisecond
	minIdleTimeout         = 250 * time.Millisecond // and at least so long
	minIdleConns           = 4                      // idle connections to a server, whatever the number of proxies
	sweepInterval          = 2 * time.Second        // how often connections that idled too long are looked for
	maxHeadBytes           = 64<<10 + 8192          // bytes of a head that are looked at, of requests and answers
	unackedTimeout         = 10 * time.Second       // what a peer's machine does not acknowledge for so long breaks the connection
	readerBufferBytes      = 4 << 10
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBufferBytes) }}

// upstreamPools holds the connections to the servers, a pool for each incarnation.
type upstreamPools struct {
	start              time.Time // moments are counted from it
	connect            func(ctx context.Context, address string, within time.Duration) (net.Conn, error)
	sameRegionTimeout  time.Duration // a connection within the region comes up within it
	crossRegionTimeout time.Duration // to another region
	region             string
	regionOfZone       map[string]string // zone to region
	counters           *Counters
	knobs              TestingKnobs

	mu           sync.Mutex
	pools        map[string]*serverPool   // by the server's id
	idleTimeouts map[string]time.Duration // by service: how long servers keep idle connections, halved
	maxIdleConns map[string]int           // by service: idle connections to a server
	sweepTimer   *time.Timer              // nil: no connection idles
}

// serverPool is the connections to one incarnation of a server.
type serverPool struct {
	id, service, address string
	crossRegion          bool
	removed              bool          // no longer listed
	idle                 []*serverConn // the most recently used last
	lastContact          atomic.Int64  // when bytes last came from it, in nanoseconds after start
}

// serverConn is a connection to a server. One exchange has it at a time.
type serverConn struct {
	*framing.ServerConn
	tcp           *net.TCPConn // nil: no socket
	fresh         bool         // no answer has come on it
	lastAttemptID string       // of the request that was answered last on it
	idleSince     time.Duration
}

func newUpstreamPools(s pick.Settings, c *Counters) *upstreamPools {
	return &upstreamPools{start: time.Now(), connect: dialTCP, sameRegionTimeout: sameRegionDialTimeout, crossRegionTimeout: crossRegionDialTimeout, region: s.Region, regionOfZone: s.Regions, counters: c, pools: map[string]*serverPool{},
		idleTimeouts: map[string]time.Duration{}, maxIdleConns: map[string]int{}}
}

func (u *upstreamPools) now() time.Duration { return time.Since(u.start) }

// applyUpdate takes in which servers there are. Danger: idle connections to a server that is gone swallow the next requests.
func (u *upstreamPools) applyUpdate(w pick.ClusterState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[string]bool, len(w.Servers))
	for _, s := range w.Servers {
		listed[s.ID] = true
		if p := u.pools[s.ID]; p != nil && p.address != s.Address {
			u.removePool(p)
		}
	}
	for id, p := range u.pools {
		if !listed[id] {
			u.removePool(p)
		}
	}
	if w.Config == nil {
		return
	}
	for name := range u.idleTimeouts {
		if w.Config.Services[name] == nil {
			delete(u.idleTimeouts, name)
		}
	}
	clear(u.maxIdleConns)
	for name, s := range w.Config.Services {
		u.maxIdleConns[name] = max(s.MaxConns/max(len(w.Peers), 1), minIdleConns)
	}
}

// removePool forgets a pool. Connections that are in use end with their exchange.
func (u *upstreamPools) removePool(p *serverPool) {
	p.removed = true
	closeConns(&p.idle)
	if u.pools[p.id] == p {
		delete(u.pools, p.id)
	}
}

func closeConns(conns *[]*serverConn) {
	for _, c := range *conns {
		_ = c.Close()
	}
	*conns = nil
}

// poolOf is that of a server.
func (u *upstreamPools) poolOf(s pick.Server) *serverPool {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[s.ID]
	if p == nil {
		region := s.Region
		if region == "" {
			region = u.regionOfZone[s.Zone]
		}
		p = &serverPool{id: s.ID, service: s.Service, address: s.Address, crossRegion: region != u.region}
		u.pools[s.ID] = p
	}
	return p
}

// idleTimeout is for how long connections to servers of a service may idle. The caller holds the lock.
func (u *upstreamPools) idleTimeout(service string) time.Duration {
	if d := u.idleTimeouts[service]; d > 0 {
		return d
	}
	return pick.DefaultIdleTimeout
}

// observeIdleTimeout takes in for how long servers of a service keep idle connections.
func (u *upstreamPools) observeIdleTimeout(service string, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idleTimeouts[service] = max(min(pick.IdleTimeout(d), u.idleTimeout(service)), minIdleTimeout)
}

// takeIdle is an idle connection that looks sound, nil if there is none, and how long one had idled that was found closed by
// its server. Danger: a surplus answer to a request of the same id could not be told from the answer, so a connection that
// answered one last is not used.
func (u *upstreamPools) takeIdle(p *serverPool, id string) (*serverConn, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, maxAge := u.now(), u.idleTimeout(p.service)
	var stale time.Duration
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		conn := p.idle[last]
		p.idle[last], p.idle = nil, p.idle[:last]
		age := now - conn.idleSince
		if age > maxAge { // and so are all the others
			_ = conn.Close()
			closeConns(&p.idle)
			break
		}
		if conn.lastAttemptID == id {
			_ = conn.Close()
			continue
		}
		if u.knobs.SkipIdleInspection {
			return conn, stale
		}
		switch inspectIdle(conn.tcp) {
		case idleSound:
			return conn, stale
		case idleSurplus:
			u.counters.Surplus.Add(1)
		default:
			u.counters.Stale.Add(1)
			stale = age
		}
		_ = conn.Close()
	}
	return nil, stale
}

// putIdle gives a connection back on which the answer to a request with that id has come whole.
func (u *upstreamPools) putIdle(p *serverPool, c *serverConn, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	maxIdle := u.maxIdleConns[p.service]
	if p.removed || len(p.idle) >= max(maxIdle, minIdleConns) {
		_ = c.Close()
		return
	}
	c.fresh, c.idleSince, c.lastAttemptID = false, u.now(), id
	p.idle = append(p.idle, c)
	if u.sweepTimer == nil {
		u.sweepTimer = time.AfterFunc(sweepInterval, u.sweepIdle)
	}
}

// sweepIdle closes connections that idled too long, and comes again while any idles.
func (u *upstreamPools) sweepIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	remaining, now := 0, u.now()
	for _, p := range u.pools {
		expired, maxAge := 0, u.idleTimeout(p.service)
		for expired < len(p.idle) && now-p.idle[expired].idleSince > maxAge {
			_ = p.idle[expired].Close()
			expired++
		}
		p.idle = append(p.idle[:0], p.idle[expired:]...)
		remaining += len(p.idle)
	}
	if u.sweepTimer = nil; remaining > 0 {
		u.sweepTimer = time.AfterFunc(sweepInterval, u.sweepIdle)
	}
}

// closeIdleUnlessContacted closes the idle connections of a server that has not been heard since a moment. Danger: when a machine
// vanishes, its idle connections stay open and swallow requests that may then never be repeated. A new connection fails
// before anything is sent.
func (u *upstreamPools) closeIdleUnlessContacted(p *serverPool, since time.Duration) {
	if time.Duration(p.lastContact.Load()) >= since {
		return
	}
	u.closeIdle(p)
}

// closeIdle closes the idle connections of a server.
func (u *upstreamPools) closeIdle(p *serverPool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	closeConns(&p.idle)
}

// close ends all idle connections, and any that come back.
func (u *upstreamPools) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools {
		u.removePool(p)
	}
	if u.sweepTimer != nil {
		u.sweepTimer.Stop()
		u.sweepTimer = nil
	}
}

// dial opens a connection.
func (u *upstreamPools) dial(ctx context.Context, p *serverPool, deadline time.Time) (*serverConn, error) {
	timeout := u.sameRegionTimeout
	if p.crossRegion {
		timeout = u.crossRegionTimeout
	}
	u.counters.Dials.Add(1)
	c, err := u.connect(ctx, p.address, min(timeout, time.Until(deadline)))
	if err != nil {
		u.counters.DialFailures.Add(1)
		return nil, err
	}
	tcp, _ := c.(*net.TCPConn)
	return &serverConn{ServerConn: framing.NewServerConn(c, maxHeadBytes), tcp: tcp, fresh: true}, nil
}
