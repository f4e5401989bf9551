// Package model simulates a stand-in server as a state machine without I/O or clock, after the tables of BRIEF.
//
// Terms: a server has cores of some speed, slots and a queue. Jobs that have a slot run and share the cores equally (processor
// sharing); the work of a job continues after its caller cancels. A server that starts cold warms up evenly to its capacity, and falls, that
// is ends at once, if it is sent more work meanwhile than a multiple of what it can do. Virtual work is the work that each running job has
// been given since the start, so a job ends when it reaches the value at its start plus its own work.
//
// Invariants: time never runs backwards for a server; each accepted job is reported done exactly once, unless the server falls or is
// dropped; at most Slots jobs run and at most Queue wait.
//
// All times are ns of one clock that the caller chooses.
package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

const (
	warmupStep    = int64(100 * time.Millisecond) // ns for which the capacity of a warming server counts as constant
	overloadSlack = 1.1                           // of the budget: exceeding it by chance causes no fall
)

// Server is the state of one stand-in server. It is not safe for concurrent use. The time of calls must not decrease.
type Server struct {
	Spec
	rng       *rand.Rand
	now       int64
	startedAt int64 // when it started
	cold      bool
	fault     Fault
	draining  bool
	fallen    bool

	virtualWork float64 // seconds of a core of speed 1 for each running job since the start
	running     jobHeap
	waiting     []Job
	completed   []Done

	recentWork    []arrivedWork // that arrived within FallFor, while warming
	recentWorkSum float64       // of recentWork

	errorCount   int
	reports      []Report // not visible yet, after the last visible one
	lastReportAt int64
}

// arrivedWork is work that arrived at a time.
type arrivedWork struct {
	at   int64
	work float64
}

// New returns a server that starts at now, cold or warm.
func New(spec Spec, now int64, cold bool) *Server {
	return &Server{Spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, 1)), now: now, startedAt: now, cold: cold, lastReportAt: now}
}

// warmth is the share of its capacity that the server has at t, 0 to 1.
func (s *Server) warmth(t int64) float64 {
	if !s.cold || s.ColdFor <= 0 {
		return 1
	}
	progress := min(1, float64(t-s.startedAt)/float64(s.ColdFor))
	return s.ColdFrom + (1-s.ColdFrom)*progress
}

// Warming reports whether the server has less than its capacity at the time of the last call.
func (s *Server) Warming() bool { return s.warmth(s.now) < 1 }

// Fallen reports whether the server was sent too much while it warmed up. It does no work any more then.
func (s *Server) Fallen() bool { return s.fallen }

// JobCount is the number of jobs that run or wait.
func (s *Server) JobCount() int { return len(s.running) + len(s.waiting) }

// workRate is the virtual work per second at s.now.
func (s *Server) workRate() float64 {
	if s.fault.Hang || s.fallen {
		return 0
	}
	rate := s.Speed * s.warmth(s.now) * (1 - s.fault.Stolen) / max(1, s.fault.Slow)
	if n := len(s.running); n > s.Cores {
		rate *= float64(s.Cores) / float64(n)
	}
	if excessJobs := float64(s.JobCount())/float64(s.Cores) - s.ThrashAt; excessJobs > 0 {
		rate /= 1 + s.Thrash*excessJobs
	}
	return rate
}

// SetFault replaces the fault of the server.
func (s *Server) SetFault(now int64, fault Fault) {
	s.advance(now)
	s.fault = fault
}

// Drain makes the server reject all further jobs.
func (s *Server) Drain(now int64) {
	s.advance(now)
	s.draining = true
}

// Arrive submits a job whose request has arrived completely. It returns false where the job is rejected.
func (s *Server) Arrive(now int64, job Job) bool {
	s.advance(now)
	if s.checkOverload(job.Work); s.fallen {
		return false
	}
	full := len(s.running) >= s.Slots && len(s.waiting) >= s.Queue
	if s.draining || full {
		return false
	}
	s.waiting = append(s.waiting, job)
	s.startWaiting()
	return true
}

// checkOverload counts work that arrives at a warming server against a budget, a multiple of what it can do within FallFor, and makes the
// server fall where it exceeds that.
func (s *Server) checkOverload(work float64) {
	if !s.Warming() || s.FallFor <= 0 {
		s.recentWork, s.recentWorkSum = nil, 0
		return
	}
	s.recentWork = append(s.recentWork, arrivedWork{s.now, work})
	s.recentWorkSum += work
	for s.recentWork[0].at < s.now-int64(s.FallFor) {
		s.recentWorkSum -= s.recentWork[0].work
		s.recentWork = s.recentWork[1:]
	}
	if s.recentWorkSum > overloadSlack*s.FallMultiple*s.Capacity()*s.warmth(s.now)*s.FallFor.Seconds() {
		s.fallen = true
	}
}

// startWaiting starts waiting jobs while there are free slots.
func (s *Server) startWaiting() {
	for len(s.running) < s.Slots && len(s.waiting) > 0 {
		job := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.DropsExpired && job.Deadline != 0 && s.now > job.Deadline {
			s.completed = append(s.completed, Done{job.Key, Rejected, s.now})
			continue
		}
		heap.Push(&s.running, runningJob{s.virtualWork + job.Work, job.Key})
	}
}

// advance moves the state to now, from event to event: ends of jobs, and steps of the warm-up.
func (s *Server) advance(now int64) {
	for {
		until := max(now, s.now)
		if s.Warming() {
			until = min(until, s.now+warmupStep)
		}
		rate := s.workRate()
		if len(s.running) > 0 && rate > 0 {
			if at, endsAt := s.nextCompletion(rate); at <= until {
				s.virtualWork, s.now = endsAt, at
				s.completeFirst()
				continue
			}
		}
		if until == s.now {
			break
		}
		s.virtualWork += rate * float64(until-s.now) / 1e9
		s.now = until
	}
	s.recordReport()
}

// nextCompletion is when the first running job ends at a rate, and the virtual work by then.
func (s *Server) nextCompletion(rate float64) (at int64, endsAt float64) {
	endsAt = s.running[0].endsAt
	return s.now + int64(math.Ceil(max(0, endsAt-s.virtualWork)/rate*1e9)), endsAt
}

// completeFirst ends the running job that is due first.
func (s *Server) completeFirst() {
	job := heap.Pop(&s.running).(runningJob)
	outcome := Served
	if s.rng.Float64() < s.ErrorRate {
		outcome = Failed
		s.errorCount++
	}
	s.completed = append(s.completed, Done{job.key, outcome, s.now})
	s.startWaiting()
}

// Advance moves the state to now and returns the jobs that ended since the last call, in order of time.
func (s *Server) Advance(now int64) []Done {
	s.advance(now)
	completed := s.completed
	s.completed = nil
	return completed
}

// Next is when Advance has to be called next if no job arrives: at the end of a job or step of the warm-up; ok is false where nothing is
// due.
func (s *Server) Next() (at int64, ok bool) {
	if len(s.completed) > 0 {
		return s.now, true
	}
	rate := s.workRate()
	if len(s.running) == 0 || rate <= 0 {
		return 0, false
	}
	at, _ = s.nextCompletion(rate)
	if s.Warming() {
		at = min(at, s.now+warmupStep)
	}
	return at, true
}
