package sidecar

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance"
)

const (
	// rereadInterval is how long after a stale list, or after the last request for one, the complete list is requested again.
	rereadInterval = 5 * time.Second
	// staleTimeout is how long a list service that went back to an older revision counts as stale, as
	// long as it answers. After that its list is trusted: it may have lost its revision counter.
	staleTimeout = 20 * time.Second
	maxRemoved   = 4096 // removed servers that are remembered
)

// serverTable is the platform's list of servers, with the rules for applying a list that goes back to
// an older revision (a stale one). It does no I/O and reads no clock.
//
// Invariants: a server that any list, even a stale one, reports as draining or removed gets no new requests from then
// on. A stale list neither brings a server back nor removes one by leaving it out. A list at or after the present
// revision undoes the effects of a stale one, and a complete list that is still behind staleTimeout later is trusted.
type serverTable struct {
	highestRev     int64 // of all lists, or noVersion
	version        int64 // of the list that is held, or noVersion
	servers        map[string]Target
	removed        map[string]time.Time // servers that were held, with the start of their process
	drainedByStale map[string]bool      // servers that are held, but draining or removed according to a stale list only
	staleSince     time.Time            // when the first stale list arrived; zero: the list is not stale
}

// newServerTable returns a table with the servers that were known before any list arrived.
func newServerTable(known List) *serverTable {
	t := &serverTable{servers: map[string]Target{}, removed: map[string]time.Time{}, drainedByStale: map[string]bool{}}
	t.replace(known)
	t.reset()
	if len(known.Targets) > 0 {
		t.version = known.Version
	}
	return t
}

// resumeFrom returns the version after which changes are requested, or noVersion to request the complete list.
func (t *serverTable) resumeFrom() int64 {
	if t.isStale() {
		return noVersion
	}
	return t.version
}

func (t *serverTable) isStale() bool { return !t.staleSince.IsZero() }

// reset makes the table trust the next list whatever its version is: it is from another service, or the first one.
func (t *serverTable) reset() {
	t.highestRev, t.version, t.staleSince = noVersion, noVersion, time.Time{}
	clear(t.drainedByStale)
	clear(t.removed)
}

// apply applies a list and returns the resulting changes, or the complete list.
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

// staleTimedOut reports whether the service has been behind for so long that its complete list is trusted.
func (t *serverTable) staleTimedOut(received List, now time.Time) bool {
	return received.Complete && t.isStale() && now.Sub(t.staleSince) >= staleTimeout
}

// replace applies a list without the rules for stale ones.
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
		clear(t.removed) // a stale list may bring back a server that is forgotten here
	}
	t.removed[target.ID] = target.Started
}

// applyStale applies a stale list and returns the changes: the servers that it drains or removes, and those that are new.
func (t *serverTable) applyStale(received List) List {
	changes := List{Version: t.highestRev}
	for _, target := range received.Targets {
		if changed, ok := t.applyStaleTarget(target); ok {
			changes.Targets = append(changes.Targets, changed)
		}
	}
	return changes
}

// applyStaleTarget applies one entry of a stale list, and returns the resulting change, if any.
func (t *serverTable) applyStaleTarget(target Target) (changed Target, ok bool) {
	own, isHeld := t.servers[target.ID]
	boot, isRemoved := t.removed[target.ID]
	switch {
	case target.State != balance.Ready && isHeld:
		// The server is not removed: what was learned of it is needed if the list is wrong.
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
	case t.drainedByStale[target.ID]: // a stale list reported that it drains, and now reports that it does not
		delete(t.drainedByStale, target.ID)
		return own, true
	}
	return Target{}, false
}

// complete returns all servers that are held.
func (t *serverTable) complete() List {
	list := List{Version: t.highestRev, Complete: true}
	for _, target := range t.servers {
		list.Targets = append(list.Targets, target)
	}
	slices.SortFunc(list.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
