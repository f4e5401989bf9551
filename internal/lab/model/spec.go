package model

import "time"

// Spec describes a server. Work is counted in seconds of a core of speed 1. The names of the fields are part of the plan's StepsHash.
type Spec struct {
	UID          string        `json:"uid"`
	Zone         string        `json:"zone"`
	Kind         string        `json:"kind"`
	Hint         float64       `json:"hint"` // published relative capacity; 0: 1, as of all others
	Cores        int           `json:"cores"`
	Speed        float64       `json:"speed"`         // of each core, relative to the reference of 1
	Slots        int           `json:"slots"`         // jobs that run at once
	Queue        int           `json:"queue"`         // jobs that may wait; further ones are rejected
	Thrash       float64       `json:"thrash"`        // share of the speed that each job per core beyond ThrashAt costs
	ThrashAt     float64       `json:"thrash_at"`     // jobs per core, running and waiting, from which the speed decreases
	ColdFrom     float64       `json:"cold_from"`     // share of the capacity right after a cold start, 0 to 1
	ColdFor      time.Duration `json:"cold_for"`      // duration of the warm-up, in which the capacity rises linearly
	FallMultiple float64       `json:"fall_multiple"` // of its capacity, that a warming server bears within FallFor
	FallFor      time.Duration `json:"fall_for"`      // window of that; 0: it never falls
	ErrorRate    float64       `json:"error_rate"`    // probability that a job fails after its work
	DropsExpired bool          `json:"drops_expired"` // a job whose deadline has passed is not started
	ConnCap      int           `json:"conn_cap"`      // connections that it accepts
	ConnWork     time.Duration `json:"conn_work"`     // additional work of the first job of a connection
	ReportEvery  time.Duration `json:"report_every"`  // interval of load reports; 0: none
	ReportDelay  time.Duration `json:"report_delay"`  // until a report is visible in responses
	Seed         uint64        `json:"seed"`
}

// Capacity is the work per second of a warm server.
func (s *Spec) Capacity() float64 { return float64(s.Cores) * s.Speed }

// SizeHint is the relative capacity that the server list publishes.
func (s *Spec) SizeHint() float64 {
	if s.Hint == 0 {
		return 1
	}
	return s.Hint
}

// Outcome is the result of a job.
type Outcome int

// The outcomes that PROTOCOL distinguishes.
const (
	Served   Outcome = iota
	Failed           // with an error after the work was done
	Rejected         // never started: queue full, draining, or its deadline had passed
)

// Job is the work of one attempt whose request has arrived completely.
type Job struct {
	Key      uint64  // that Done repeats; unique among the jobs of a server
	Work     float64 // seconds of a core of speed 1
	Deadline int64   // ns; 0: none
}

// Done reports the end of a job.
type Done struct {
	Key     uint64
	Outcome Outcome
	At      int64 // ns
}

// Fault is the fault state of a server. The zero value is none.
type Fault struct {
	Slow   float64 `json:"slow"`   // factor by which it is slower; 0 and 1: none
	Stolen float64 `json:"stolen"` // share of the machine that another program uses, 0 to 1
	Hang   bool    `json:"hang"`   // accepts jobs and does no work
}
