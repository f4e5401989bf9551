package quota

import (
	"math"
	"slices"
	"time"
)

// allocation is an allocator's record of one tenant.
type allocation struct {
	limit   Limit    // for which the bucket was last sized
	bucket  bucket   // tokens of the part that is not leased
	holders []holder // ordered by their first call
}

// holder is one limiter's part of an allocation.
type holder struct {
	from          *caller
	share         Share // the largest share that the limiter may hold
	expiresAt     time.Duration
	seenAt        time.Duration
	ratePerSecond float64
}

// allocation returns the record of a tenant, creating it if needed. A new
// record has the bucket of a tenant whose limit was neither leased nor used in this term.
func (a *Allocator) allocation(name string, limit Limit) *allocation {
	tenant := a.allocated[name]
	if tenant == nil {
		tenant = &allocation{limit: limit, bucket: a.initialBucket(limit)}
		a.allocated[name] = tenant
	}
	return tenant
}

// initialBucket returns the bucket of a tenant that no limiter has asked for since the term began:
// empty at the end of the handover, and filled since then at the rate that is known not to be leased.
func (a *Allocator) initialBucket(limit Limit) bucket {
	fresh := bucket{filledAt: a.handoverEnd()}
	if a.now < fresh.filledAt {
		return bucket{filledAt: fresh.filledAt}
	}
	a.sizeBucket(&fresh, limit, a.reservedShare(), fresh.filledAt)
	if a.now < a.graceEnd() {
		fresh.fill(a.now)
		return fresh
	}
	a.sizeBucket(&fresh, limit, Share{Fraction: 1, Extra: a.bounds.ExtraTokens()}, a.graceEnd())
	fresh.fill(a.now)
	return fresh
}

// reservedShare returns the part of each limit that no allocator ever leases.
func (a *Allocator) reservedShare() Share {
	return Share{Fraction: allocatorFraction, Extra: a.bounds.ExtraTokens() - a.bounds.leasableExtra()}
}

func (a *Allocator) sizeBucket(b *bucket, limit Limit, free Share, at time.Duration) {
	b.resize(at, free.Fraction*limit.RatePerSecond, free.Fraction*a.bounds.Depth(limit)+float64(free.Extra))
}

// unleasedShare returns the part of a tenant's limit that belongs to the allocator's own bucket.
func (t *allocation) unleasedShare(a *Allocator) Share {
	if a.now < a.graceEnd() {
		return a.reservedShare()
	}
	leased := t.outstanding(nil)
	return Share{
		Fraction: max(0, 1-leased.Fraction),
		Extra:    max(0, a.bounds.ExtraTokens()-leased.Extra),
	}
}

// takeTokens takes up to count one-shot tokens from the tenant's bucket.
func (t *allocation) takeTokens(a *Allocator, limit Limit, count int) int {
	t.resizeBucket(a, limit)
	return t.bucket.take(count)
}

// resizeBucket adapts the bucket to the part that is not leased and to the new limit.
// The time since the last fill counts at the lower of the old and the new limit.
func (t *allocation) resizeBucket(a *Allocator, limit Limit) {
	if limit.RatePerSecond < t.limit.RatePerSecond {
		t.bucket.rate *= limit.RatePerSecond / t.limit.RatePerSecond
	}
	t.limit = limit
	a.sizeBucket(&t.bucket, limit, t.unleasedShare(a), max(a.now, t.bucket.filledAt))
}

// isDiscardable reports whether the record can be deleted because a newly created one would be the same.
func (t *allocation) isDiscardable(a *Allocator) bool {
	if a.now < a.graceEnd() {
		return false
	}
	t.resizeBucket(a, t.limit)
	return t.bucket.level >= t.bucket.depth
}

// outstanding returns the sum of the shares that all holders but one may hold.
func (t *allocation) outstanding(except *holder) Share {
	var sum Share
	for i := range t.holders {
		if h := &t.holders[i]; h != except {
			sum = sum.plus(h.share)
		}
	}
	return sum
}

// expire removes holders whose leases have ended.
func (t *allocation) expire(now time.Duration) {
	t.holders = slices.DeleteFunc(t.holders, func(h holder) bool { return now >= h.expiresAt })
}

// remove removes the holder record of a limiter.
func (t *allocation) remove(from *caller) {
	t.holders = slices.DeleteFunc(t.holders, func(h holder) bool { return h.from == from })
}

// holder returns the record of a limiter, creating it if needed. It returns nil if the tenant already has maxHolders others.
func (t *allocation) holder(from *caller) *holder {
	for i := range t.holders {
		if t.holders[i].from == from {
			return &t.holders[i]
		}
	}
	if len(t.holders) >= maxHolders {
		return nil
	}
	t.holders = append(t.holders, holder{from: from})
	return &t.holders[len(t.holders)-1]
}

const (
	// From steadyRate on, a share is maxHeadroom times the demand. Rare arrivals leave most of what fills a bucket unused,
	// so that the allocator's one-shot tokens serve them better: up to rareRate, a share is minHeadroom times the demand.
	minHeadroom = 0.8
	maxHeadroom = 1.3
	rareRate    = 2 // requests a second
	steadyRate  = 8 // requests a second
	// minWeight is the fraction of the limit that is added for any limiter with demand, as far as the limit suffices.
	minWeight = 0.04
	// targetTolerance is the relative difference to its target up to which a share is left unchanged, because a change costs calls.
	targetTolerance = 0.15
)

// decideShare returns the share that replaces the one a limiter holds: its target, limited
// to what the other holders leave. During the grace period, neither part of the share grows.
func (a *Allocator) decideShare(tenant *allocation, to *holder, held Share, limit Limit) Share {
	target := tenant.target(to, held, limit, a.bounds.leasableExtra())
	if a.now < a.graceEnd() {
		return Share{Fraction: min(held.Fraction, target.Fraction), Extra: min(held.Extra, target.Extra)}
	}
	others := tenant.outstanding(to)
	granted := target
	if !a.knobs.IgnoreOthers {
		granted.Fraction = max(0, min(target.Fraction, leasableFraction-others.Fraction))
		granted.Extra = max(0, min(target.Extra, a.bounds.leasableExtra()-others.Extra))
	}
	if granted.Fraction*a.bounds.Depth(limit)+float64(granted.Extra) < 1 {
		return Share{} // its bucket could never hold a token
	}
	if granted.Fraction > held.Fraction {
		sharesWithinLimit.Check(others.Fraction+granted.Fraction <= leasableFraction+fractionRounding)
	}
	if granted.Extra > held.Extra {
		sharesWithinLimit.Check(others.Extra+granted.Extra <= a.bounds.leasableExtra())
	}
	return granted
}

// target returns the share that a limiter should have, given its own demand and that of the other holders.
func (t *allocation) target(of *holder, held Share, limit Limit, leasableExtra int) Share {
	weight := of.weight(limit)
	if weight == 0 {
		return Share{}
	}
	sum, claimants := t.weights(limit)
	fraction := weight
	if sum > leasableFraction {
		fraction = leasableFraction * weight / sum
	}
	if math.Abs(fraction-held.Fraction) <= targetTolerance*held.Fraction {
		fraction = held.Fraction
	}
	extra := max(1, leasableExtra/claimants)
	if held.Extra > 0 && (held.Extra == extra+1 || held.Extra == extra-1) {
		extra = held.Extra
	}
	return Share{Fraction: fraction, Extra: extra}
}

// weights returns the sum of the weights of all holders, and the number of holders whose weight is more than 0.
func (t *allocation) weights(limit Limit) (sum float64, claimants int) {
	for i := range t.holders {
		if weight := t.holders[i].weight(limit); weight > 0 {
			sum += weight
			claimants++
		}
	}
	return sum, claimants
}

// weight returns the fraction of the limit that a limiter's demand requires:
// more than 1 if the demand exceeds the limit, 0 without demand.
func (h *holder) weight(limit Limit) float64 {
	if h.ratePerSecond <= 0 {
		return 0
	}
	return headroom(h.ratePerSecond)*h.ratePerSecond/limit.RatePerSecond + minWeight
}

// headroom returns the ratio of a share to the demand that it serves.
func headroom(ratePerSecond float64) float64 {
	steadiness := (ratePerSecond - rareRate) / (steadyRate - rareRate)
	return minHeadroom + (maxHeadroom-minHeadroom)*min(1, max(0, steadiness))
}
