package operatorapi

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// The bounds for requests that may have been delayed by a network partition. TCP retransmits bytes that a partition dropped, even
// after the caller has closed its connection: the bytes arrive as soon as the partition heals, and the end of the connection a
// round trip later.
const (
	idleThreshold        = 500 * time.Millisecond // half of a caller's time-out
	connectionEndTimeout = 250 * time.Millisecond // the longest round trip to a caller, with headroom
)

// connection records how long a connection of a caller has been idle.
type connection struct {
	acceptedAt time.Time
	idleSince  atomic.Int64 // when the last response was written, as nanoseconds after acceptedAt
}

type connectionKey struct{}

// connectionTracker serves the API and records how long each connection has been idle.
type connectionTracker struct {
	router http.Handler
}

// ConnContext records when a connection was accepted. It must be set in the http.Server; without it no request counts as delayed.
func (h *connectionTracker) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{acceptedAt: time.Now()})
}

// ServeHTTP implements http.Handler.
func (h *connectionTracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		c.idleSince.Store(int64(time.Since(c.acceptedAt)))
	}
}

// mayHaveBeenDelayed reports whether a request that arrived at the given time may have been in transit for longer than
// idleThreshold, which is the case if its connection was idle for that long before it arrived.
func mayHaveBeenDelayed(ctx context.Context, arrived time.Time) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && arrived.Sub(c.acceptedAt)-time.Duration(c.idleSince.Load()) > idleThreshold
}

// awaitConnectionEnd waits until the caller's connection has ended, but at most for connectionEndTimeout, the longest time by which the
// end of a connection can follow its last bytes.
func awaitConnectionEnd(ctx context.Context) {
	timer := time.NewTimer(connectionEndTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
