package quota

import (
	"math"
	"time"
)

// Bounds limit by how much the fleet may exceed a tenant's limit: in any Window,
// at most (rate·Window + burst)·(1 + Excess) + Slack requests are admitted.
type Bounds struct {
	Window time.Duration // more than 0
	Excess float64       // as a fraction of the limit, 0 or more
	Slack  float64       // requests, 0 or more
}

// Limit is the request rate and burst that a tenant may use across the whole fleet.
type Limit struct {
	RatePerSecond float64 // requests a second; 0 means unlimited
	Burst         float64 // further requests beyond the rate, 0 or more
}

// Unlimited reports whether the tenant has no limit. Such a tenant needs no lease.
func (l Limit) Unlimited() bool { return l.RatePerSecond <= 0 }

const (
	maxTokenTTL = 300 * time.Millisecond
	// tokenTTLShare is the fraction of what Excess adds to a window's rate that late one-shot tokens may use.
	tokenTTLShare = 0.6
	// budgetShare is the fraction of the excess that is given out as bucket depth. The rest covers clocks that run up to 1 in 1,000 fast.
	budgetShare = 0.8
	// allocatorFraction and allocatorExtraShare are never leased: they always belong to the allocator's own bucket.
	allocatorFraction   = 0.25
	allocatorExtraShare = 0.25
	leasableFraction    = 1 - allocatorFraction
)

// TokenTTL returns for how long after a call was sent the one-shot tokens in its reply may be used.
func (b Bounds) TokenTTL() time.Duration {
	byExcess := time.Duration(tokenTTLShare * b.Excess * float64(b.Window))
	return max(0, min(maxTokenTTL, byExcess))
}

// Depth returns the total depth, in tokens, that a limit allows for all buckets of the tenant together, not counting their extra tokens.
func (b Bounds) Depth(limit Limit) float64 {
	inWindow := limit.RatePerSecond * b.Window.Seconds()
	spare := (inWindow+limit.Burst)*(1+b.Excess) - inWindow - limit.RatePerSecond*b.TokenTTL().Seconds()
	return max(0, min(limit.Burst, budgetShare*spare))
}

// ExtraTokens returns the total depth, in whole tokens, that all buckets of a tenant together have in addition, whatever its limit is.
func (b Bounds) ExtraTokens() int { return max(0, int(budgetShare*b.Slack)) }

// leasableExtra returns how many extra tokens may be leased; the rest belong to the allocator.
func (b Bounds) leasableExtra() int {
	extra := b.ExtraTokens()
	return extra - int(math.Ceil(allocatorExtraShare*float64(extra)))
}

// MaxAdmitted returns the over-admission bound: the maximum number of requests that may be admitted in any Window.
func (b Bounds) MaxAdmitted(limit Limit) float64 {
	return (limit.RatePerSecond*b.Window.Seconds()+limit.Burst)*(1+b.Excess) + b.Slack
}
