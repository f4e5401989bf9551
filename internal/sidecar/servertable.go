package sidecar

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance"
)

const (
	// rereadInterval is how long after a stale list, or the last reading of one, the complete list is asked for again.
	rereadInterval = 5 * time.Second
	// staleTimeout is how long a list service that went back counts as stale, as long as it answers. One that lost its count
	// is believed then.
	staleTimeout = 20 * time.Second
	maxRemoved   = 4096 // servers that are remembered as removed
)

// serverTable is what the platform's list has said, and the rules by which a list that goes back in time (a stale one) is taken
// in. It has no I/O and no clock.
//
// Invariants: a server that any list says drains or is removed gets nothing new from then on, also where that list is stale. A
// stale list brings no server back and removes none by leaving it out. A list that comes to the present version or goes on from
// there undoes what a stale one did, and a complete one that is still behind staleTimeout later is believed.
type serverTable struct {
	highestRev     int64 // of all lists, or noVersion
	version        int64 // that is held, or noVersion
	servers        map[string]Target
	removed        map[string]time.Time // those that were held, with the start of their process
	drainedByStale map[string]bool      // held, and draining or removed by a stale list alone
	staleSince     time.Time            // when the first stale list came; zero: none did
}

// newServerTable holds what was known before any list service said anything.
func newServerTable(known List) *serverTable {
	t := &serverTable{servers: map[string]Target{}, removed: map[string]time.Time{}, drainedByStale: map[string]bool{}}
	t.replace(known)
	t.reset()
	if len(known.Targets) > 0 {
		t.version = known.Version
	}
	return t
}

// resumeFrom is the version after which changes are wanted, or noVersion where it is the complete list.
func (t *serverTable) resumeFrom() int64 {
	if t.isStale() {
		return noVersion
	}
	return t.version
}

func (t *serverTable) isStale() bool { return !t.staleSince.IsZero() }

// reset has the next list be believed whatever its version is: it is another service's, or the first.
func (t *serverTable) reset() {
	t.highestRev, t.version, t.staleSince = noVersion, noVersion, time.Time{}
	clear(t.drainedByStale)
	clear(t.removed)
}

// apply takes in a list and returns what to go by from now on.
func (t *serverTable) apply(received List, now time.Time) List {
	isAhead := received.Version >= t.highestRev
	if isAhead && !t.isStale() {
		t.replace(received)
		return received
	}
	if !isAhead {
		if !t.staleTimedOut(received, now) {
			if !t.isStale() {
				t.staleSince = now
			}
			return t.applyStale(received)
		}
		t.reset()
	}
	t.replace(received)
	t.staleSince = time.Time{}
	clear(t.drainedByStale)
	return t.complete()
}

// staleTimedOut tells whether the service has been behind for so long that its complete list is believed.
func (t *serverTable) staleTimedOut(received List, now time.Time) bool {
	return received.Complete && t.isStale() && now.Sub(t.staleSince) >= staleTimeout
}

// replace takes a list as it stands.
func (t *serverTable) replace(received List) {
	t.highestRev, t.version = received.Version, received.Version
	before := t.servers
	if received.Complete {
		t.servers = make(map[string]Target, len(received.Targets))
	}
	for _, target := range received.Targets {
		if target.State == balance.Removed {
			t.markRemoved(target)
			continue
		}
		t.servers[target.ID] = target
		delete(t.removed, target.ID)
	}
	if !received.Complete {
		return
	}
	for id, target := range before {
		if _, still := t.servers[id]; !still {
			t.markRemoved(target)
		}
	}
}

func (t *serverTable) markRemoved(target Target) {
	delete(t.servers, target.ID)
	if len(t.removed) >= maxRemoved {
		clear(t.removed) // one that is forgotten may be brought back by a stale list
	}
	t.removed[target.ID] = target.Started
}

// applyStale is what to take of a stale list: which servers drain or are removed by it, and which are new by it.
func (t *serverTable) applyStale(received List) List {
	changes := List{Version: t.highestRev}
	for _, target := range received.Targets {
		if changed, ok := t.applyStaleTarget(target); ok {
			changes.Targets = append(changes.Targets, changed)
		}
	}
	return changes
}

// applyStaleTarget takes over what a stale list says of a server, and returns what changes by it, if anything.
func (t *serverTable) applyStaleTarget(target Target) (changed Target, ok bool) {
	own, isHeld := t.servers[target.ID]
	boot, isRemoved := t.removed[target.ID]
	switch {
	case target.State != balance.Ready && isHeld:
		// It is not removed: what was learned of it is wanted if the list is wrong.
		own.State = balance.Draining
		t.drainedByStale[target.ID] = true
		return own, true
	case target.State != balance.Ready, isRemoved && !target.Started.After(boot):
		return Target{}, false
	case !isHeld || target.Started.After(own.Started):
		t.servers[target.ID] = target
		delete(t.removed, target.ID)
		delete(t.drainedByStale, target.ID)
		return target, true
	case t.drainedByStale[target.ID]: // the list said that it drains, and now that it does not
		delete(t.drainedByStale, target.ID)
		return own, true
	}
	return Target{}, false
}

// complete is all that is held.
func (t *serverTable) complete() List {
	list := List{Version: t.highestRev, Complete: true}
	for _, target := range t.servers {
		list.Targets = append(list.Targets, target)
	}
	slices.SortFunc(list.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
