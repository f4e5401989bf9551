package sidecar

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance"
)

const (
	// rereadEvery is how long after a list that went back, or the last reading of one, the whole list is asked for anew.
	rereadEvery = 5 * time.Second
	// believeAfter is how long a list service that went back is doubted, as long as it answers. One that lost its count is believed then.
	believeAfter = 20 * time.Second
	mostGone     = 4096 // servers that are remembered as gone
)

// ledger is what the platform's list has said, and the rules by which a list that goes back in time is taken in. It has no
// I/O and no clock.
//
// Invariants: what any list says drains or is gone gets nothing new from then on, also where that list is doubted. A doubted
// list brings nobody back and lets nobody go by leaving him out. One that comes to the revision held or goes on from there
// undoes what was doubted, and a whole one that is still behind believeAfter later is believed.
type ledger struct {
	rev     int64 // the highest that came, or noRev
	known   int64 // the version that is held, or noRev
	held    map[string]Target
	gone    map[string]time.Time // who was held and went, with the start of his process
	refused map[string]bool      // held, and drained or gone by a doubted list alone
	since   time.Time            // the first doubted list came; zero: none is doubted
}

// newLedger holds what was known before any list service said anything.
func newLedger(known List) *ledger {
	l := &ledger{held: map[string]Target{}, gone: map[string]time.Time{}, refused: map[string]bool{}}
	l.enter(known)
	l.forget()
	if len(known.Targets) > 0 {
		l.known = known.Rev
	}
	return l
}

// from is the version after which changes are wanted, or noRev where it is the whole list.
func (l *ledger) from() int64 {
	if l.doubts() {
		return noRev
	}
	return l.known
}

func (l *ledger) doubts() bool { return !l.since.IsZero() }

// forget has the next list be believed whatever its revision is: it is another service's, or the first.
func (l *ledger) forget() {
	l.rev, l.known, l.since = noRev, noRev, time.Time{}
	clear(l.refused)
	clear(l.gone)
}

// take takes in a list and returns what to go by from now on.
func (l *ledger) take(in List, now time.Time) List {
	ahead := in.Rev >= l.rev
	switch {
	case ahead && !l.doubts():
		l.enter(in)
		return in
	case !ahead && !(in.All && l.doubts() && now.Sub(l.since) >= believeAfter):
		if !l.doubts() {
			l.since = now
		}
		return l.safe(in)
	case !ahead:
		l.forget()
	}
	l.enter(in)
	l.since = time.Time{}
	clear(l.refused)
	return l.whole()
}

// enter takes a list as it stands.
func (l *ledger) enter(in List) {
	l.rev, l.known = in.Rev, in.Rev
	before := l.held
	if in.All {
		l.held = make(map[string]Target, len(in.Targets))
	}
	for _, t := range in.Targets {
		if t.State == balance.Removed {
			l.bury(t)
			continue
		}
		l.held[t.ID] = t
		delete(l.gone, t.ID)
	}
	if in.All {
		for id, t := range before {
			if _, still := l.held[id]; !still {
				l.bury(t)
			}
		}
	}
}

func (l *ledger) bury(t Target) {
	delete(l.held, t.ID)
	if len(l.gone) >= mostGone {
		clear(l.gone) // who is forgotten may be taken for there once more, by a list that went back
	}
	l.gone[t.ID] = t.Boot
}

// safe is what to take of a doubted list: who drains or is gone by it, and who is new by it.
func (l *ledger) safe(in List) List {
	out := List{Rev: l.rev}
	for _, t := range in.Targets {
		own, held := l.held[t.ID]
		boot, gone := l.gone[t.ID]
		switch {
		case t.State != balance.Ready && held:
			// Not removed: what was learnt of it is wanted if the doubt was right.
			own.State = balance.Draining
			l.refused[t.ID] = true
			out.Targets = append(out.Targets, own)
		case t.State != balance.Ready, gone && !t.Boot.After(boot):
		case !held || t.Boot.After(own.Boot):
			l.held[t.ID] = t
			delete(l.gone, t.ID)
			delete(l.refused, t.ID)
			out.Targets = append(out.Targets, t)
		case l.refused[t.ID]: // it said that it drains, and now that it does not
			delete(l.refused, t.ID)
			out.Targets = append(out.Targets, own)
		}
	}
	return out
}

// whole is all that is held.
func (l *ledger) whole() List {
	out := List{Rev: l.rev, All: true}
	for _, t := range l.held {
		out.Targets = append(out.Targets, t)
	}
	slices.SortFunc(out.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
