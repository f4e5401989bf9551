package quota

import (
	"math"
	"time"
)

// Bounds say by how much the fleet may exceed a tenant's limit: in any Window at most
// (rate·Window + burst)·(1 + Excess) + Slack requests are admitted.
type Bounds struct {
	Window time.Duration // more than 0
	Excess float64       // part of the limit, 0 or more
	Slack  float64       // requests, 0 or more
}

// Limit is what a tenant may ask of the whole fleet.
type Limit struct {
	RatePerSecond float64 // requests a second; 0: no limit
	Burst         float64 // requests beyond the rate, 0 or more
}

// Unlimited reports whether the tenant has no limit. Such a tenant needs no lease.
func (l Limit) Unlimited() bool { return l.RatePerSecond <= 0 }

const (
	maxTokenTTL = 300 * time.Millisecond
	// tokenTTLShare is the part of what Excess adds to a window's rate that late one-shot tokens may use.
	tokenTTLShare = 0.6
	// budgetShare is the part of the excess that is given out as bucket depth. The rest covers clocks that run up to 1 in 1,000 fast.
	budgetShare = 0.8
	// allocatorFraction and allocatorExtraShare are never leased: the allocator's bucket always has them.
	allocatorFraction   = 0.25
	allocatorExtraShare = 0.25
	leasableFraction    = 1 - allocatorFraction
)

// TokenTTL returns how long after the sending of a call the one-shot tokens that its reply brings may be used.
func (b Bounds) TokenTTL() time.Duration {
	byExcess := time.Duration(tokenTTLShare * b.Excess * float64(b.Window))
	return max(0, min(maxTokenTTL, byExcess))
}

// Depth returns the bucket depth, in tokens, that a limit allows all buckets of the tenant together beside their extra tokens.
func (b Bounds) Depth(limit Limit) float64 {
	inWindow := limit.RatePerSecond * b.Window.Seconds()
	spare := (inWindow+limit.Burst)*(1+b.Excess) - inWindow - limit.RatePerSecond*b.TokenTTL().Seconds()
	return max(0, min(limit.Burst, budgetShare*spare))
}

// ExtraTokens returns the bucket depth, in whole tokens, that all buckets of a tenant together have whatever its limit is.
func (b Bounds) ExtraTokens() int { return max(0, int(budgetShare*b.Slack)) }

// leasableExtra returns how many extra tokens may be leased; the others are the allocator's.
func (b Bounds) leasableExtra() int {
	extra := b.ExtraTokens()
	return extra - int(math.Ceil(allocatorExtraShare*float64(extra)))
}

// MaxAdmitted returns the over-admission bound: the most requests that may be admitted in any Window.
func (b Bounds) MaxAdmitted(limit Limit) float64 {
	return (limit.RatePerSecond*b.Window.Seconds()+limit.Burst)*(1+b.Excess) + b.Slack
}
