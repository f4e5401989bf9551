package quota

import (
	"math"
	"time"
)

const (
	slowMeanAge = 4 * time.Second
	fastMeanAge = 500 * time.Millisecond
	// maxDeviations is by how many standard deviations of its count the fast estimate must differ from the slow one to override it.
	maxDeviations = 2
	// minAge limits how far the first arrivals can raise the estimate.
	minAge = time.Second
	// idleArrivals is the expected number of arrivals in a period for which there is a 1 in 20 chance of seeing none.
	idleArrivals  = 3
	batchInterval = 250 * time.Millisecond
	// certainArrivals is the same for a chance of 1 in 3,000.
	certainArrivals = 8
	minIdle         = 500 * time.Millisecond
	shortIdle       = 2 * time.Second
	longIdle        = 10 * time.Second
)

// demandEstimate estimates the rate of arrivals. Its slow average is steady where arrivals are rare. Its fast average
// bounds the slow one from both sides, so that the estimate follows changes quickly where there are many arrivals.
type demandEstimate struct {
	slow, fast float64 // arrivals, weighted by their age
	decayedAt  time.Duration
	begunAt    time.Duration // first arrival since arrivals last stopped
	lastAt     time.Duration // newest arrival
}

// observe counts arrivals.
func (d *demandEstimate) observe(now time.Duration, count int) {
	if d.lastAt == 0 || d.hasStopped(now) {
		*d = demandEstimate{decayedAt: now, begunAt: now}
	}
	d.decay(now)
	d.slow += float64(count)
	d.fast += float64(count)
	d.lastAt = now
}

// perSecond returns the estimated arrivals a second.
func (d *demandEstimate) perSecond(now time.Duration) float64 {
	d.decay(now)
	lower := (d.fast - maxDeviations*math.Sqrt(d.fast)) / fastMeanAge.Seconds()
	upper := (d.fast + maxDeviations*math.Sqrt(d.fast+1) + 1) / fastMeanAge.Seconds()
	steady := d.slow / d.slowPeriod(now).Seconds()
	return min(max(0, lower, min(steady, upper)), d.idleUpperBound(now))
}

// slowPeriod returns the period that the slow average covers: slowMeanAge, or less shortly after the first arrival.
func (d *demandEstimate) slowPeriod(now time.Duration) time.Duration {
	age := max(minAge, now-d.begunAt)
	return time.Duration(float64(slowMeanAge) * (1 - math.Exp(-age.Seconds()/slowMeanAge.Seconds())))
}

// idleUpperBound returns an upper bound of the rate, given the time since the last arrival: at that rate there is a 1 in 20
// chance of seeing no arrival for that long. Idle times below batchInterval set no bound, because requests may come in batches.
func (d *demandEstimate) idleUpperBound(now time.Duration) float64 {
	idle := now - d.lastAt
	if idle < batchInterval {
		return math.Inf(1)
	}
	return idleArrivals / idle.Seconds()
}

// hasStopped reports whether arrivals have stopped. The lower the recent rate of arrivals, the longer the time without any must be.
func (d *demandEstimate) hasStopped(now time.Duration) bool {
	idle := now - d.lastAt
	expected := d.slow / d.slowPeriod(now).Seconds() * idle.Seconds()
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
