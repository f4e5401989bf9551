// Package retrybudget limits the retries of one process to a fraction of
// its requests, so that failures of a service do not multiply its load.
//
// Terms: a request is a client's request; a retry is a further attempt of a request that has reached a server
// before. The limit for a window is ratio × requests + slack, where ratio and slack apply to the whole fleet:
// since requests add up over processes, each process may use the full ratio, but only its share of the slack.
//
// Invariant: within any window the fleet's retries stay under its limit. Argument: a retry is allowed only if it and the retries so
// far make up at most utilization (0.8) of the limit, counted over a window that is one bucket longer than requested, so a request
// counts for at most one bucket longer than a retry. The unused fifth covers requests that arrive before their attempts go out.
//
// The idea is that of gRPC's retry throttling (gRFC A6), which counts tokens;
// this package uses a sliding window because the limit is defined for a window.
package retrybudget

import "time"

const (
	// buckets is the number of buckets that a window is divided into.
	buckets = 20
	// utilization is the fraction of the limit that is used, because requests are counted before their attempts.
	utilization = 0.8
)

// Budget counts requests and retries over a sliding window. Create it with New. It is not safe for concurrent use.
type Budget struct {
	window   time.Duration
	buckets  [buckets + 1]counts // a ring: the window is one bucket longer than requested
	newest   int64               // number of the newest bucket, counted from the clock's start
	requests float64             // sums over the ring
	retries  float64
}

type counts struct{ requests, retries float64 }

// New creates an empty budget.
func New(window time.Duration) Budget { return Budget{window: window} }

// RecordRequest counts a request, or the fraction of one that is expected to reach the service.
func (b *Budget) RecordRequest(now time.Duration, part float64) {
	c := b.advance(now)
	c.requests += part
	b.requests += part
}

// RecordRetry counts n retries; a negative n reverts the count for a retry that reached no server.
func (b *Budget) RecordRetry(now time.Duration, n float64) {
	c := b.advance(now)
	c.retries += n
	b.retries += n
}

// Allows reports whether one more retry is within the limit of ratio × requests + slack.
func (b *Budget) Allows(now time.Duration, ratio, slack float64) bool {
	b.advance(now)
	return b.retries+1 <= utilization*(ratio*b.requests+slack)
}

// Counts returns the requests and retries in the window as of the last call of another method.
func (b *Budget) Counts() (requests, retries float64) { return b.requests, b.retries }

// advance removes the buckets that have left the window, and returns the bucket for now.
func (b *Budget) advance(now time.Duration) *counts {
	size := int64(len(b.buckets))
	bucket := int64(now) / max(int64(b.window)/buckets, 1)
	if bucket > b.newest {
		n := min(bucket-b.newest, size)
		for i := int64(1); i <= n; i++ {
			c := &b.buckets[(bucket-n+i)%size]
			b.requests -= c.requests
			b.retries -= c.retries
			*c = counts{}
		}
		b.newest = bucket
	}
	return &b.buckets[b.newest%size]
}
