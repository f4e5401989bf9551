package quota

import "time"

// bucket is the token bucket of a share. It gains tokens by time alone: a deeper bucket is not a fuller one.
//
// Invariant: what it gives in any time is at most what it held at the start and what the shares that it had meanwhile fill.
type bucket struct {
	level    float64 // tokens, 0 or more
	filledAt time.Duration
	rate     float64 // tokens a second
	depth    float64 // tokens
}

// fill adds what has come since the last fill, up to the depth.
func (b *bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	b.level = min(b.depth, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// resize fills at the old rate and continues with another rate and depth. What is beyond the new depth is lost.
func (b *bucket) resize(now time.Duration, rate, depth float64) {
	b.fill(now)
	b.rate, b.depth = rate, depth
	b.level = min(b.level, depth)
}

// take removes up to count whole tokens and returns how many it removed.
func (b *bucket) take(count int) int {
	taken := max(0, min(count, int(b.level+levelRounding)))
	takesWithinBucket.Check(float64(taken) <= b.level+levelRounding)
	b.level = max(0, b.level-float64(taken))
	return taken
}

// untilToken returns how long a bucket that was filled at filledAt takes to hold a token.
func (b *bucket) untilToken() time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	missing := max(0, 1-b.level) / b.rate
	return min(maxRetryAfter, time.Duration(missing*float64(time.Second)))
}

const (
	// levelRounding is by how much a level may fall short of a whole token through the rounding of sums.
	levelRounding = 1e-9
	// maxRetryAfter bounds what clients are told.
	maxRetryAfter = 5 * time.Second
)
