package operatorapi

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// The times of a call whose bytes may have been held up on their way. TCP sends again what a cut swallowed, also when the
// caller has closed its connection: the bytes come as soon as the cut ends, and the end of the connection a round trip later.
const (
	idleThreshold        = 500 * time.Millisecond // half of a caller's patience
	connectionEndTimeout = 250 * time.Millisecond // the longest round trip to a caller, with room
)

// connection is one connection of a caller.
type connection struct {
	acceptedAt time.Time
	idleSince  atomic.Int64 // since when no call is answered on it: time after began
}

type connectionKey struct{}

// handler is the API with what it keeps of each connection.
type handler struct {
	router http.Handler
}

// ConnContext notes that a connection was accepted. Set it as that of the http.Server; without it calls count as not held up.
func (h *handler) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{acceptedAt: time.Now()})
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		c.idleSince.Store(int64(time.Since(c.acceptedAt)))
	}
}

// mayHaveBeenDelayed tells whether a call that arrived at a time may have been on its way for longer than 500 ms: nothing came on its
// connection for so long before it.
func mayHaveBeenDelayed(ctx context.Context, arrived time.Time) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && arrived.Sub(c.acceptedAt)-time.Duration(c.idleSince.Load()) > idleThreshold
}

// awaitConnectionEnd waits as long as the end of a caller's connection can take to come after its bytes, or until it has come.
func awaitConnectionEnd(ctx context.Context) {
	timer := time.NewTimer(connectionEndTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
