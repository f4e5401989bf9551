package quota

import (
	"slices"
	"time"
)

// maxWait is the maximum time that a request waits for an allocator.
const maxWait = 400 * time.Millisecond

// Ticket identifies a group of requests that wait for the allocator; 0 means none.
type Ticket uint64

// Resolution is the outcome for requests that waited: Granted, Denied and Unavailable sum to the Waiting of their Decision.
type Resolution struct {
	Ticket      Ticket
	Granted     int
	Denied      int
	Unavailable int
	RetryAfter  time.Duration // for the denied requests
}

// waiter holds the counts of the requests of one ticket.
type waiter struct {
	ticket   Ticket
	tenant   *tenantState
	deadline time.Duration
	waiting  int // requests not decided on yet
	granted  int
}

// waitQueue holds all waiting requests, oldest first.
type waitQueue struct {
	newest  Ticket
	waiters []*waiter
	total   int // waiting requests of all waiters
}

// waitCapacity returns how many further requests of a tenant may wait.
func (l *Limiter) waitCapacity(state *tenantState) int {
	ofTenant := max(1, l.options.MaxWaiting/4) - state.waiting
	return max(0, min(ofTenant, l.options.MaxWaiting-l.waiters.total))
}

// enqueue adds requests to the queue and returns their ticket, 0 for none.
func (l *Limiter) enqueue(state *tenantState, count int) Ticket {
	if count == 0 {
		return 0
	}
	queue := &l.waiters
	queue.newest++
	queue.total += count
	state.waiting += count
	queue.waiters = append(queue.waiters, &waiter{ticket: queue.newest, tenant: state, deadline: l.now + maxWait, waiting: count})
	return queue.newest
}

// Expire resolves the requests that have waited for maxWait (400 ms): the bucket
// admits as many as it has tokens for by now, and the rest are unavailable.
func (l *Limiter) Expire(now time.Duration) []Resolution {
	l.advance(now)
	var ended []*waiter
	for _, w := range l.waiters.waiters {
		if l.now < w.deadline {
			break
		}
		w.tenant.advance(l, w.tenant.limit)
		l.waiters.grant(w, w.tenant.bucket.take(w.waiting))
		ended = append(ended, w)
	}
	return l.waiters.resolveUnavailable(ended)
}

// grantTo admits up to count requests of a tenant, oldest first.
func (q *waitQueue) grantTo(state *tenantState, count int) {
	if state.waiting == 0 || count == 0 {
		return
	}
	for _, w := range q.waiters {
		if w.tenant == state {
			admitted := min(w.waiting, count)
			q.grant(w, admitted)
			count -= admitted
		}
	}
}

func (q *waitQueue) grant(w *waiter, count int) {
	w.granted += count
	q.subtract(w, count)
}

// subtract subtracts requests that were decided on from the counts.
func (q *waitQueue) subtract(w *waiter, count int) {
	w.waiting -= count
	w.tenant.waiting -= count
	q.total -= count
}

// all returns all waiters.
func (q *waitQueue) all() []*waiter { return slices.Clone(q.waiters) }

// waitersOf returns the waiters of a tenant.
func (q *waitQueue) waitersOf(state *tenantState) []*waiter {
	return q.filter(func(w *waiter) bool { return w.tenant == state })
}

// fullyGranted returns the waiters of a tenant whose requests have all been admitted.
func (q *waitQueue) fullyGranted(state *tenantState) []*waiter {
	return q.filter(func(w *waiter) bool { return w.tenant == state && w.waiting == 0 })
}

func (q *waitQueue) filter(wanted func(*waiter) bool) []*waiter {
	var found []*waiter
	for _, w := range q.waiters {
		if wanted(w) {
			found = append(found, w)
		}
	}
	return found
}

// resolveUnavailable ends waiters whose remaining requests are unavailable.
func (q *waitQueue) resolveUnavailable(ended []*waiter) []Resolution {
	return q.resolve(ended, func(w *waiter) Resolution {
		return Resolution{Ticket: w.ticket, Granted: w.granted, Unavailable: w.waiting}
	})
}

// resolveDenied ends waiters whose remaining requests are beyond the limit.
func (q *waitQueue) resolveDenied(ended []*waiter, retryAfter time.Duration) []Resolution {
	return q.resolve(ended, func(w *waiter) Resolution {
		return Resolution{Ticket: w.ticket, Granted: w.granted, Denied: w.waiting, RetryAfter: retryAfter}
	})
}

// resolve removes waiters and returns their resolutions.
func (q *waitQueue) resolve(ended []*waiter, describe func(*waiter) Resolution) []Resolution {
	if len(ended) == 0 {
		return nil
	}
	resolutions := make([]Resolution, 0, len(ended))
	for _, w := range ended {
		resolutions = append(resolutions, describe(w))
		q.subtract(w, w.waiting)
		w.ticket = 0
	}
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool { return w.ticket == 0 })
	return resolutions
}
