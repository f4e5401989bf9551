package balance

import (
	"maps"
	"slices"
)

// SetOutOfService sets the ids of all servers that operators have taken out of service. They get no new
// requests, whatever the list says, until a later call omits them. An id need not be listed.
func (b *Balancer) SetOutOfService(now Time, ids []string) {
	out := make(map[string]Time, len(ids))
	for _, id := range ids {
		out[id] = now
		if since, was := b.outOfService[id]; was {
			out[id] = since
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.byID)) { // in a fixed order: resetEndpoint draws random numbers
		e := b.byID[id]
		_, isOut := out[id]
		if since, was := b.outOfService[id]; was && !isOut && since > e.warmUpStart {
			b.resetEndpoint(e, now)
		}
		e.outOfService = isOut
	}
	b.outOfService = out
	b.regroup(now)
	b.decay(now, 0)
}
