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
)

// demandEstimate estimates the rate of arrivals. Its slow part is steady where arrivals are rare; its fast part bounds it from both
// sides, so that it follows where arrivals are many.
type demandEstimate struct {
	slow, fast float64 // arrivals, weighed by their age
	decayedAt  time.Duration
	lastAt     time.Duration // newest arrival
}

// observe counts arrivals.
func (d *demandEstimate) observe(now time.Duration, count int) {
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
	return max(0, lowest, min(d.slow/slowMeanAge.Seconds(), highest))
}

// gone reports whether arrivals have ended: for 2 s there was none, although about 3 were to be expected, or for 10 s.
func (d *demandEstimate) gone(now time.Duration) bool {
	const (
		shortest = 2 * time.Second
		longest  = 10 * time.Second
		expected = 3
	)
	idle := now - d.lastAt
	if idle < shortest {
		return false
	}
	return idle >= longest || d.perSecond(now)*idle.Seconds() >= expected
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
