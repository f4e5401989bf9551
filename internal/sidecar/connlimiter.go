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
	// minIdleTime is how long a client's connection must have been idle before it may be closed to free descriptors.
	minIdleTime = 2 * time.Second
	// shutdownIdleTime is how long a connection must have been idle before it is closed while this process shuts down.
	shutdownIdleTime = 50 * time.Millisecond
)

// connLimiter keeps the number of client connections within what the descriptor limit allows.
//
// A peer that hoards connections would use up the descriptors that attempts need. If all clients were then asked to close
// theirs, the busy ones would pay for it. So idle connections are closed first, the longest idle before the others.
type connLimiter struct {
	idleThreshold atomic.Int64 // above this many, idle connections are closed and clients are asked to close theirs
	maxConns      atomic.Int64 // above this many, no new connection is admitted
	closed        atomic.Int64 // connections closed to free descriptors
	count         atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection, and when it entered that state.
type connState struct {
	state http.ConnState
	since time.Time
}

func newConnLimiter(sockets int) *connLimiter {
	w := &connLimiter{conns: map[net.Conn]connState{}}
	w.resize(sockets, false)
	return w
}

// resize sets the limits for a number of descriptors, which another process of this sidecar may share. Half of what one
// process may admit is less than it has on a busy day, and new connections would be rejected until the other process has
// ended. So the two together may admit somewhat more than one alone, and idle connections are closed sooner.
func (w *connLimiter) resize(sockets int, shared bool) {
	idleThreshold, maxConns := sockets/2, sockets/2+sockets/12
	if shared {
		idleThreshold, maxConns = sockets/4, sockets/2-sockets/12
	}
	w.idleThreshold.Store(int64(idleThreshold))
	w.maxConns.Store(int64(maxConns))
}

// isOverloaded reports whether clients should close their connections.
func (w *connLimiter) isOverloaded() bool { return w.count.Load() > w.idleThreshold.Load() }

// observeState records a connection's change of state, and closes connections if there are too many.
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

// closeExcessIdle closes idle connections, the longest idle first, until their number is within the threshold.
func (w *connLimiter) closeExcessIdle(now time.Time) {
	for int64(len(w.conns)) > w.idleThreshold.Load() {
		if !w.closeLongest(http.StateIdle, now.Add(-minIdleTime)) {
			return
		}
	}
}

// closeIdle closes the idle connections, except those that have only just become idle, whose client
// may be about to use them, and those on which a request has begun to arrive.
func (w *connLimiter) closeIdle(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn, state := range w.conns {
		isWaiting := state.state == http.StateIdle || state.state == http.StateNew
		if isWaiting && now.Sub(state.since) > shutdownIdleTime && !requestBegun(conn) {
			w.close(conn)
		}
	}
}

// requestBegun reports whether part of a request has been read from a connection.
func requestBegun(c net.Conn) bool {
	f, ok := c.(*framing.ClientConn)
	return ok && f.MidRequest()
}

// closeLongest closes the connection that has been in a state for longest, if it entered that state
// before the given time. It reports whether there was one.
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

// close closes a connection that has no request. A request that has just been read would still run, and its answer would be
// lost. So an idle connection only gets a read deadline in the past: the HTTP server closes it unless a request has arrived.
func (w *connLimiter) close(conn net.Conn) {
	idle := w.conns[conn].state == http.StateIdle
	delete(w.conns, conn)
	w.count.Store(int64(len(w.conns)))
	w.closed.Add(1)
	if !idle || conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		_ = conn.Close() // the HTTP server notices at its next read
	}
}
