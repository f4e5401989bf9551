package model

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = int64(time.Second)

func testSpec() Spec {
	return Spec{Cores: 3, Speed: 2, Slots: 3, Queue: 2, ThrashAt: 100, ColdFrom: 0.2, ColdFor: 10 * time.Second,
		FallMultiple: 3, FallFor: 1500 * time.Millisecond}
}

// TestServes gives a warm server with three cores of speed 2 five jobs of 0.2 s each, which it does, and a sixth, which it rejects.
func TestServes(t *testing.T) {
	server := New(testSpec(), 0, false)
	for key := range uint64(5) {
		if !server.Arrive(0, Job{Key: key, Work: 0.2}) {
			t.Fatalf("job %d was rejected", key)
		}
	}
	if server.Arrive(0, Job{Key: 5, Work: 0.2}) {
		t.Error("accepted more than slots and queue allow")
	}
	if at, ok := server.Next(); !ok || at != second/10 {
		t.Errorf("next at %d, %v", at, ok)
	}
	if done := server.Advance(second/10 - 1); len(done) != 0 {
		t.Errorf("%v ended early", done)
	}
	if done := server.Advance(second / 10); len(done) != 3 {
		t.Errorf("%v ended after 0.1 s, want 3", done)
	}
	if done := server.Advance(second); len(done) != 2 || done[0].At != second/5 || done[0].Outcome != Served {
		t.Errorf("%v ended after 1 s, want 2 at 0.2 s", done)
	}
}

// TestFault slows a running job, takes a share of the machine from it, and stops it.
func TestFault(t *testing.T) {
	for _, test := range []struct {
		fault Fault
		ends  float64 // seconds; 0.5 without the fault, which begins at 0.1
	}{{Fault{Slow: 4}, 0.1 + 4*0.4}, {Fault{Stolen: 0.5}, 0.1 + 2*0.4}, {Fault{Hang: true}, 5 + 0.4}} {
		t.Run(fmt.Sprintf("%+v", test.fault), func(t *testing.T) {
			server := New(testSpec(), 0, false)
			server.Arrive(0, Job{Key: 1, Work: 1})
			server.SetFault(second/10, test.fault)
			done := server.Advance(5 * second)
			server.SetFault(5*second, Fault{})
			done = append(done, server.Advance(9*second)...)
			if len(done) != 1 || math.Abs(float64(done[0].At)/1e9-test.ends) > 0.001 {
				t.Errorf("%v, want the end at %v s", done, test.ends)
			}
		})
	}
}

// TestCold warms a cold server up evenly, and lets it fall only above three times its capacity.
func TestCold(t *testing.T) {
	for _, test := range []struct {
		multiple float64
		falls    bool
	}{{2.5, false}, {4, true}} {
		spec := testSpec()
		spec.Queue = 1000
		server := New(spec, 0, true)
		each := 0.02
		for now := int64(0); now < 3*second && !server.Fallen(); now += 10 * int64(time.Millisecond) {
			for range int(test.multiple * spec.Capacity() * server.warmth(now) * 0.01 / each * 10) {
				server.Arrive(now, Job{Work: each / 10})
			}
		}
		if server.Fallen() != test.falls {
			t.Errorf("sent %v times its capacity: fallen %v, want %v", test.multiple, server.Fallen(), test.falls)
		}
	}
	server := New(testSpec(), 0, true)
	server.Advance(5 * second)
	if w := server.warmth(5 * second); math.Abs(w-0.6) > 0.001 || !server.Warming() {
		t.Errorf("warmth %v half-way", w)
	}
	if server.Advance(10 * second); server.Warming() {
		t.Error("still warming after its time")
	}
}

// TestReports makes reports visible after interval and delay.
func TestReports(t *testing.T) {
	spec := testSpec()
	spec.ReportEvery, spec.ReportDelay = time.Second, 300*time.Millisecond
	server := New(spec, 0, false)
	server.SetFault(0, Fault{Hang: true})
	for key := range uint64(4) {
		server.Arrive(0, Job{Key: key, Work: 1})
	}
	server.Advance(second)
	if _, ok := server.Report(); ok {
		t.Error("a report is visible before its delay")
	}
	server.Advance(second + second/3)
	if report, ok := server.Report(); !ok || report.InFlight != 4 || report.Waiting != 1 || report.At != second {
		t.Errorf("report %+v, %v", report, ok)
	}
}

// TestEveryJobEndsOnce submits random jobs under random faults: each accepted job ends exactly once, in order of time, and no more jobs
// run or wait than slots and queue allow.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := testSpec()
		spec.FallFor, spec.DropsExpired, spec.ErrorRate = 0, rapid.Bool().Draw(t, "drops"), 0.2
		spec.Thrash, spec.ThrashAt = 0.05, 1
		server := New(spec, 0, rapid.Bool().Draw(t, "cold"))
		now, jobs := int64(0), pendingJobs{keys: map[uint64]bool{}}
		for key := range uint64(rapid.IntRange(1, 60).Draw(t, "jobs")) {
			now += rapid.Int64Range(0, second/5).Draw(t, "wait")
			if rapid.IntRange(0, 5).Draw(t, "set") == 0 {
				server.SetFault(now, Fault{Slow: rapid.Float64Range(0, 9).Draw(t, "slow"), Hang: rapid.Bool().Draw(t, "hang")})
			}
			if server.Arrive(now, Job{key, rapid.Float64Range(0, 0.5).Draw(t, "work"), now + second/10}) {
				jobs.keys[key] = true
			}
			jobs.complete(t, server.Advance(now), now)
			if len(server.running) > spec.Slots || len(server.waiting) > spec.Queue {
				t.Fatalf("%d run and %d wait", len(server.running), len(server.waiting))
			}
		}
		server.SetFault(now, Fault{})
		now += 600 * second
		jobs.complete(t, server.Advance(now), now)
		if len(jobs.keys) != 0 {
			t.Fatalf("%d jobs never ended", len(jobs.keys))
		}
	})
}

// pendingJobs are the accepted jobs that have not ended.
type pendingJobs struct {
	keys map[uint64]bool
	last int64 // when the last one ended
}

// complete removes jobs that ended by now, and fails where one was not pending or not in order of time.
func (p *pendingJobs) complete(t *rapid.T, done []Done, now int64) {
	for _, job := range done {
		if !p.keys[job.Key] || job.At < p.last || job.At > now {
			t.Fatalf("%+v ended at %d after %d: pending %v", job, now, p.last, p.keys[job.Key])
		}
		p.last = job.At
		delete(p.keys, job.Key)
	}
}
