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

const (
	warmupStep    = int64(100 * time.Millisecond) // for which the capacity of a warming server counts as constant
	overloadSlack = 1.1                           // over the budget by chance is no fall
)

// Server is the state of one. It is not safe for concurrent use.
type Server struct {
	Spec
	rng      *rand.Rand
	now      int64
	bootAt   int64 // the start that it is cold from
	cold     bool
	fault    Fault
	draining bool
	fallen   bool

	virtualWork float64 // virtual work that each running job has been given since the start
	running     jobHeap
	waiting     []Job
	completed   []Done

	recentWork    []arrivedWork // within FallFor, while cold
	recentWorkSum float64       // of sent

	errorCount   int
	reports      []Report // not seen yet, or the last seen
	lastReportAt int64
}

type arrivedWork struct {
	at   int64
	work float64
}

// New is a server that starts at now, cold or long warm.
func New(spec Spec, now int64, cold bool) *Server {
	return &Server{Spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, 1)), now: now, bootAt: now, cold: cold, lastReportAt: now}
}

// warmth is the share of the capacity there is at t.
func (s *Server) warmth(t int64) float64 {
	if !s.cold || s.ColdFor <= 0 {
		return 1
	}
	progress := min(1, float64(t-s.bootAt)/float64(s.ColdFor))
	return s.ColdFrom + (1-s.ColdFrom)*progress
}

// Warming tells whether the server is still short of its capacity at the time of the last call.
func (s *Server) Warming() bool { return s.warmth(s.now) < 1 }

// Fallen tells whether it was sent too much while cold. It does nothing any more.
func (s *Server) Fallen() bool { return s.fallen }

// JobCount is the number of jobs that it holds.
func (s *Server) JobCount() int { return len(s.running) + len(s.waiting) }

// workRate is the virtual work a second that each running job is given at s.now.
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

// SetFault changes what is wrong.
func (s *Server) SetFault(now int64, fault Fault) {
	s.advance(now)
	s.fault = fault
}

// Drain has it turn away what comes from now on.
func (s *Server) Drain(now int64) {
	s.advance(now)
	s.draining = true
}

// Arrive gives it a job that came whole. It tells false where the job is turned away.
func (s *Server) Arrive(now int64, job Job) bool {
	s.advance(now)
	if s.checkOverload(job.Work); s.fallen {
		return false
	}
	if s.draining || len(s.running) >= s.Slots && len(s.waiting) >= s.Queue {
		return false
	}
	s.waiting = append(s.waiting, job)
	s.startWaiting()
	return true
}

// checkOverload counts work sent to a cold server against the budget of what it can do.
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

// startWaiting begins waiting jobs while there are slots.
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

// advance moves the state to now.
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

// nextCompletion is when the first running job ends at rate r, and the virtual work by then.
func (s *Server) nextCompletion(rate float64) (at int64, endsAt float64) {
	endsAt = s.running[0].endsAt
	return s.now + int64(math.Ceil(max(0, endsAt-s.virtualWork)/rate*1e9)), endsAt
}

// completeFirst takes the first running job out.
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

// Advance moves the state to now and returns what ended since the last call.
func (s *Server) Advance(now int64) []Done {
	s.advance(now)
	completed := s.completed
	s.completed = nil
	return completed
}

// Next is when something ends if nothing else comes; ok is false where nothing will.
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
