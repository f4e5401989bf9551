package rules

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Fault is a fault that was injected into a process of the system.
type Fault struct {
	Proxy        string // front address of a proxy; empty: the fault is of a control-plane node
	Kind         string // Terminate, Start, Pause, or another word for reports
	At           Time
	Until        Time   // end of a fault that lasts; 0 for others
	ControlPlane bool   // the fault counts as one of a voter
	Machine      string // IP, where the fault counts for core losses
}

// Kinds of faults that checks distinguish.
const (
	Terminate = "term"  // a process is asked to shut down gracefully
	Start     = "start" // a process is started
	Pause     = "pause" // a process is stopped, and continued at Until
)

// RecordFault records a fault that does not last.
func (e *Evidence) RecordFault(fault Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Faults = append(e.Faults, fault)
}

// BeginFault records a fault that lasts until end is called with the time of its end.
func (e *Evidence) BeginFault(fault Fault) (end func(at Time)) {
	fault.Until = math.MaxInt64
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(e.Faults)
	e.Faults = append(e.Faults, fault)
	return func(at Time) { e.Update(func() { e.Faults[i].Until = at }) }
}

// endedAt returns when a fault ended.
func (f *Fault) endedAt() Time { return max(f.At, f.Until) }

// isUnplanned reports whether a fault is neither a graceful shutdown nor a start.
func (f *Fault) isUnplanned() bool { return f.Kind != Terminate && f.Kind != Start }

// span is a period of time.
type span struct{ from, to Time }

// coreLosses returns the periods in which half of the voters or more had a fault.
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

// inContact reports whether a proxy is in contact at a time: it had no fault, and there was no core loss, since Bounds.Contact before.
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

// stretch returns by how much the bounds ConfigApply and Evacuate grow for a period: by Bounds.Stretch if a voter had a fault in it or within
// Bounds.Contact before, else by 0.
func (e *Evidence) stretch(from, to Time) Time {
	for i := range e.Faults {
		if fault := &e.Faults[i]; fault.ControlPlane && fault.At <= to && fault.endedAt() > from-e.Bounds.Contact {
			return e.Bounds.Stretch
		}
	}
	return 0
}
