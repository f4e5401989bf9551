package distribution

import (
	"context"
	"net/http"
	"sync"
)

// uncountedReplyBytes is the size up to which replies are not counted. It covers a typical change.
const uncountedReplyBytes = 64 << 10

// replyBudget bounds the bytes of large replies that their callers have not read yet. Each reply has its own copy of the data, so proxies
// that do not read would otherwise use up a node's memory in proportion to their number.
type replyBudget struct {
	maxBytes int

	mu            sync.Mutex
	reservedBytes int
}

type reservationKey struct{}

// reservation is the part of a budget that one call has reserved. It is used by one goroutine.
type reservation struct {
	budget    *replyBudget // nil: nothing is reserved
	sizeBytes int
}

// withReservation returns a call's context with an empty reservation, and a function that releases it.
func withReservation(ctx context.Context) (context.Context, func()) {
	reserved := &reservation{}
	return context.WithValue(ctx, reservationKey{}, reserved), reserved.release
}

// withReplyBudget attaches a reservation to each call. It is released when the reply has been read or the call is abandoned.
func withReplyBudget(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, release := withReservation(r.Context())
		defer release()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// reserve reserves the bytes of a reply until the call ends, and reports whether the budget had capacity for them. A reply that is larger
// than the budget takes all of it. A call that did not come over the network needs no reservation.
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
