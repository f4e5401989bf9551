// Package retrybudget bounds the retries of one process to a fraction of its requests, so that failures of a service do not multiply the
// load that reaches it.
//
// Terms: a request is a client's; a retry is a further attempt of one that reached a server before. The limit of a window is
// ratio × requests + slack, where ratio and slack are what the fleet may do: since requests add up over processes, each process may use
// the whole ratio, but only its part of the slack.
//
// Invariant: within any window the fleet's retries stay under its limit. Argument: a retry is allowed only where retries so far and it
// make up at most utilization (0.8) of the limit, counted over a window that is one bucket longer than asked for, so a request counts
// for at most that much longer than a retry. The unused fifth covers requests that arrive before their attempts go out.
//
// The idea is that of gRPC's retry throttling (gRFC A6), which counts tokens; a sliding window is used here as the limit is stated for
// one.
package retrybudget

import "time"

const (
	// buckets is how many buckets a window is counted in.
	buckets = 20
	// utilization is the fraction of the limit that is used, as requests are counted before their attempts.
	utilization = 0.8
)

// Budget counts requests and retries over a sliding window. Make it with New. It is not safe for concurrent use.
type Budget struct {
	window   time.Duration
	buckets  [buckets + 1]counts // a ring: the window is one bucket longer than asked for
	newest   int64               // number of the newest bucket since the clock's start
	requests float64             // sums over the ring
	retries  float64
}

type counts struct{ requests, retries float64 }

// New makes an empty budget.
func New(window time.Duration) Budget { return Budget{window: window} }

// RecordRequest counts a request, or the part of one that is likely to reach the service.
func (b *Budget) RecordRequest(now time.Duration, part float64) {
	c := b.advance(now)
	c.requests += part
	b.requests += part
}

// RecordRetry counts n retries; a negative n takes back what was counted for one that reached no server.
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

// Counts are the requests and retries in the window as of the last call.
func (b *Budget) Counts() (requests, retries float64) { return b.requests, b.retries }

// advance drops the buckets that have left the window, and gives out the one of now.
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
