package rules

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// inContact reports whether a proxy is in contact at a time (RULES.md, "In touch"): it had no fault, and there was no core loss, since
// Bounds.Contact before.
func (x *index) inContact(proxy string, at Time) bool {
	for i := range x.Faults {
		if fault := &x.Faults[i]; fault.Proxy == proxy && fault.At <= at && at-min(fault.endedAt(), at) < x.Bounds.Contact {
			return false
		}
	}
	for _, s := range x.coreLosses {
		if s.from <= at && at-min(s.to, at) < x.Bounds.Contact {
			return false
		}
	}
	return true
}

// span is a period of time.
type span struct{ from, to Time }

// coreLosses returns the periods in which half of the voters or more had a fault, none if the number of voters is not known. A loss begins
// with one of its faults, and ends when fewer than half of the voters still have one of those.
func (e *Evidence) coreLosses() []span {
	if e.Core == 0 {
		return nil
	}
	need := (e.Core + 1) / 2
	var all []span
	for i := range e.Faults {
		if first := &e.Faults[i]; first.isOfCore() {
			// The ends of the faults that voters have when this one begins, the latest first.
			ends := slices.SortedFunc(maps.Values(e.faultyMachines(first.At)), func(a, b Time) int { return cmp.Compare(b, a) })
			if len(ends) >= need {
				all = append(all, span{first.At, ends[need-1]})
			}
		}
	}
	return all
}

// outOfContact returns the periods in which some proxy is out of contact, in order of their starts. Each one excludes its end.
func (x *index) outOfContact() []span {
	var all []span
	add := func(from, to Time) {
		all = append(all, span{from, min(to, math.MaxInt64-x.Bounds.Contact) + x.Bounds.Contact})
	}
	for i := range x.Faults {
		if fault := &x.Faults[i]; fault.Proxy != "" {
			add(fault.At, fault.endedAt())
		}
	}
	for _, loss := range x.coreLosses {
		add(loss.from, loss.to)
	}
	slices.SortFunc(all, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	return all
}

// isOfCore reports whether a fault is one of a voter, and counts for core losses.
func (f *Fault) isOfCore() bool { return f.ControlPlane && f.Machine != "" }

// faultyMachines returns the machines whose voters have a fault at a time, and until when.
func (e *Evidence) faultyMachines(at Time) map[string]Time {
	until := map[string]Time{}
	for i := range e.Faults {
		if fault := &e.Faults[i]; fault.isOfCore() && fault.At <= at && fault.endedAt() >= at {
			until[fault.Machine] = max(until[fault.Machine], fault.endedAt())
		}
	}
	return until
}

// stretch returns by how much the bounds ConfigApply and Evacuate grow for a period (RULES.md, "In touch"): by Bounds.Stretch if a fault that
// counts as one of a voter was in it or within Bounds.Contact before, else by 0.
func (e *Evidence) stretch(from, to Time) Time {
	for i := range e.Faults {
		if fault := &e.Faults[i]; fault.ControlPlane && fault.At <= to && fault.endedAt() > from-e.Bounds.Contact {
			return e.Bounds.Stretch
		}
	}
	return 0
}

// CountInContact returns how many attempts ended at a proxy in contact. By these the rules with a bound in time are judged.
func (e *Evidence) CountInContact() (n int) {
	x := &index{Evidence: e, coreLosses: e.coreLosses()}
	for _, attempt := range e.Attempts {
		if x.inContact(attempt.Proxy, attempt.Ended) {
			n++
		}
	}
	return n
}

// CountWaiting returns how many attempts began while their proxy was paused, and ended after it continued.
func (e *Evidence) CountWaiting() (n int) {
	for i := range e.Faults {
		pause := &e.Faults[i]
		if pause.Kind != Pause || pause.Proxy == "" {
			continue
		}
		for _, attempt := range e.Attempts {
			if attempt.Proxy == pause.Proxy && attempt.Sent >= pause.At && attempt.Sent < pause.endedAt() && attempt.Ended > pause.endedAt() {
				n++
			}
		}
	}
	return n
}
