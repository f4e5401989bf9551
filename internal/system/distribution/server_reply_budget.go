package distribution

import (
	"context"
	"net/http"
	"sync"
)

// uncountedReplyBytes is the size up to which replies are not counted: what a change is on most days.
const uncountedReplyBytes = 64 << 10

// replyBudget bounds the bytes of large replies that their callers have not read yet. Each is a copy of its own: proxies that do
// not read would otherwise take as much of a node's memory as there are proxies.
type replyBudget struct {
	maxBytes int

	mu            sync.Mutex
	reservedBytes int
}

type reservationKey struct{}

// reservation is what one call has reserved of a budget. One goroutine uses it.
type reservation struct {
	budget    *replyBudget // nil: nothing is reserved
	sizeBytes int
}

// withReservation returns the context of a call that may reserve, and a function that gives back what it reserved.
func withReservation(ctx context.Context) (context.Context, func()) {
	reserved := &reservation{}
	return context.WithValue(ctx, reservationKey{}, reserved), reserved.release
}

// withReplyBudget attaches to each call a reservation that ends when its reply has been read, or the call is abandoned.
func withReplyBudget(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, release := withReservation(r.Context())
		defer release()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// reserve reserves the bytes of a reply until the call ends, and reports whether the budget had room for them. A reply that is
// larger than the budget takes all of it. A call that did not come over the network needs none.
func (b *replyBudget) reserve(ctx context.Context, sizeBytes int) bool {
	reserved, ok := ctx.Value(reservationKey{}).(*reservation)
	if !ok {
		return true
	}
	sizeBytes = min(sizeBytes, b.maxBytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	if reserved.budget != nil || b.reservedBytes+sizeBytes > b.maxBytes {
		return false
	}
	b.reservedBytes += sizeBytes
	reserved.budget, reserved.sizeBytes = b, sizeBytes
	return true
}

func (r *reservation) release() {
	if r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.reservedBytes -= r.sizeBytes
	r.budget = nil
}
