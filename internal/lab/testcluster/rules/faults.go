package rules

import "math"

// Fault is a fault that was injected into a process of the system.
type Fault struct {
	Proxy        string // front address of a proxy; empty: the fault is of a control-plane node
	Kind         FaultKind
	At           Time
	Until        Time   // end of a fault that lasts; 0 for others
	ControlPlane bool   // the fault counts as one of a voter
	Machine      string // IP, where the fault counts for core losses
}

// FaultKind is a kind of fault. Checks distinguish the kinds below; all others are the same to them, and only named in reports.
type FaultKind string

// Kinds of faults that checks distinguish.
const (
	Terminate FaultKind = "term"  // a process is asked to shut down gracefully
	Start     FaultKind = "start" // a process is started
	Pause     FaultKind = "pause" // a process is stopped, and continued at Until
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
