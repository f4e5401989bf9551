package proxy

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	sameRegionDialTimeout  = 250 * time.Millisecond
	crossRegionDialTimeout = 600 * time.Millisecond
	// minIdleTimeout is the lower bound on how long connections to servers may be idle.
	minIdleTimeout = 250 * time.Millisecond
	// minIdleConns is the lower bound on the maximum number of idle connections to a server, regardless of the number of proxies.
	minIdleConns = 4
	// sweepInterval is the interval between scans for connections that have been idle for too long.
	sweepInterval = 2 * time.Second
	// maxHeadBytes bounds the heads of requests and responses. It exceeds maxRequestHeadBytes because net/http reads slightly more.
	maxHeadBytes      = maxRequestHeadBytes + 8<<10
	readerBufferBytes = 4 << 10
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBufferBytes) }}

// connectFunc opens a connection to an address within a timeout.
type connectFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// upstreamPools owns the connections to servers, with one pool per incarnation of a server. It is safe for concurrent use.
type upstreamPools struct {
	start              time.Time // points in time are relative to it
	connect            connectFunc
	sameRegionTimeout  time.Duration // for a dial within the proxy's region
	crossRegionTimeout time.Duration // for a dial to another region
	region             string        // the proxy's own
	regionOfZone       map[string]string
	counters           *Counters
	knobs              TestingKnobs

	mu           sync.Mutex
	pools        map[string]*serverPool   // by server id
	idleTimeouts map[string]time.Duration // by service: half the time for which its servers keep idle connections
	maxIdleConns map[string]int           // by service: the maximum per server
	sweepTimer   *time.Timer              // nil: no connection is idle
}

// serverPool holds the connections to one incarnation of a server.
type serverPool struct {
	id, service, address string
	crossRegion          bool
	lastContact          atomic.Int64 // when bytes were last received from the server; nanoseconds after upstreamPools.start

	// Protected by upstreamPools.mu.
	removed bool          // the server is no longer listed
	idle    []*serverConn // the most recently used last
}

// serverConn is a connection to a server. It is owned either by one attempt or by its pool.
type serverConn struct {
	*framing.ServerConn
	tcp           *net.TCPConn  // nil if a test connects through a pipe
	fresh         bool          // no response has been received on it
	lastAttemptID string        // of the last request that was answered on it; noAttemptID: not known
	idleSince     time.Duration // relative to upstreamPools.start
}

func newUpstreamPools(settings pick.Settings, counters *Counters) *upstreamPools {
	return &upstreamPools{
		start:              time.Now(),
		connect:            dialTCP,
		sameRegionTimeout:  sameRegionDialTimeout,
		crossRegionTimeout: crossRegionDialTimeout,
		region:             settings.Region,
		regionOfZone:       settings.Regions,
		counters:           counters,
		pools:              map[string]*serverPool{},
		idleTimeouts:       map[string]time.Duration{},
		maxIdleConns:       map[string]int{},
	}
}

// now returns the monotonic time since start.
func (u *upstreamPools) now() time.Duration { return time.Since(u.start) }

// applyUpdate replaces the servers and the configuration. Danger: requests sent on idle connections to a server that no longer exists
// are lost, so the pools of servers that are no longer listed, or whose address has changed, are removed.
func (u *upstreamPools) applyUpdate(state pick.ClusterState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.removeUnlisted(state.Servers)
	if state.Config != nil {
		u.applyConfig(state.Config, max(len(state.Peers), 1))
	}
}

// removeUnlisted removes the pools of servers that are no longer listed, or are listed with another address. The caller holds the lock.
func (u *upstreamPools) removeUnlisted(servers []pick.Server) {
	addresses := make(map[string]string, len(servers))
	for _, server := range servers {
		addresses[server.ID] = server.Address
	}
	for id, pool := range u.pools {
		if address, listed := addresses[id]; !listed || address != pool.address {
			u.removePool(pool)
		}
	}
}

// applyConfig divides each service's connections among the proxies. The caller holds the lock.
func (u *upstreamPools) applyConfig(config *config.Config, proxies int) {
	for name := range u.idleTimeouts {
		if config.Services[name] == nil {
			delete(u.idleTimeouts, name)
		}
	}
	clear(u.maxIdleConns)
	for name, service := range config.Services {
		u.maxIdleConns[name] = max(service.MaxConns/proxies, minIdleConns)
	}
}

// removePool removes a pool. Connections that are in use are closed when their attempts end. The caller holds the lock.
func (u *upstreamPools) removePool(pool *serverPool) {
	pool.removed = true
	pool.closeIdle()
	delete(u.pools, pool.id)
}

// closeIdle closes the idle connections. The caller holds the lock.
func (p *serverPool) closeIdle() {
	for _, conn := range p.idle {
		_ = conn.Close()
	}
	p.idle = nil
}

// poolOf returns the pool of a server, and creates it if necessary.
func (u *upstreamPools) poolOf(server pick.Server) *serverPool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if pool := u.pools[server.ID]; pool != nil {
		return pool
	}
	region := server.Region
	if region == "" {
		region = u.regionOfZone[server.Zone]
	}
	pool := &serverPool{id: server.ID, service: server.Service, address: server.Address, crossRegion: region != u.region}
	u.pools[server.ID] = pool
	return pool
}

// idleTimeout returns how long connections to servers of a service may be idle. The caller holds the lock.
func (u *upstreamPools) idleTimeout(service string) time.Duration {
	if timeout := u.idleTimeouts[service]; timeout > 0 {
		return timeout
	}
	return pick.DefaultIdleTimeout
}

// observeIdleTimeout records how long servers of a service keep idle connections, as announced by one of them or observed. A time
// longer than the current one is ignored.
func (u *upstreamPools) observeIdleTimeout(service string, kept time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idleTimeouts[service] = max(min(pick.IdleTimeout(kept), u.idleTimeout(service)), minIdleTimeout)
}

// takeIdle returns an idle connection that passed inspection, or nil. If it finds a connection that the server has closed, staleAge
// is how long that one had been idle; otherwise it is 0. Danger: a surplus response to an earlier request with the same id would be
// indistinguishable from the response, so a connection whose last answered request had that id is not used.
func (u *upstreamPools) takeIdle(pool *serverPool, attemptID string) (conn *serverConn, staleAge time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, maxAge := u.now(), u.idleTimeout(pool.service)
	for len(pool.idle) > 0 {
		conn := pool.popIdle()
		age := now - conn.idleSince
		if age > maxAge { // all the other connections have been idle for even longer
			_ = conn.Close()
			pool.closeIdle()
			break
		}
		if conn.lastAttemptID == attemptID {
			_ = conn.Close()
			continue
		}
		condition := u.inspect(conn)
		if condition == idleUsable {
			return conn, staleAge
		}
		if condition == idleClosed {
			staleAge = age
		}
		_ = conn.Close()
	}
	return nil, staleAge
}

// popIdle removes and returns the most recently used idle connection. The caller holds the lock.
func (p *serverPool) popIdle() *serverConn {
	last := len(p.idle) - 1
	conn := p.idle[last]
	p.idle[last], p.idle = nil, p.idle[:last]
	return conn
}

// inspect checks whether an idle connection may be used, and counts those that may not.
func (u *upstreamPools) inspect(conn *serverConn) idleCondition {
	if u.knobs.SkipIdleInspection {
		return idleUsable
	}
	condition := inspectIdle(conn.tcp)
	switch condition {
	case idleSurplus:
		u.counters.Surplus.Add(1)
	case idleClosed:
		u.counters.Stale.Add(1)
	}
	return condition
}

// noAttemptID is passed to putIdle for a connection that is returned unused.
const noAttemptID = ""

// putIdle returns a connection to its pool, after the response to the request with the given id was received completely on it, or
// after it was not used at all (noAttemptID).
func (u *upstreamPools) putIdle(pool *serverPool, conn *serverConn, attemptID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	maxIdle := max(u.maxIdleConns[pool.service], minIdleConns)
	if pool.removed || len(pool.idle) >= maxIdle {
		_ = conn.Close()
		return
	}
	conn.fresh, conn.idleSince, conn.lastAttemptID = false, u.now(), attemptID
	pool.idle = append(pool.idle, conn)
	if u.sweepTimer == nil {
		u.sweepTimer = time.AfterFunc(sweepInterval, u.sweepIdle)
	}
}

// sweepIdle closes connections that have been idle for too long, and schedules the next sweep if any idle connection remains.
func (u *upstreamPools) sweepIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	remaining, now := 0, u.now()
	for _, pool := range u.pools {
		pool.closeIdleBefore(now - u.idleTimeout(pool.service))
		remaining += len(pool.idle)
	}
	u.sweepTimer = nil
	if remaining > 0 {
		u.sweepTimer = time.AfterFunc(sweepInterval, u.sweepIdle)
	}
}

// closeIdleBefore closes the connections that became idle before the given time. The caller holds the lock.
func (p *serverPool) closeIdleBefore(moment time.Duration) {
	expired := 0
	for expired < len(p.idle) && p.idle[expired].idleSince < moment {
		_ = p.idle[expired].Close()
		expired++
	}
	p.idle = append(p.idle[:0], p.idle[expired:]...)
}

// closeIdleUnlessContacted closes the idle connections to a server from which nothing was received since the given time. Danger: when
// a machine disappears, idle connections to it stay open, and requests sent on them are lost and perhaps may not be retried. A new
// connection fails before anything is sent.
func (u *upstreamPools) closeIdleUnlessContacted(pool *serverPool, since time.Duration) {
	if time.Duration(pool.lastContact.Load()) >= since {
		return
	}
	u.closeIdle(pool)
}

// closeIdle closes the idle connections to a server.
func (u *upstreamPools) closeIdle(pool *serverPool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool.closeIdle()
}

// close closes all idle connections, and makes putIdle close those that are returned later.
func (u *upstreamPools) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, pool := range u.pools {
		u.removePool(pool)
	}
	if u.sweepTimer != nil {
		u.sweepTimer.Stop()
		u.sweepTimer = nil
	}
}

// dial opens a connection to a server before a deadline.
func (u *upstreamPools) dial(ctx context.Context, pool *serverPool, deadline time.Time) (*serverConn, error) {
	timeout := u.sameRegionTimeout
	if pool.crossRegion {
		timeout = u.crossRegionTimeout
	}
	u.counters.Dials.Add(1)
	conn, err := u.connect(ctx, pool.address, min(timeout, time.Until(deadline)))
	if err != nil {
		u.counters.DialFailures.Add(1)
		return nil, err
	}
	tcp, _ := conn.(*net.TCPConn)
	return &serverConn{ServerConn: framing.NewServerConn(conn, maxHeadBytes), tcp: tcp, fresh: true}, nil
}
