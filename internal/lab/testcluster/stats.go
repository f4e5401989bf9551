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

// Figures are totals of requests since the start, and the first tokens (or answers) since the last look.
type Figures struct {
	Requests, Served, Refused, Failed, Unanswered, Open int

	Firsts   int           // answers that began since the last look
	P50, P99 time.Duration // from a client's first try to its first token
}

// figures counts the clients' requests.
type figures struct {
	mu     sync.Mutex
	now    Figures
	firsts []time.Duration
	waits  []wait
}

// wait is closed once so many requests were served.
type wait struct {
	served int
	over   chan struct{}
}

// await returns when n more requests were served.
func (f *figures) await(ctx context.Context, n int) error {
	f.mu.Lock()
	w := wait{f.now.Served + n, make(chan struct{})}
	f.waits = append(f.waits, w)
	f.mu.Unlock()
	select {
	case <-w.over:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%d more requests were not served in time", n)
	}
}

// begin counts a request and gives its number.
func (f *figures) begin() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now.Requests++
	f.now.Open++
	return f.now.Requests
}

// end counts how a request ended: by its last try.
func (f *figures) end(t *rules.Try, first time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now.Open--
	switch {
	case t.Outcome != rules.Answered:
		f.now.Unanswered++
	case t.Status < 300:
		f.now.Served++
		f.waits = slices.DeleteFunc(f.waits, func(w wait) bool {
			over := f.now.Served >= w.served
			if over {
				close(w.over)
			}
			return over
		})
	case t.Status == http.StatusTooManyRequests, t.Status == http.StatusServiceUnavailable, t.Status == http.StatusRequestTimeout,
		t.Status == http.StatusMisdirectedRequest:
		f.now.Refused++
	default:
		f.now.Failed++
	}
	if first >= 0 {
		f.firsts = append(f.firsts, first)
	}
}

// look gives the totals, and the quantiles since the last look.
func (f *figures) look() Figures {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.now
	if out.Firsts = len(f.firsts); out.Firsts > 0 {
		slices.Sort(f.firsts)
		out.P50, out.P99 = f.firsts[out.Firsts/2], f.firsts[min(out.Firsts-1, out.Firsts*99/100)]
		f.firsts = f.firsts[:0]
	}
	return out
}
