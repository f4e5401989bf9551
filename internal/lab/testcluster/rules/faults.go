package rules

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Fault is what was done to a machine of the system.
type Fault struct {
	Proxy   string // front address; empty: a control-plane node
	Kind    string // "kill", "term", "start", or what lasts
	At      Time
	Until   Time // of what lasts; else below At
	Keeper  bool // the control-plane node votes
	Machine string
}

// Kinds of faults.
const (
	Terminate = "term"  // a planned end begins
	Start     = "start" // a process is started
	Pause     = "pause" // a process is stopped and goes on
)

// RecordFault records what was done to a machine.
func (e *Evidence) RecordFault(t Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Faults = append(e.Faults, t)
}

// BeginFault records a fault that lasts until end is called.
func (e *Evidence) BeginFault(t Fault) (end func(at Time)) {
	t.Until = math.MaxInt64
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(e.Faults)
	e.Faults = append(e.Faults, t)
	return func(at Time) { e.Update(func() { e.Faults[i].Until = at }) }
}

// endedAt is when a fault has ended.
func (t *Fault) endedAt() Time { return max(t.At, t.Until) }

// isUnplanned reports whether a fault is neither a planned end nor a start.
func (t *Fault) isUnplanned() bool { return t.Kind != Terminate && t.Kind != Start }

// span is a stretch of time.
type span struct{ from, to Time }

// coreLosses gives the times in which half of the core or more had a fault.
func (e *Evidence) coreLosses() []span {
	if e.Core == 0 {
		return nil
	}
	need := (e.Core + 1) / 2
	var all []span
	for i := range e.Faults {
		if first := &e.Faults[i]; first.isOfCore() {
			// The ends of the faults that machines are in when this one begins, the last one first.
			ends := slices.SortedFunc(maps.Values(e.faultyMachines(first.At)), func(a, b Time) int { return cmp.Compare(b, a) })
			if len(ends) >= need {
				all = append(all, span{first.At, ends[need-1]})
			}
		}
	}
	return all
}

// isOfCore reports whether a fault is one of a control-plane node that is known by its machine.
func (t *Fault) isOfCore() bool { return t.Keeper && t.Machine != "" }

// faultyMachines gives the machines of the core that have a fault at a time, and until when.
func (e *Evidence) faultyMachines(at Time) map[string]Time {
	until := map[string]Time{}
	for i := range e.Faults {
		if t := &e.Faults[i]; t.isOfCore() && t.At <= at && t.endedAt() >= at {
			until[t.Machine] = max(until[t.Machine], t.endedAt())
		}
	}
	return until
}

// inContact reports whether nothing was done to a proxy, nor to most of the core, from at-Contact to at.
func (x *index) inContact(proxy string, at Time) bool {
	for i := range x.Faults {
		if t := &x.Faults[i]; t.Proxy == proxy && t.At <= at && at-min(t.endedAt(), at) < x.Bounds.Contact {
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

// CountInContact is how many of the clients' attempts ended at a proxy in contact: those by which rules that are bounded in time are judged.
func (e *Evidence) CountInContact() (n int) {
	x := &index{Evidence: e, coreLosses: e.coreLosses()}
	for _, t := range e.Attempts {
		if x.inContact(t.Proxy, t.Ended) {
			n++
		}
	}
	return n
}

// CountWaiting is how many of the clients' attempts began while their proxy was paused, and had not been given up when it went on.
func (e *Evidence) CountWaiting() (n int) {
	for i := range e.Faults {
		pause := &e.Faults[i]
		if pause.Kind != Pause || pause.Proxy == "" {
			continue
		}
		for _, t := range e.Attempts {
			if t.Proxy == pause.Proxy && t.Sent >= pause.At && t.Sent < pause.endedAt() && t.Ended > pause.endedAt() {
				n++
			}
		}
	}
	return n
}

// stretch is by how much bounds on configurations and evacuations grow at a time, as a control-plane node had a fault.
func (e *Evidence) stretch(from, to Time) Time {
	for i := range e.Faults {
		if t := &e.Faults[i]; t.Keeper && t.At <= to && t.endedAt() > from-e.Bounds.Contact {
			return e.Bounds.Stretch
		}
	}
	return 0
}
