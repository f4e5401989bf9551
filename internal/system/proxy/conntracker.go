package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/framing"
)

// minIdleBeforeClose is how long a connection has to be idle before it may be closed to make room for others: most clients that are
// about to send a request have done so by then.
const minIdleBeforeClose = 50 * time.Millisecond

// connTracker tracks the clients' connections and their states. It is safe for concurrent use.
type connTracker struct {
	changed chan struct{} // capacity one; signalled when a connection has ended

	mu    sync.Mutex
	conns map[net.Conn]*connState
}

// connState is the state of a connection as net/http reports it.
type connState struct {
	state http.ConnState
	since time.Time
}

func newConnTracker() *connTracker {
	return &connTracker{changed: make(chan struct{}, 1), conns: map[net.Conn]*connState{}}
}

// add starts tracking a new connection.
func (t *connTracker) add(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[conn] = &connState{http.StateNew, time.Now()}
}

// observe records a change of state. It is the ConnState hook of an http.Server.
func (t *connTracker) observe(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		t.remove(conn)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracked := t.conns[conn]; tracked != nil {
		tracked.state, tracked.since = state, time.Now()
	}
}

// remove stops tracking a connection that has ended.
func (t *connTracker) remove(conn net.Conn) {
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// count returns the number of tracked connections.
func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// closeAll closes all connections. Each remains tracked until net/http reports that it has ended.
func (t *connTracker) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		_ = conn.Close()
	}
}

// closeIdle closes the connections that have had no request for at least minIdle. Danger: a client that has just sent a request on
// such a connection has to send it again, or loses it, so a connection on which bytes have arrived stays open.
func (t *connTracker) closeIdle(minIdle time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, tracked := range t.conns {
		withoutRequest := tracked.state == http.StateIdle || tracked.state == http.StateNew
		if !withoutRequest || now.Sub(tracked.since) < minIdle || hasRequestBytes(conn) {
			continue
		}
		_ = conn.Close()
	}
}

// closeLongestIdle closes the connection that has been idle for the longest time, and reports whether there is one.
func (t *connTracker) closeLongestIdle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var longest net.Conn
	idleSince := time.Now().Add(-minIdleBeforeClose)
	for conn, tracked := range t.conns {
		client, ok := conn.(*framing.ClientConn)
		if ok && tracked.state == http.StateIdle && tracked.since.Before(idleSince) && !client.MidRequest() {
			longest, idleSince = conn, tracked.since
		}
	}
	if longest == nil {
		return false
	}
	t.conns[longest].state = http.StateClosed // so that the next call does not choose it again
	_ = longest.Close()
	return true
}

// hasRequestBytes reports whether part of a request has arrived on a connection, read or not.
func hasRequestBytes(conn net.Conn) bool {
	client, ok := conn.(*framing.ClientConn)
	return ok && (client.MidRequest() || hasUnreadBytes(client.TCPConn))
}

// hasUnreadBytes reports whether a connection has received bytes that have not been read.
func hasUnreadBytes(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	_ = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		count, _, _ = unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return count > 0
}
