// Package model is a stand-in server as a state machine without I/O or clock, after BRIEF's tables: cores of some speed,
// slots and a queue, work that goes on after a cancel, a cold start and the fall of a cold server that is sent too much.
//
// Invariants: time never runs backwards for a server; every job accepted is reported done once, unless the server falls
// or is dropped; at most Slots jobs run and at most Queue wait.
package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

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

// Report is a server's load as it was at some moment in the past.
type Report struct {
	InFlight        int
	Waiting         int
	ErrorsPerSecond float64 // a second
	At              int64   // when it was so
}

// Fault is what is wrong with a server now. The zero value is none.
type Fault struct {
	Slow   float64 `json:"slow"`   // times slower; 0 and 1: not
	Stolen float64 `json:"stolen"` // share of the machine that another program takes, 0 to 1
	Hang   bool    `json:"hang"`   // takes work, does none
}

const (
	coldStep  = int64(100 * time.Millisecond) // for which the capacity of a warming server counts as constant
	fallSlack = 1.1                           // over the budget by chance is no fall
)

// Server is the state of one. It is not safe for concurrent use.
type Server struct {
	Spec
	rng      *rand.Rand
	now      int64
	boot     int64 // the start that it is cold from
	cold     bool
	trouble  Fault
	draining bool
	fallen   bool

	done    float64 // virtual work that each running job has been given since the start
	running jobs
	waiting []Job
	out     []Done

	sent    []sent  // within FallFor, while cold
	sentSum float64 // of sent

	errors   int
	reports  []Report // not seen yet, or the last seen
	reported int64
}

type sent struct {
	at   int64
	work float64
}

// New is a server that starts at now, cold or long warm.
func New(spec Spec, now int64, cold bool) *Server {
	return &Server{Spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, 1)), now: now, boot: now, cold: cold, reported: now}
}

// warmth is the share of the capacity there is at t.
func (s *Server) warmth(t int64) float64 {
	if !s.cold || s.ColdFor <= 0 {
		return 1
	}
	part := min(1, float64(t-s.boot)/float64(s.ColdFor))
	return s.ColdFrom + (1-s.ColdFrom)*part
}

// Warming tells whether the server is still short of its capacity at the time of the last call.
func (s *Server) Warming() bool { return s.warmth(s.now) < 1 }

// Fallen tells whether it was sent too much while cold. It does nothing any more.
func (s *Server) Fallen() bool { return s.fallen }

// JobCount is the number of jobs that it holds.
func (s *Server) JobCount() int { return len(s.running) + len(s.waiting) }

// rate is the virtual work a second that each running job is given at s.now.
func (s *Server) rate() float64 {
	if s.trouble.Hang || s.fallen {
		return 0
	}
	r := s.Speed * s.warmth(s.now) * (1 - s.trouble.Stolen) / max(1, s.trouble.Slow)
	if n := len(s.running); n > s.Cores {
		r *= float64(s.Cores) / float64(n)
	}
	if crowd := float64(s.JobCount())/float64(s.Cores) - s.ThrashAt; crowd > 0 {
		r /= 1 + s.Thrash*crowd
	}
	return r
}

// SetFault changes what is wrong.
func (s *Server) SetFault(now int64, t Fault) {
	s.advance(now)
	s.trouble = t
}

// Drain has it turn away what comes from now on.
func (s *Server) Drain(now int64) {
	s.advance(now)
	s.draining = true
}

// Arrive gives it a job that came whole. It tells false where the job is turned away.
func (s *Server) Arrive(now int64, j Job) bool {
	s.advance(now)
	if s.fall(j.Work); s.fallen {
		return false
	}
	if s.draining || len(s.running) >= s.Slots && len(s.waiting) >= s.Queue {
		return false
	}
	s.waiting = append(s.waiting, j)
	s.fill()
	return true
}

// fall counts work sent to a cold server against the budget of what it can do.
func (s *Server) fall(work float64) {
	if !s.Warming() || s.FallFor <= 0 {
		s.sent, s.sentSum = nil, 0
		return
	}
	s.sent = append(s.sent, sent{s.now, work})
	s.sentSum += work
	for s.sent[0].at < s.now-int64(s.FallFor) {
		s.sentSum -= s.sent[0].work
		s.sent = s.sent[1:]
	}
	if s.sentSum > fallSlack*s.FallMultiple*s.Capacity()*s.warmth(s.now)*s.FallFor.Seconds() {
		s.fallen = true
	}
}

// fill begins waiting jobs while there are slots.
func (s *Server) fill() {
	for len(s.running) < s.Slots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.DropsExpired && j.Deadline != 0 && s.now > j.Deadline {
			s.out = append(s.out, Done{j.Key, Rejected, s.now})
			continue
		}
		heap.Push(&s.running, running{s.done + j.Work, j.Key})
	}
}

// advance moves the state to now.
func (s *Server) advance(now int64) {
	for {
		until := max(now, s.now)
		if s.Warming() {
			until = min(until, s.now+coldStep)
		}
		r := s.rate()
		if len(s.running) > 0 && r > 0 {
			if at, ends := s.finish(r); at <= until {
				s.done, s.now = ends, at
				s.end()
				continue
			}
		}
		if until == s.now {
			break
		}
		s.done += r * float64(until-s.now) / 1e9
		s.now = until
	}
	s.report()
}

// finish is when the first running job ends at rate r, and the virtual work by then.
func (s *Server) finish(r float64) (at int64, ends float64) {
	ends = s.running[0].ends
	return s.now + int64(math.Ceil(max(0, ends-s.done)/r*1e9)), ends
}

// end takes the first running job out.
func (s *Server) end() {
	j := heap.Pop(&s.running).(running)
	o := Served
	if s.rng.Float64() < s.ErrorRate {
		o = Failed
		s.errors++
	}
	s.out = append(s.out, Done{j.key, o, s.now})
	s.fill()
}

// Advance moves the state to now and returns what ended since the last call.
func (s *Server) Advance(now int64) []Done {
	s.advance(now)
	out := s.out
	s.out = nil
	return out
}

// Next is when something ends if nothing else comes; ok is false where nothing will.
func (s *Server) Next() (at int64, ok bool) {
	if len(s.out) > 0 {
		return s.now, true
	}
	r := s.rate()
	if len(s.running) == 0 || r <= 0 {
		return 0, false
	}
	at, _ = s.finish(r)
	if s.Warming() {
		at = min(at, s.now+coldStep)
	}
	return at, true
}

func (s *Server) report() {
	if s.ReportEvery <= 0 || s.now-s.reported < int64(s.ReportEvery) {
		return
	}
	since := float64(s.now-s.reported) / 1e9
	s.reports = append(s.reports, Report{s.JobCount(), len(s.waiting), float64(s.errors) / since, s.now})
	s.reported, s.errors = s.now, 0
	for len(s.reports) > 1 && s.reports[1].At+int64(s.ReportDelay) <= s.now {
		s.reports = s.reports[1:]
	}
}

// Report is what an answer at the time of the last call tells of the load; ok is false where nothing is to be seen yet.
func (s *Server) Report() (r Report, ok bool) {
	if len(s.reports) == 0 || s.reports[0].At+int64(s.ReportDelay) > s.now {
		return Report{}, false
	}
	return s.reports[0], true
}

type running struct {
	ends float64
	key  uint64
}

type jobs []running

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].ends < j[b].ends }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)        { *j = append(*j, x.(running)) }
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}
