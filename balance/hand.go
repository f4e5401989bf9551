package balance

import (
	"maps"
	"slices"
)

// Here is what staff take out of service by hand.

// ByHand takes in the ids of all servers that staff have taken out. They get nothing new, whatever the list
// says, until another call leaves them out. An id need not be listed.
func (b *Balancer) ByHand(now Time, ids []string) {
	out := make(map[string]Time, len(ids))
	for _, id := range ids {
		out[id] = now
		if since, was := b.byHand[id]; was {
			out[id] = since
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.known)) { // in one order: turns are drawn
		e := b.known[id]
		if since, was := b.byHand[id]; was && !has(out, id) && since > e.from {
			b.restarted(e, now)
		}
		e.out = has(out, id)
	}
	b.byHand = out
	b.regroup(now)
	b.fade(now, 0)
}

func has(ids map[string]Time, id string) bool {
	_, ok := ids[id]
	return ok
}

// restarted has what was seen of an endpoint's former process not count, and the present one be cold from a
// time on. Its first turn is drawn from one round of its own: sidecars that are told at once must neither
// send at once, nor all wait for a round that takes those with little traffic a minute.
//
// Danger: a server is restarted while it is out, and the list tells late. One taken for warm is pushed over.
// Whether it may have been is told by the start that counts: the listed one may lie ahead of this clock.
func (b *Balancer) restarted(e *endpoint, from Time) {
	e.took, e.held, e.faults, e.until, e.from, e.served, e.struck = 0, 0, 0, 0, from, 0, 0
	e.turned, e.worse, e.doubted = 0, false, 0
	e.due = b.rng.Float64()
}

// ready tells whether an endpoint may be used at all.
func (e *endpoint) ready() bool { return e.State == Ready && !e.out }
