package balance

import (
	"cmp"
	"time"
)

// giveWay refuses a request of a heavy client that is beyond its fair share, while servers are full.
func (b *Balancer) giveWay(q *request, now Time) bool {
	if b.hitters == nil || now >= b.tight {
		return false
	}
	after, yields := b.hitters.Yields(now, q.Client, uint64(q.ID))
	if yields {
		b.act.Refuse(q.ID, after)
		b.end(q)
	}
	return yields
}

// countWork counts a request as its answer took, or else as its class does. Danger: one that takes for ever
// would make its client a heavy one.
func (b *Balancer) countWork(q *request) {
	if b.hitters != nil {
		mean := time.Duration(b.work[q.Class] * float64(time.Second))
		b.hitters.Count(q.Client, min(cmp.Or(q.took, mean), time.Duration(heavy)*mean), q.took > 0)
	}
}
