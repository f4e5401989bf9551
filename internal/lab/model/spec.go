package model

import "time"

// Spec is what a server is. Work is counted in seconds of a core of speed 1.
type Spec struct {
	UID          string        `json:"uid"`
	Zone         string        `json:"zone"`
	Kind         string        `json:"kind"`
	Hint         float64       `json:"hint"` // what the list tells of its size, to compare with others; 0: as of all others
	Cores        int           `json:"cores"`
	Speed        float64       `json:"speed"` // of each core; 1 is the yardstick
	Slots        int           `json:"slots"` // jobs in work at once
	Queue        int           `json:"queue"` // jobs that may wait; more are turned away
	Thrash       float64       `json:"thrash"`
	ThrashAt     float64       `json:"thrash_at"` // jobs held per core from which each further one costs Thrash of the speed
	ColdFrom     float64       `json:"cold_from"` // share of the capacity at a cold start, 0 to 1
	ColdFor      time.Duration `json:"cold_for"`  // until it is warm, rising evenly
	FallMultiple float64       `json:"fall_multiple"`
	FallFor      time.Duration `json:"fall_for"`
	ErrorRate    float64       `json:"error_rate"`
	DropsExpired bool          `json:"drops_expired"` // a job whose time is up is not begun
	ConnCap      int           `json:"conn_cap"`
	ConnWork     time.Duration `json:"conn_work"` // that a new connection adds to its first job
	ReportEvery  time.Duration `json:"report_every"`
	ReportDelay  time.Duration `json:"report_delay"` // until a report is seen in answers
	Seed         uint64        `json:"seed"`
}

// Capacity is the work that a warm server does in a second.
func (s *Spec) Capacity() float64 { return float64(s.Cores) * s.Speed }

// SizeHint is what the list tells of the server's size.
func (s *Spec) SizeHint() float64 {
	if s.Hint == 0 {
		return 1
	}
	return s.Hint
}

// Outcome is how a job ended.
type Outcome int

// The ends of a job, as PROTOCOL tells them apart.
const (
	Served   Outcome = iota
	Failed           // an error after the work was done
	Rejected         // never begun: queue full, draining, or its time was up
)

// Job is one attempt that came whole.
type Job struct {
	Key      uint64
	Work     float64 // seconds of a core of speed 1
	Deadline int64   // ns of the caller's clock; 0: none
}

// Done is the end of a job.
type Done struct {
	Key     uint64
	Outcome Outcome
	At      int64
}

// Fault is what is wrong with a server now. The zero value is none.
type Fault struct {
	Slow   float64 `json:"slow"`   // times slower; 0 and 1: not
	Stolen float64 `json:"stolen"` // share of the machine that another program takes, 0 to 1
	Hang   bool    `json:"hang"`   // takes work, does none
}
