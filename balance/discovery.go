package balance

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Endpoints takes in discovery's news. Entries that discovery refused leave the list in hand as it is.
func (b *Balancer) Endpoints(now Time, kind ListKind, list []Endpoint) {
	switch kind {
	case ListRefused:
		// Danger: sidecars that call again at once, all together, keep a weak list service from ever answering.
		b.subscribed = false
		wait := min(time.Second<<min(b.discoveryFailures, 3), max(b.settings.DiscoveryDeadline/2, time.Second))
		b.discoveryFailures++
		b.actions.Timer(time.Duration((1+b.rng.Float64())*float64(wait)/2), discoveryToken)
		return
	case ListFull, ListCached:
		for _, e := range b.endpoints {
			e.State = Removed
		}
	}
	for _, entry := range list {
		e := b.byID[entry.ID]
		if e == nil && entry.State == Removed {
			continue
		}
		if e == nil {
			e = &endpoint{}
			b.byID[entry.ID] = e
		}
		if e.inGroup == nil || e.Zone != entry.Zone || e.Kind != entry.Kind {
			e.inGroup = b.groupMembership(entry)
			e.homeGroup = b.groups[slices.Index(e.inGroup, true)]
		}
		if e.zoneIndex = 0; entry.Zone != b.settings.Zone {
			e.zoneIndex = 1
		}
		if entry.Started != e.Started {
			// A new process, though under the same id. Danger: one whose machine's clock is ahead has started
			// by now all the same, and would count as cold until this clock has caught up.
			b.resetEndpoint(e, min(entry.Started, now))
		}
		e.outOfService = contains(b.outOfService, entry.ID)
		e.Endpoint, e.Size = entry, cmp.Or(max(entry.Size, 0), 1)
	}
	b.endpoints = b.endpoints[:0]
	for id, e := range b.byID {
		if e.State != Removed {
			b.endpoints = append(b.endpoints, e)
		} else if e.inFlight == 0 {
			delete(b.byID, id)
		}
	}
	slices.SortFunc(b.endpoints, func(x, y *endpoint) int { return strings.Compare(x.ID, y.ID) })
	b.regroup(now)
	b.decay(now, 0)
	b.adjustZoneWeight(now)
	if kind != ListCached {
		b.discoveryFailures = 0
	}
}
