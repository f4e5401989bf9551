package pick

import "time"

const (
	budgetBuckets     = 20  // a window is counted in this many cells
	budgetUtilization = 0.8 // the part of the allowance that is used: arrivals lag sends
)

// retryBudget counts one service's requests and repeats of this proxy over a sliding window.
type retryBudget struct {
	window       time.Duration
	buckets      [budgetBuckets + 1]struct{ requests, repeats float64 }
	newestBucket int64 // number of the newest cell
	requests     float64
	retries      float64
}

// advance drops the cells that have left the window. The window is one cell longer for safety.
func (b *retryBudget) advance(now Time) int {
	cell := int64(now) / max(int64(b.window)/budgetBuckets, 1)
	if cell > b.newestBucket {
		n := min(cell-b.newestBucket, int64(len(b.buckets)))
		for i := int64(1); i <= n; i++ {
			c := &b.buckets[(cell-n+i)%int64(len(b.buckets))]
			b.requests -= c.requests
			b.retries -= c.repeats
			c.requests, c.repeats = 0, 0
		}
		b.newestBucket = cell
	}
	return int(b.newestBucket % int64(len(b.buckets)))
}

func (b *retryBudget) recordRequest(now Time, part float64) {
	c := &b.buckets[b.advance(now)]
	c.requests += part
	b.requests += part
}

// allows tells whether one more repeat fits: ratio of the own requests, and a part of the slack.
func (b *retryBudget) allows(now Time, ratio, slack float64) bool {
	b.advance(now)
	return b.retries+1 <= budgetUtilization*(ratio*b.requests+slack)
}

func (b *retryBudget) recordRetry(now Time, n float64) {
	c := &b.buckets[b.advance(now)]
	c.repeats += n
	b.retries += n
}
