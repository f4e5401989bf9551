package model

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = int64(time.Second)

func spec() Spec {
	return Spec{Cores: 3, Speed: 2, Slots: 3, Queue: 2, ThrashAt: 100, ColdFrom: 0.2, ColdFor: 10 * time.Second,
		FallMultiple: 3, FallFor: 1500 * time.Millisecond}
}

// TestServes has a warm server do five jobs of 0.2 s each at speed 2 on three cores, and turn a sixth away.
func TestServes(t *testing.T) {
	s := New(spec(), 0, false)
	for key := range uint64(5) {
		if !s.Arrive(0, Job{Key: key, Work: 0.2}) {
			t.Fatalf("job %d turned away", key)
		}
	}
	if s.Arrive(0, Job{Key: 5, Work: 0.2}) {
		t.Error("took more than slots and queue hold")
	}
	if at, ok := s.Next(); !ok || at != second/10 {
		t.Errorf("next at %d, %v", at, ok)
	}
	if done := s.Advance(second/10 - 1); len(done) != 0 {
		t.Errorf("%v ended early", done)
	}
	if done := s.Advance(second / 10); len(done) != 3 {
		t.Errorf("%v ended after 0.1 s, want 3", done)
	}
	if done := s.Advance(second); len(done) != 2 || done[0].At != second/5 || done[0].Outcome != Served {
		t.Errorf("%v ended after 1 s, want 2 at 0.2 s", done)
	}
}

// TestTrouble has the work under way be slowed, stolen from and hung.
func TestTrouble(t *testing.T) {
	for _, tt := range []struct {
		trouble Fault
		ends    float64 // of 0.5 s at full speed, the trouble lasting from 0.1 s on
	}{{Fault{Slow: 4}, 0.1 + 4*0.4}, {Fault{Stolen: 0.5}, 0.1 + 2*0.4}, {Fault{Hang: true}, 5 + 0.4}} {
		s := New(spec(), 0, false)
		s.Arrive(0, Job{Key: 1, Work: 1})
		s.SetFault(second/10, tt.trouble)
		done := s.Advance(5 * second)
		s.SetFault(5*second, Fault{})
		done = append(done, s.Advance(9*second)...)
		if len(done) != 1 || math.Abs(float64(done[0].At)/1e9-tt.ends) > 0.001 {
			t.Errorf("%+v: %v, want the end at %v s", tt.trouble, done, tt.ends)
		}
	}
}

// TestCold has a cold server warm up evenly, and fall over only above three times what it can do.
func TestCold(t *testing.T) {
	for _, tt := range []struct {
		multiple float64
		falls    bool
	}{{2.5, false}, {4, true}} {
		p := spec()
		p.Queue = 1000
		s := New(p, 0, true)
		each := 0.02
		for now := int64(0); now < 3*second && !s.Fallen(); now += 10 * int64(time.Millisecond) {
			for range int(tt.multiple * p.Capacity() * s.warmth(now) * 0.01 / each * 10) {
				s.Arrive(now, Job{Work: each / 10})
			}
		}
		if s.Fallen() != tt.falls {
			t.Errorf("sent %v times its capacity: fallen %v, want %v", tt.multiple, s.Fallen(), tt.falls)
		}
	}
	s := New(spec(), 0, true)
	s.Advance(5 * second)
	if w := s.warmth(5 * second); math.Abs(w-0.6) > 0.001 || !s.Warming() {
		t.Errorf("warmth %v half way", w)
	}
	if s.Advance(10 * second); s.Warming() {
		t.Error("still warming after its time")
	}
}

// TestReports has reports be as old as period and delay make them.
func TestReports(t *testing.T) {
	p := spec()
	p.ReportEvery, p.ReportDelay = time.Second, 300*time.Millisecond
	s := New(p, 0, false)
	s.SetFault(0, Fault{Hang: true})
	for key := range uint64(4) {
		s.Arrive(0, Job{Key: key, Work: 1})
	}
	s.Advance(second)
	if _, ok := s.Report(); ok {
		t.Error("a report is seen before its delay")
	}
	s.Advance(second + second/3)
	if r, ok := s.Report(); !ok || r.InFlight != 4 || r.Waiting != 1 || r.At != second {
		t.Errorf("report %+v, %v", r, ok)
	}
}

// TestEveryJobEndsOnce feeds random jobs and troubles: each job accepted ends exactly once, in time order, and no more run
// or wait than there is room for.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := spec()
		p.FallFor, p.DropsExpired, p.ErrorRate = 0, rapid.Bool().Draw(t, "drops"), 0.2
		p.Thrash, p.ThrashAt = 0.05, 1
		s := New(p, 0, rapid.Bool().Draw(t, "cold"))
		now, last, held := int64(0), int64(0), map[uint64]bool{}
		take := func(done []Done) {
			for _, d := range done {
				if !held[d.Key] || d.At < last || d.At > now {
					t.Fatalf("%+v ended at %d after %d: held %v", d, now, last, held[d.Key])
				}
				last = d.At
				delete(held, d.Key)
			}
		}
		for key := range uint64(rapid.IntRange(1, 60).Draw(t, "jobs")) {
			now += rapid.Int64Range(0, second/5).Draw(t, "wait")
			if rapid.IntRange(0, 5).Draw(t, "set") == 0 {
				s.SetFault(now, Fault{Slow: rapid.Float64Range(0, 9).Draw(t, "slow"), Hang: rapid.Bool().Draw(t, "hang")})
			}
			if s.Arrive(now, Job{key, rapid.Float64Range(0, 0.5).Draw(t, "work"), now + second/10}) {
				held[key] = true
			}
			take(s.Advance(now))
			if len(s.running) > p.Slots || len(s.waiting) > p.Queue {
				t.Fatalf("%d run and %d wait", len(s.running), len(s.waiting))
			}
		}
		s.SetFault(now, Fault{})
		now += 600 * second
		if take(s.Advance(now)); len(held) != 0 {
			t.Fatalf("%d jobs never ended", len(held))
		}
	})
}
