package check

import (
	"fmt"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// Evidence is all that was observed of a run. Times are ns of the lab's clock.
type Evidence struct {
	Plan            *plan.Plan
	Start           int64 // of the load
	ClientAttempts  []load.Attempt
	ServerAttempts  []ctl.Attempt
	ListUpdates     []ctl.ListUpdate
	Falls           []ctl.Event // of servers
	Exits           []proc.Exit // of all processes
	Runs            [][]Run     // by sidecar: its processes, in order
	Peaks           []Peak      // by sidecar
	Lateness        time.Duration
	RegistryUpdates []ctl.RegistryUpdate // what registry nodes wrote to readers
	RegistryCalls   []ctl.RegistryCall   // of the lab's own clients
	Last            Last                 // of the registry
	Gossip          []ctl.Gossip         // between sidecars, one record a second

	Tables       []Table           // the route tables that the lab put, in order
	RouteUpdates []ctl.RouteUpdate // what registry nodes wrote of them to sidecars

	WithoutFloods *Evidence // a run of the same seed without its floods; nil: none

	Kills     []int64 // of registry nodes
	NodePeaks []NodePeak
}

// Run is one process of a sidecar, as far as faults affect it.
type Run struct {
	From   int64
	Killed int64 // when a fault sent it SIGKILL; 0: none did
	To     int64 // when it had ended; 0: not before the end of the load
	Stops  []Span
}

// Span is a period, from its beginning to its end.
type Span struct{ From, To int64 }

// Peak is the largest use of resources by a sidecar's processes at a sample.
type Peak struct {
	MemoryMB    float64
	Descriptors int
}

// when formats a time as counted from the start of the load.
func (e *Evidence) when(t int64) string { return fmt.Sprintf("%.3fs", float64(t-e.Start)/1e9) }

// excused reports whether a fault kept a sidecar from answering what it accepted at sent by until: its process was killed or stopped in
// between. Until a killed process has ended, its sockets still accept what nobody will read.
func (e *Evidence) excused(sidecar int, sent, until int64) bool {
	for _, run := range e.Runs[sidecar] {
		if run.Killed != 0 && run.Killed <= until && run.To >= sent {
			return true
		}
		for _, stop := range run.Stops {
			if stop.From <= until && stop.To >= sent {
				return true
			}
		}
	}
	return false
}

// processStart is when the process of a sidecar that ran at t had started.
func (e *Evidence) processStart(sidecar int, t int64) int64 {
	start := int64(0)
	for _, run := range e.Runs[sidecar] {
		if run.From <= t {
			start = run.From
		}
	}
	return start
}

// stopped reports whether a sidecar was stopped in the period, or within the grace before its end, so that it could read nothing.
func (e *Evidence) stopped(sidecar int, from, to int64) bool {
	grace := int64(plan.Millis(e.Plan.File.Limits.DrainGraceMS))
	for _, run := range e.Runs[sidecar] {
		for _, stop := range run.Stops {
			if stop.From <= to && stop.To+grace >= from && to < stop.To+grace {
				return true
			}
		}
	}
	return false
}
