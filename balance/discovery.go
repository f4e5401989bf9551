package balance

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// minDiscoverySpread is the minimum of discoverySpread, over which the first calls to discovery are spread
	// and which also limits the backoff.
	minDiscoverySpread = time.Second
	// minDiscoveryBackoff is the backoff after the first failure; it doubles up to maxDiscoveryDoublings times.
	minDiscoveryBackoff   = time.Second
	maxDiscoveryDoublings = 3
	// defaultSize is the size of an endpoint that registered without a size.
	defaultSize = 1
)

// discoverySpread returns the time within which all sidecars call discovery once.
func (b *Balancer) discoverySpread() time.Duration {
	return max(b.settings.DiscoveryDeadline/2, minDiscoverySpread)
}

// firstDiscoveryDelay spreads the first calls by the index of the sidecars, because all sidecars may start
// together and discovery serves few calls at a time.
func (b *Balancer) firstDiscoveryDelay() time.Duration {
	turn := (float64(b.settings.Index) + b.rng.Float64()) / float64(b.settings.PeerCount)
	return time.Duration(turn * float64(b.discoverySpread()))
}

// discoveryBackoff returns a random backoff from the upper half of a limit that doubles with each failure.
// Sidecars that all retried together could keep an overloaded discovery service from ever answering.
func (b *Balancer) discoveryBackoff() time.Duration {
	limit := min(minDiscoveryBackoff<<min(b.discoveryFailures, maxDiscoveryDoublings), b.discoverySpread())
	return time.Duration((1 + b.rng.Float64()) * float64(limit) / 2)
}

// subscribe subscribes to changes from discovery unless already subscribed.
func (b *Balancer) subscribe() {
	if !b.subscribed {
		b.subscribed = true
		b.actions.Subscribe()
	}
}

// Endpoints handles a list from discovery. ListRefused leaves the current list unchanged.
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

// updateEndpoint adds or updates the endpoint of a list entry.
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
		// A new process under the same id. If the clock of its machine is ahead, its start time lies in the future
		// and it would count as warming up until this sidecar's clock has caught up.
		b.resetEndpoint(updated, min(entry.Started, now))
	}
	_, updated.outOfService = b.outOfService[entry.ID]
	updated.Endpoint = entry
	updated.Size = cmp.Or(max(entry.Size, 0), defaultSize)
}

// relistEndpoints rebuilds the sorted list of endpoints that are not removed, and deletes removed endpoints
// without attempts in flight.
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
