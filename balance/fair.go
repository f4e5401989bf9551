package balance

import (
	"cmp"
	"time"
)

// shedHeavyClient refuses a request of a heavy client that is beyond its fair share, while servers are full.
func (b *Balancer) shedHeavyClient(q *request, now Time) bool {
	if b.hitters == nil {
		return false
	}
	after, yields := b.hitters.ShouldReject(now, now < b.sheddingUntil, q.Client, uint64(q.ID))
	if yields {
		b.actions.Refuse(q.ID, after)
		b.finish(q)
	}
	return yields
}

// observeClientWork counts a request as its answer took, or else as its class does; a second is what the
// classes take in the mean. Danger: servers do not do more when all answers take longer, and one can take for
// ever.
func (b *Balancer) observeClientWork(q *request) {
	usual, sum := b.meanSeconds[q.Class], 0.0
	for _, w := range b.meanSeconds {
		sum += w
	}
	work := min(cmp.Or(q.latency.Seconds(), usual), heavyMultiple*usual) * float64(len(b.meanSeconds)) / sum
	b.hitters.Observe(q.Client, time.Duration(work*float64(time.Second)), q.latency > 0)
}
