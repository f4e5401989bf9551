package sidecar

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance"
)

const (
	// rereadInterval is how long after a list that went back, or the last reading of one, the whole list is asked for anew.
	rereadInterval = 5 * time.Second
	// staleTimeout is how long a list service that went back is doubted, as long as it answers. One that lost its count is believed then.
	staleTimeout = 20 * time.Second
	maxRemoved   = 4096 // servers that are remembered as gone
)

// serverTable is what the platform's list has said, and the rules by which a list that goes back in time is taken in. It has no
// I/O and no clock.
//
// Invariants: what any list says drains or is gone gets nothing new from then on, also where that list is doubted. A doubted
// list brings nobody back and lets nobody go by leaving him out. One that comes to the revision held or goes on from there
// undoes what was doubted, and a whole one that is still behind staleTimeout later is believed.
type serverTable struct {
	highestRev     int64 // the highest that came, or noVersion
	version        int64 // the version that is held, or noVersion
	servers        map[string]Target
	removed        map[string]time.Time // who was held and went, with the start of his process
	drainedByStale map[string]bool      // held, and drained or gone by a doubted list alone
	staleSince     time.Time            // the first doubted list came; zero: none is doubted
}

// newServerTable holds what was known before any list service said anything.
func newServerTable(known List) *serverTable {
	l := &serverTable{servers: map[string]Target{}, removed: map[string]time.Time{}, drainedByStale: map[string]bool{}}
	l.replace(known)
	l.reset()
	if len(known.Targets) > 0 {
		l.version = known.Version
	}
	return l
}

// resumeFrom is the version after which changes are wanted, or noVersion where it is the whole list.
func (l *serverTable) resumeFrom() int64 {
	if l.isStale() {
		return noVersion
	}
	return l.version
}

func (l *serverTable) isStale() bool { return !l.staleSince.IsZero() }

// reset has the next list be believed whatever its revision is: it is another service's, or the first.
func (l *serverTable) reset() {
	l.highestRev, l.version, l.staleSince = noVersion, noVersion, time.Time{}
	clear(l.drainedByStale)
	clear(l.removed)
}

// apply takes in a list and returns what to go by from now on.
func (l *serverTable) apply(in List, now time.Time) List {
	ahead := in.Version >= l.highestRev
	switch {
	case ahead && !l.isStale():
		l.replace(in)
		return in
	case !ahead && !(in.Complete && l.isStale() && now.Sub(l.staleSince) >= staleTimeout):
		if !l.isStale() {
			l.staleSince = now
		}
		return l.applyStale(in)
	case !ahead:
		l.reset()
	}
	l.replace(in)
	l.staleSince = time.Time{}
	clear(l.drainedByStale)
	return l.complete()
}

// replace takes a list as it stands.
func (l *serverTable) replace(in List) {
	l.highestRev, l.version = in.Version, in.Version
	before := l.servers
	if in.Complete {
		l.servers = make(map[string]Target, len(in.Targets))
	}
	for _, t := range in.Targets {
		if t.State == balance.Removed {
			l.noteRemoved(t)
			continue
		}
		l.servers[t.ID] = t
		delete(l.removed, t.ID)
	}
	if in.Complete {
		for id, t := range before {
			if _, still := l.servers[id]; !still {
				l.noteRemoved(t)
			}
		}
	}
}

func (l *serverTable) noteRemoved(t Target) {
	delete(l.servers, t.ID)
	if len(l.removed) >= maxRemoved {
		clear(l.removed) // who is forgotten may be taken for there once more, by a list that went back
	}
	l.removed[t.ID] = t.Boot
}

// applyStale is what to take of a doubted list: who drains or is gone by it, and who is new by it.
func (l *serverTable) applyStale(in List) List {
	out := List{Version: l.highestRev}
	for _, t := range in.Targets {
		own, held := l.servers[t.ID]
		boot, gone := l.removed[t.ID]
		switch {
		case t.State != balance.Ready && held:
			// Not removed: what was learnt of it is wanted if the doubt was right.
			own.State = balance.Draining
			l.drainedByStale[t.ID] = true
			out.Targets = append(out.Targets, own)
		case t.State != balance.Ready, gone && !t.Boot.After(boot):
		case !held || t.Boot.After(own.Boot):
			l.servers[t.ID] = t
			delete(l.removed, t.ID)
			delete(l.drainedByStale, t.ID)
			out.Targets = append(out.Targets, t)
		case l.drainedByStale[t.ID]: // it said that it drains, and now that it does not
			delete(l.drainedByStale, t.ID)
			out.Targets = append(out.Targets, own)
		}
	}
	return out
}

// complete is all that is held.
func (l *serverTable) complete() List {
	out := List{Version: l.highestRev, Complete: true}
	for _, t := range l.servers {
		out.Targets = append(out.Targets, t)
	}
	slices.SortFunc(out.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
