package distribution

import (
	"context"
	"net/http"
	"sync"
)

// uncountedReplyBytes is the size in bytes up to which answers are not counted: what a change is on most days.
const uncountedReplyBytes = 64 << 10

// replyBudget bounds the bytes of large answers that their callers have not taken yet. Each is a copy of its own: proxies that do
// not read would otherwise take as much of a keeper's memory as there are proxies.
type replyBudget struct {
	maxBytes int

	mu            sync.Mutex
	reservedBytes int
}

type reservationKey struct{}

// reservation is what one call has taken of a room.
type reservation struct {
	budget    *replyBudget
	sizeBytes int
}

// withReservation gives the context of a call that may take of a room, and a function that gives it back.
func withReservation(ctx context.Context) (context.Context, func()) {
	l := &reservation{}
	return context.WithValue(ctx, reservationKey{}, l), l.release
}

// withReplyBudget gives each call a lease that ends when its answer has been taken, or the caller is given up.
func withReplyBudget(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, release := withReservation(r.Context())
		defer release()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// reserve takes room for an answer of size bytes until the call ends, and tells whether there was any. An answer that is
// larger than the room has it to itself.
func (r *replyBudget) reserve(ctx context.Context, size int) bool {
	l, ok := ctx.Value(reservationKey{}).(*reservation)
	if !ok {
		return true // no caller over the network
	}
	size = min(size, r.maxBytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.budget != nil || r.reservedBytes+size > r.maxBytes {
		return false
	}
	r.reservedBytes += size
	l.budget, l.sizeBytes = r, size
	return true
}

func (l *reservation) release() {
	if l.budget == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.reservedBytes -= l.sizeBytes
	l.budget = nil
}
