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
