package balance

import (
	"cmp"
	"time"
)

// giveWay refuses a request of a heavy client that is beyond its fair share, while servers are full.
func (b *Balancer) giveWay(q *request, now Time) bool {
	if b.hitters == nil {
		return false
	}
	after, yields := b.hitters.Yields(now, now < b.tight, q.Client, uint64(q.ID))
	if yields {
		b.act.Refuse(q.ID, after)
		b.end(q)
	}
	return yields
}

// countWork counts a request as its answer took, or else as its class does; a second is what the classes take
// in the mean. Danger: servers do not do more when all answers take longer, and one can take for ever.
func (b *Balancer) countWork(q *request) {
	usual, sum := b.work[q.Class], 0.0
	for _, w := range b.work {
		sum += w
	}
	work := min(cmp.Or(q.took.Seconds(), usual), heavy*usual) * float64(len(b.work)) / sum
	b.hitters.Count(q.Client, time.Duration(work*float64(time.Second)), q.took > 0)
}
