package testcluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Stats are the totals of requests since the start, and the latencies since the last snapshot.
type Stats struct {
	Requests   int // that clients have begun
	Served     int // answered with success
	Refused    int // answered with a not-executed status
	Failed     int // answered with another status
	Unanswered int // ended without a final answer
	Open       int // not ended yet

	FirstTokens int           // answers that began since the last snapshot
	P50, P99    time.Duration // of those, from the start of the request to the first token, or the answer's head
}

// statsCounter counts the clients' requests.
type statsCounter struct {
	mu          sync.Mutex
	totals      Stats
	firstTokens []time.Duration
	waiters     []servedWaiter
}

// servedWaiter waits until a number of requests were served.
type servedWaiter struct {
	served  int           // total that is waited for
	reached chan struct{} // closed when it is reached
}

// await returns when n more requests were served, and fails if ctx ends before.
func (c *statsCounter) await(ctx context.Context, n int) error {
	c.mu.Lock()
	w := servedWaiter{c.totals.Served + n, make(chan struct{})}
	c.waiters = append(c.waiters, w)
	c.mu.Unlock()
	select {
	case <-w.reached:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%d more requests were not served in time", n)
	}
}

// begin counts a request and gives its number.
func (c *statsCounter) begin() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Requests++
	c.totals.Open++
	return c.totals.Requests
}

// end counts a request that has ended with an attempt. first is when its first token came, negative if none did.
func (c *statsCounter) end(last *rules.Attempt, first time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Open--
	switch {
	case last.Outcome != rules.Answered:
		c.totals.Unanswered++
	case last.Status < 300:
		c.countServed()
	case rules.IsNotExecutedStatus(last.Status):
		c.totals.Refused++
	default:
		c.totals.Failed++
	}
	if first >= 0 {
		c.firstTokens = append(c.firstTokens, first)
	}
}

// countServed counts a request that was served, and releases those who waited for it.
func (c *statsCounter) countServed() {
	c.totals.Served++
	c.waiters = slices.DeleteFunc(c.waiters, func(w servedWaiter) bool {
		reached := c.totals.Served >= w.served
		if reached {
			close(w.reached)
		}
		return reached
	})
}

// snapshot returns the totals, and the latencies since the last snapshot.
func (c *statsCounter) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.totals
	if snapshot.FirstTokens = len(c.firstTokens); snapshot.FirstTokens > 0 {
		slices.Sort(c.firstTokens)
		snapshot.P50, snapshot.P99 = c.firstTokens[snapshot.FirstTokens/2], c.firstTokens[min(snapshot.FirstTokens-1, snapshot.FirstTokens*99/100)]
		c.firstTokens = c.firstTokens[:0]
	}
	return snapshot
}
