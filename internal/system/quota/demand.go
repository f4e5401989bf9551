package quota

import (
	"math"
	"time"
)

const (
	slowMeanAge = 4 * time.Second
	fastMeanAge = 500 * time.Millisecond
	// deviations is by how many standard deviations of its count the fast estimate must differ to overrule the slow one.
	deviations = 2
	// minAge bounds what the first arrivals can make of the estimate.
	minAge = time.Second
	// idleArrivals is how many arrivals are to be expected in a time in which none would be seen once in 20 times.
	idleArrivals  = 3
	batchInterval = 250 * time.Millisecond
	// certainArrivals is the same for once in 3,000 times.
	certainArrivals = 8
	minIdle         = 500 * time.Millisecond
	shortIdle       = 2 * time.Second
	longIdle        = 10 * time.Second
)

// demandEstimate estimates the rate of arrivals. Its slow part is steady where arrivals are rare; its fast part bounds it from both
// sides, so that it follows where arrivals are many.
type demandEstimate struct {
	slow, fast float64 // arrivals, weighed by their age
	decayedAt  time.Duration
	begunAt    time.Duration // first arrival after none
	lastAt     time.Duration // newest arrival
}

// observe counts arrivals.
func (d *demandEstimate) observe(now time.Duration, count int) {
	if d.lastAt == 0 || d.gone(now) {
		*d = demandEstimate{decayedAt: now, begunAt: now}
	}
	d.decay(now)
	d.slow += float64(count)
	d.fast += float64(count)
	d.lastAt = now
}

// perSecond returns the estimate.
func (d *demandEstimate) perSecond(now time.Duration) float64 {
	d.decay(now)
	lowest := (d.fast - deviations*math.Sqrt(d.fast)) / fastMeanAge.Seconds()
	highest := (d.fast + deviations*math.Sqrt(d.fast+1) + 1) / fastMeanAge.Seconds()
	steady := d.slow / d.slowSpan(now).Seconds()
	return min(max(0, lowest, min(steady, highest)), d.highestWhileIdle(now))
}

// slowSpan is the time that the slow part stands for: slowMeanAge, but less soon after the first arrival.
func (d *demandEstimate) slowSpan(now time.Duration) time.Duration {
	age := max(minAge, now-d.begunAt)
	return time.Duration(float64(slowMeanAge) * (1 - math.Exp(-age.Seconds()/slowMeanAge.Seconds())))
}

// highestWhileIdle is the rate at which a time without arrivals as long as the present one would come about once in 20 times. Short
// times say nothing: requests may come in batches.
func (d *demandEstimate) highestWhileIdle(now time.Duration) float64 {
	idle := now - d.lastAt
	if idle < batchInterval {
		return math.Inf(1)
	}
	return idleArrivals / idle.Seconds()
}

// gone reports whether arrivals have ended: the fewer of them were to be expected lately, the longer there must have been none.
func (d *demandEstimate) gone(now time.Duration) bool {
	idle := now - d.lastAt
	expected := d.slow / d.slowSpan(now).Seconds() * idle.Seconds()
	switch {
	case idle < minIdle:
		return false
	case idle < shortIdle:
		return expected >= certainArrivals
	case idle < longIdle:
		return expected >= idleArrivals
	}
	return true
}

func (d *demandEstimate) decay(now time.Duration) {
	if now <= d.decayedAt {
		return
	}
	elapsed := now - d.decayedAt
	d.slow *= math.Exp(-elapsed.Seconds() / slowMeanAge.Seconds())
	d.fast *= math.Exp(-elapsed.Seconds() / fastMeanAge.Seconds())
	d.decayedAt = now
}
