package balance

import (
	"maps"
	"slices"
)

// Here is what staff take out of service by hand.

// SetOutOfService takes in the ids of all servers that staff have taken out. They get nothing new, whatever
// the list says, until another call leaves them out. An id need not be listed.
func (b *Balancer) SetOutOfService(now Time, ids []string) {
	out := make(map[string]Time, len(ids))
	for _, id := range ids {
		out[id] = now
		if since, was := b.outOfService[id]; was {
			out[id] = since
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.byID)) { // in one order: turns are drawn
		e := b.byID[id]
		if since, was := b.outOfService[id]; was && !contains(out, id) && since > e.warmUpStart {
			b.resetEndpoint(e, now)
		}
		e.outOfService = contains(out, id)
	}
	b.outOfService = out
	b.regroup(now)
	b.decay(now, 0)
}

func contains(ids map[string]Time, id string) bool {
	_, ok := ids[id]
	return ok
}

// resetEndpoint has what was seen of an endpoint's former process not count, and the present one be cold from
// a time on. Its first turn is drawn from one round of its own: sidecars that are told at once must neither
// send at once, nor all wait for a round that takes those with little traffic a minute.
//
// Danger: a server is resetEndpoint while it is out, and the list tells late. One taken for warm is pushed
// over. Whether it may have been is told by the start that counts: the listed one may lie ahead of this
// clock.
func (b *Balancer) resetEndpoint(e *endpoint, from Time) {
	e.latencySum, e.loadSum, e.failures, e.ejectedUntil = 0, 0, 0, 0
	e.warmUpStart, e.lastServed, e.failureKind = from, 0, 0
	e.rejections, e.reportedDegraded, e.condemnedSince = 0, false, 0
	e.turnCredit = b.rng.Float64()
}

// isReady tells whether an endpoint may be used at all.
func (e *endpoint) isReady() bool { return e.State == Ready && !e.outOfService }
