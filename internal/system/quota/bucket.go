package quota

import "time"

// bucket is the token bucket of a share. It gains tokens only through the passage of time: an increase of its depth adds none.
//
// Invariant: the tokens taken from a bucket in any period are at most the tokens in it
// at the start plus those added at the rates of the shares it had during the period.
type bucket struct {
	level    float64 // tokens, 0 or more
	filledAt time.Duration
	rate     float64 // tokens a second
	depth    float64 // tokens
}

// fill adds the tokens accrued since the last fill, up to the depth.
func (b *bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	b.level = min(b.depth, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// resize fills the bucket at the old rate and then sets a new rate and depth. Tokens beyond the new depth are discarded.
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

// untilToken returns how long after filledAt the bucket will hold a whole token, at most maxRetryAfter.
func (b *bucket) untilToken() time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	missing := max(0, 1-b.level) / b.rate
	return min(maxRetryAfter, time.Duration(missing*float64(time.Second)))
}

const (
	// levelRounding is by how much a level may fall short of a whole token because of rounding errors in sums.
	levelRounding = 1e-9
	// maxRetryAfter is the longest retry delay that is reported to clients.
	maxRetryAfter = 5 * time.Second
)
