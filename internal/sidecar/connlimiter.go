package sidecar

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
)

const (
	// minIdleTime is how long a client's connection must have idled before it may be closed to make room.
	minIdleTime = 2 * time.Second
	// shutdownIdleTime is how long it must have idled before it is closed while this process shuts down.
	shutdownIdleTime = 50 * time.Millisecond
)

// connLimiter keeps the clients' connections within what the descriptors allow.
//
// A peer that hoards connections would take the descriptors that attempts need, and if all clients were asked to close theirs for
// it, the busy ones would pay. So those that idle go first, the longest idle before the others.
type connLimiter struct {
	idleThreshold atomic.Int64 // above it, connections that idle are closed and clients are asked to close theirs
	maxConns      atomic.Int64 // above it, none is let in
	closed        atomic.Int64 // to make room
	count         atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state that a connection is in, and since when.
type connState struct {
	state http.ConnState
	since time.Time
}

func newConnLimiter(sockets int) *connLimiter {
	w := &connLimiter{conns: map[net.Conn]connState{}}
	w.resize(sockets, false)
	return w
}

// resize sets how many descriptors there are, which another process may share. Half of what one may let in is less than it has on
// a busy day, and newcomers would be rejected until the other has ended; so the two together may let in somewhat more than one,
// and what idles goes sooner.
func (w *connLimiter) resize(sockets int, shared bool) {
	some, most := sockets/2, sockets/2+sockets/12
	if shared {
		some, most = sockets/4, sockets/2-sockets/12
	}
	w.idleThreshold.Store(int64(some))
	w.maxConns.Store(int64(most))
}

// isOverloaded tells whether clients should close their connections.
func (w *connLimiter) isOverloaded() bool { return w.count.Load() > w.idleThreshold.Load() }

// observeState notes that a connection has changed its state, and closes what is too much then.
func (w *connLimiter) observeState(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(w.conns, conn)
	} else {
		w.conns[conn] = connState{state, now}
	}
	w.count.Store(int64(len(w.conns)))
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	w.closeExcessIdle(now)
	if int64(len(w.conns)) <= w.maxConns.Load() {
		return
	}
	if !w.closeLongest(http.StateNew, now.Add(-minIdleTime/2)) && state == http.StateNew {
		w.close(conn)
	}
}

// closeExcessIdle closes connections that have idled, the longest first, until few enough are left.
func (w *connLimiter) closeExcessIdle(now time.Time) {
	for int64(len(w.conns)) > w.idleThreshold.Load() {
		if !w.closeLongest(http.StateIdle, now.Add(-minIdleTime)) {
			return
		}
	}
}

// closeIdle closes the connections that idle, but for those that have just begun to, whose client may be about to use them, and
// those on which a request has begun to arrive.
func (w *connLimiter) closeIdle(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn, state := range w.conns {
		isWaiting := state.state == http.StateIdle || state.state == http.StateNew
		if isWaiting && now.Sub(state.since) > shutdownIdleTime && !hasBegun(conn) {
			w.close(conn)
		}
	}
}

// hasBegun tells whether part of a request has been read from a connection.
func hasBegun(c net.Conn) bool {
	f, ok := c.(*framing.ClientConn)
	return ok && f.MidRequest()
}

// closeLongest closes the connection that has been longest in a state, if it has been since before a time, and tells whether
// there was one.
func (w *connLimiter) closeLongest(state http.ConnState, before time.Time) bool {
	var found net.Conn
	for conn, s := range w.conns {
		if s.state == state && s.since.Before(before) {
			found, before = conn, s.since
		}
	}
	if found != nil {
		w.close(found)
	}
	return found != nil
}

// close ends a connection that has no request. A request that has just been read would run, and its answer be lost; so a connection
// that idled is only kept from waiting any longer: its server closes it unless there is a request.
func (w *connLimiter) close(conn net.Conn) {
	idle := w.conns[conn].state == http.StateIdle
	delete(w.conns, conn)
	w.count.Store(int64(len(w.conns)))
	w.closed.Add(1)
	if !idle || conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		_ = conn.Close() // its server learns of it when it reads
	}
}
