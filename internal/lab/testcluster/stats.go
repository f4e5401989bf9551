package testcluster

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Stats are totals of requests since the start, and the first tokens (or answers) since the last look.
type Stats struct {
	Requests, Served, Refused, Failed, Unanswered, Open int

	FirstTokens int           // answers that began since the last look
	P50, P99    time.Duration // from a client's first attempt to its first token
}

// statsCounter counts the clients' requests.
type statsCounter struct {
	mu          sync.Mutex
	totals      Stats
	firstTokens []time.Duration
	waiters     []servedWaiter
}

// servedWaiter is closed once so many requests were served.
type servedWaiter struct {
	served  int
	reached chan struct{}
}

// await returns when n more requests were served.
func (f *statsCounter) await(ctx context.Context, n int) error {
	f.mu.Lock()
	w := servedWaiter{f.totals.Served + n, make(chan struct{})}
	f.waiters = append(f.waiters, w)
	f.mu.Unlock()
	select {
	case <-w.reached:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%d more requests were not served in time", n)
	}
}

// begin counts a request and gives its number.
func (f *statsCounter) begin() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.totals.Requests++
	f.totals.Open++
	return f.totals.Requests
}

// end counts how a request ended: by its last attempt.
func (f *statsCounter) end(t *rules.Attempt, first time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.totals.Open--
	switch {
	case t.Outcome != rules.Answered:
		f.totals.Unanswered++
	case t.Status < 300:
		f.totals.Served++
		f.waiters = slices.DeleteFunc(f.waiters, func(w servedWaiter) bool {
			over := f.totals.Served >= w.served
			if over {
				close(w.reached)
			}
			return over
		})
	case t.Status == http.StatusTooManyRequests, t.Status == http.StatusServiceUnavailable, t.Status == http.StatusRequestTimeout,
		t.Status == http.StatusMisdirectedRequest:
		f.totals.Refused++
	default:
		f.totals.Failed++
	}
	if first >= 0 {
		f.firstTokens = append(f.firstTokens, first)
	}
}

// snapshot gives the totals, and the quantiles since the last snapshot.
func (f *statsCounter) snapshot() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.totals
	if out.FirstTokens = len(f.firstTokens); out.FirstTokens > 0 {
		slices.Sort(f.firstTokens)
		out.P50, out.P99 = f.firstTokens[out.FirstTokens/2], f.firstTokens[min(out.FirstTokens-1, out.FirstTokens*99/100)]
		f.firstTokens = f.firstTokens[:0]
	}
	return out
}
