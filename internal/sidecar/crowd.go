package sidecar

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
)

// idleAtLeast is how long a client's connection must have idled before it may be closed to make room.
const idleAtLeast = 2 * time.Second

// idleMoment is how long it must have idled before it is closed while this process leaves.
const idleMoment = 50 * time.Millisecond

// crowd keeps the clients' connections within what the descriptors bear.
//
// Danger: a peer that hoards connections takes the descriptors that attempts need, and one that asks all clients to
// close theirs for it makes the busy ones pay. So those that idle go first, the longest idle before the others.
type crowd struct {
	some   atomic.Int64 // above it, connections that idle are closed and clients are asked to close theirs
	most   atomic.Int64 // above it, none is let in
	closed atomic.Int64 // to make room
	count  atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]standing
}

// standing is the state that a connection is in, and since when.
type standing struct {
	state http.ConnState
	since time.Time
}

func newCrowd(sockets int) *crowd {
	w := &crowd{conns: map[net.Conn]standing{}}
	w.resize(sockets, false)
	return w
}

// resize sets how many descriptors there are, which another process may share. Danger: half of what one may let in is less
// than it holds on a busy day, and newcomers would be turned away until the other has left; so the two together may let in
// somewhat more than one, and what idles goes sooner.
func (w *crowd) resize(sockets int, shared bool) {
	some, most := sockets/2, sockets/2+sockets/12
	if shared {
		some, most = sockets/4, sockets/2-sockets/12
	}
	w.some.Store(int64(some))
	w.most.Store(int64(most))
}

// full tells whether clients should close their connections.
func (w *crowd) full() bool { return w.count.Load() > w.some.Load() }

// note takes in that a connection has changed its state.
func (w *crowd) note(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(w.conns, c)
	} else {
		w.conns[c] = standing{state, now}
	}
	w.count.Store(int64(len(w.conns)))
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	for int64(len(w.conns)) > w.some.Load() && w.end(http.StateIdle, now.Add(-idleAtLeast)) {
	}
	if int64(len(w.conns)) > w.most.Load() && !w.end(http.StateNew, now.Add(-idleAtLeast/2)) && state == http.StateNew {
		w.close(c)
	}
}

// closeIdle ends the connections that idle, but for those that have just begun to: a client that was about to use one can
// still open another. Nor one on which a request has begun to come.
func (w *crowd) closeIdle(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, s := range w.conns {
		if (s.state == http.StateIdle || s.state == http.StateNew) && now.Sub(s.since) > idleMoment && !begun(c) {
			w.close(c)
		}
	}
}

// begun tells whether part of a request has been read from a connection.
func begun(c net.Conn) bool {
	f, ok := c.(*framing.ClientConn)
	return ok && f.MidRequest()
}

// end closes the connection that has been longest in a state, if it has been since before a time, and tells whether
// there was one.
func (w *crowd) end(state http.ConnState, before time.Time) bool {
	var found net.Conn
	for c, s := range w.conns {
		if s.state == state && s.since.Before(before) {
			found, before = c, s.since
		}
	}
	if found != nil {
		w.close(found)
	}
	return found != nil
}

// close ends a connection that has no request. Danger: a request that has just been read would run, and its answer be
// lost. So one that idled is only kept from waiting any longer: its server closes it unless there is a request.
func (w *crowd) close(c net.Conn) {
	idle := w.conns[c].state == http.StateIdle
	delete(w.conns, c)
	w.count.Store(int64(len(w.conns)))
	w.closed.Add(1)
	if !idle || c.SetReadDeadline(time.Unix(1, 0)) != nil {
		_ = c.Close() // its server learns of it when it reads
	}
}
