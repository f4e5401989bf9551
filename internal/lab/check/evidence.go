package check

import (
	"fmt"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// Evidence is all that was seen. Times are ns of the lab's clock.
type Evidence struct {
	Plan            *plan.Plan
	Start           int64 // of the load
	ClientAttempts  []load.Attempt
	ServerAttempts  []ctl.Attempt
	ListUpdates     []ctl.ListUpdate
	Falls           []ctl.Event
	Exits           []proc.Exit
	Runs            [][]Run // of each sidecar: its processes, in order
	Peaks           []Peak  // of each sidecar
	Lateness        time.Duration
	RegistryUpdates []ctl.RegistryUpdate // what keepers wrote to readers
	RegistryCalls   []ctl.RegistryCall   // what the lab's own clients of keepers did
	Last            Last                 // of the keepers
	Gossip          []ctl.Gossip         // what sidecars said to each other, a second each

	Tables       []Table           // the route tables that the lab put
	RouteUpdates []ctl.RouteUpdate // what keepers wrote of them to sidecars

	WithoutFloods *Evidence // of the same seed without its floods; nil: that was not played

	Kills     []int64 // of keepers
	NodePeaks []NodePeak
}

// Run is one process of a sidecar, as far as faults go.
type Run struct {
	From   int64
	Killed int64 // when a fault sent it SIGKILL; 0: none did
	To     int64 // when it had ended; 0: not before the end of the load
	Stops  []Span
}

// Span is a time.
type Span struct{ From, To int64 }

// Peak is the most that a sidecar's processes held at a sample.
type Peak struct {
	MemoryMB    float64
	Descriptors int
}

// when words a time from the start of the load.
func (e *Evidence) when(t int64) string { return fmt.Sprintf("%.3fs", float64(t-e.Start)/1e9) }

// excused tells whether a fault kept a sidecar from answering what it took at sent by until: its process was killed, or
// stopped, between. Until a killed process has ended, its sockets still take what nobody will read.
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

// processStart is the start of the process of a sidecar that ran at t.
func (e *Evidence) processStart(sidecar int, t int64) int64 {
	start := int64(0)
	for _, run := range e.Runs[sidecar] {
		if run.From <= t {
			start = run.From
		}
	}
	return start
}

// stopped tells whether a sidecar was stopped within the time between, when it could read nothing.
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
