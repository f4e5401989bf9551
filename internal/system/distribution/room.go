package distribution

import (
	"context"
	"net/http"
	"sync"
)

// smallAnswer is the size in bytes up to which answers are not counted: what a change is on most days.
const smallAnswer = 64 << 10

// room bounds the bytes of large answers that their callers have not taken yet. Each is a copy of its own: proxies that do
// not read would otherwise take as much of a keeper's memory as there are proxies.
type room struct {
	most int

	mu   sync.Mutex
	held int
}

type leaseKey struct{}

// lease is what one call has taken of a room.
type lease struct {
	room *room
	size int
}

// withLease gives the context of a call that may take of a room, and a function that gives it back.
func withLease(ctx context.Context) (context.Context, func()) {
	l := &lease{}
	return context.WithValue(ctx, leaseKey{}, l), l.release
}

// leasing gives each call a lease that ends when its answer has been taken, or the caller is given up.
func leasing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, release := withLease(r.Context())
		defer release()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// lease takes room for an answer of size bytes until the call ends, and tells whether there was any. An answer that is
// larger than the room has it to itself.
func (r *room) lease(ctx context.Context, size int) bool {
	l, ok := ctx.Value(leaseKey{}).(*lease)
	if !ok {
		return true // no caller over the network
	}
	size = min(size, r.most)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.room != nil || r.held+size > r.most {
		return false
	}
	r.held += size
	l.room, l.size = r, size
	return true
}

func (l *lease) release() {
	if l.room == nil {
		return
	}
	l.room.mu.Lock()
	defer l.room.mu.Unlock()
	l.room.held -= l.size
	l.room = nil
}
