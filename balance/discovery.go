package balance

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// minDiscoverySpread is the least time over which first calls to discovery are spread, and the longest
	// backoff.
	minDiscoverySpread = time.Second
	// minDiscoveryBackoff is the first backoff after a failure; it doubles maxDiscoveryDoublings times.
	minDiscoveryBackoff   = time.Second
	maxDiscoveryDoublings = 3
	// defaultSize is the size of an endpoint that registered none.
	defaultSize = 1
)

// discoverySpread is the time within which all sidecars call discovery once.
func (b *Balancer) discoverySpread() time.Duration {
	return max(b.settings.DiscoveryDeadline/2, minDiscoverySpread)
}

// firstDiscoveryDelay spreads the first calls by the sidecars' index: all start at once, and discovery serves
// few calls at a time.
func (b *Balancer) firstDiscoveryDelay() time.Duration {
	turn := (float64(b.settings.Index) + b.rng.Float64()) / float64(b.settings.PeerCount)
	return time.Duration(turn * float64(b.discoverySpread()))
}

// discoveryBackoff is drawn from the half of a time that doubles with each failure: sidecars that call again
// all together would keep a weak discovery service from ever answering.
func (b *Balancer) discoveryBackoff() time.Duration {
	limit := min(minDiscoveryBackoff<<min(b.discoveryFailures, maxDiscoveryDoublings), b.discoverySpread())
	return time.Duration((1 + b.rng.Float64()) * float64(limit) / 2)
}

// subscribe asks discovery for changes, unless that was done.
func (b *Balancer) subscribe() {
	if !b.subscribed {
		b.subscribed = true
		b.actions.Subscribe()
	}
}

// Endpoints handles a list of discovery. ListRefused leaves the present list as it is.
func (b *Balancer) Endpoints(now Time, kind ListKind, list []Endpoint) {
	if kind == ListRefused {
		b.subscribed = false
		b.actions.Timer(b.discoveryBackoff(), discoveryToken)
		b.discoveryFailures++
		return
	}
	if kind == ListFull || kind == ListCached {
		for _, e := range b.endpoints {
			e.State = Removed
		}
	}
	for _, entry := range list {
		b.updateEndpoint(entry, now)
	}
	b.relistEndpoints()
	b.regroup(now)
	b.decay(now, 0)
	b.adjustZoneWeight(now)
	if kind != ListCached {
		b.discoveryFailures = 0
	}
}

// updateEndpoint takes over an entry of the list.
func (b *Balancer) updateEndpoint(entry Endpoint, now Time) {
	updated := b.byID[entry.ID]
	if updated == nil {
		if entry.State == Removed {
			return
		}
		updated = &endpoint{}
		b.byID[entry.ID] = updated
	}
	if updated.inGroup == nil || updated.Zone != entry.Zone || updated.Kind != entry.Kind {
		b.joinGroups(updated, entry)
	}
	updated.zoneIndex = ownZone
	if entry.Zone != b.settings.Zone {
		updated.zoneIndex = otherZones
	}
	if entry.Started != updated.Started {
		// A new process, though under the same id. One whose machine's clock is ahead has started by now all the
		// same; it would count as warming up until this clock has caught up.
		b.resetEndpoint(updated, min(entry.Started, now))
	}
	_, updated.outOfService = b.outOfService[entry.ID]
	updated.Endpoint = entry
	updated.Size = cmp.Or(max(entry.Size, 0), defaultSize)
}

// relistEndpoints lists the endpoints that are not removed, by id, and forgets removed ones without attempts
// in flight.
func (b *Balancer) relistEndpoints() {
	b.endpoints = b.endpoints[:0]
	for id, e := range b.byID {
		switch {
		case e.State != Removed:
			b.endpoints = append(b.endpoints, e)
		case e.inFlight == 0:
			delete(b.byID, id)
		}
	}
	slices.SortFunc(b.endpoints, func(x, y *endpoint) int { return strings.Compare(x.ID, y.ID) })
}
