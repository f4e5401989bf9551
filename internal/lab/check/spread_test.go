package check

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/model"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

const oneSecond = int64(time.Second)

// twoServers is evidence of two servers, b twice the size of a, and n sidecars, over some seconds.
func twoServers(t *testing.T, seconds, sidecars int) *Evidence {
	f, err := plan.Parse("x.toml", fmt.Appendf(nil, "states = \"x\"\nseconds = %d\n[load]\nrate = 1\n", seconds))
	if err != nil {
		t.Fatal(err)
	}
	p := &plan.Plan{File: f, InitialServers: 2, Sidecars: make([]plan.Sidecar, sidecars)}
	for i, uid := range []string{"a", "b"} {
		p.Servers = append(p.Servers, model.Spec{UID: uid, Cores: 1 + i, Speed: 1, ColdFor: 2 * time.Second})
	}
	return &Evidence{Plan: p, Start: 1000 * oneSecond, Runs: make([][]Run, sidecars)}
}

// send has n attempts of work ms each begin at a server, evenly within a second.
func (e *Evidence) send(second, near int, server string, n int, work int64) {
	for i := range n {
		at := e.Start + int64(second)*oneSecond + int64(i)*oneSecond/int64(n)
		e.ServerAttempts = append(e.ServerAttempts, ctl.Attempt{Server: server, Near: near, First: at, Outcome: "served", Work: work * milli})
	}
}

func expectNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// TestSpread counts by hand: even by size is 1; by joined seconds; without the servers that are not ready and warm.
func TestSpread(t *testing.T) {
	evidence := twoServers(t, 12, 1)
	evidence.Plan.File.Faults = []plan.Fault{{Do: "hang"}}
	evidence.Plan.Bands = []plan.Band{{From: 4 * time.Second, To: 6 * time.Second}}
	for s := range 4 { // by size: 1, though b has twice the work
		evidence.send(s, 0, "a", 10, 10)
		evidence.send(s, 0, "b", 10, 20)
	}
	evidence.send(4, 0, "a", 6, 10) // joined with the next: a has 12 of 10 ms, b 8 of 60 ms over 2: 120 and 240 of 180
	evidence.send(5, 0, "a", 6, 10)
	evidence.send(5, 0, "b", 8, 60)
	evidence.send(6, 0, "b", 20, 10) // b alone is ready and warm
	evidence.send(7, 0, "a", 20, 10)
	evidence.send(7, 0, "b", 20, 10) // a again
	evidence.ServerAttempts = append(evidence.ServerAttempts, ctl.Attempt{Server: "b", First: evidence.Start + 7*oneSecond, Outcome: "turned", Work: oneSecond})
	evidence.send(8, 0, "a", 5, 1000) // too little for a window
	evidence.Plan.Steps = []plan.Step{{At: 6 * time.Second, Do: plan.ServerFault, Server: "a", Trouble: model.Fault{Hang: true}},
		{At: 7 * time.Second, Do: plan.ServerFault, Server: "a"}}
	figures, course := Figures{}, make([]Second, 12)
	evidence.spreadFigures(figures, course)
	for s, want := range []float64{1, 1, 1, 1, 4.0 / 3, 4.0 / 3, 1, 4.0 / 3, 0, 0, 0, 0} {
		expectNear(t, fmt.Sprintf("second %d", s), course[s].Spread, want)
	}
	expectNear(t, "spread", figures["spread"], 4.0/3)
	expectNear(t, "spread_worst10", figures["spread_worst10"], 9.0/8)
	expectNear(t, "spread_rise", figures["spread_rise"], 9.0/8)
	figures = Figures{}
	if twoServers(t, 12, 1).spreadFigures(figures, course); len(figures) != 0 {
		t.Errorf("of nothing: %v", figures)
	}
}

// TestReadyWarm follows servers through faults, restarts, a drain and a fall.
func TestReadyWarm(t *testing.T) {
	evidence := twoServers(t, 60, 3)
	step := func(at int, do plan.StepKind, more ...func(*plan.Step)) {
		s := plan.Step{At: time.Duration(at) * time.Second, Do: do, Server: "a"}
		for _, m := range more {
			m(&s)
		}
		evidence.Plan.Steps = append(evidence.Plan.Steps, s)
	}
	hold := func(on bool, nears ...int) func(*plan.Step) {
		return func(s *plan.Step) { s.On, s.Nears, s.Effect = on, nears, plan.LinkEffect{HoldFar: true} }
	}
	step(2, plan.Link, hold(true, 1)) // one sidecar's alone
	step(4, plan.Link, hold(false, 1))
	step(5, plan.Link, hold(true))
	step(6, plan.Link, hold(true))
	step(7, plan.Link, hold(false))
	step(8, plan.Link, hold(false))
	step(10, plan.Die)
	step(11, plan.Revive) // warm at 13
	step(20, plan.Drain)
	evidence.Falls = []ctl.Event{{UID: "b", At: evidence.Start + 9*oneSecond}}
	ready := evidence.readyWarm()
	for _, test := range []struct {
		uid      string
		from, to int64
		want     bool
	}{{"a", 0, 5, true}, {"a", 5, 6, false}, {"a", 7, 8, false}, {"a", 8, 10, true}, {"a", 9, 11, false}, {"a", 11, 13, false}, {"a", 12, 14, false},
		{"a", 13, 20, true}, {"a", 19, 21, false}, {"b", 0, 9, true}, {"b", 8, 10, false}} {
		if got := covers(ready[test.uid], evidence.Start+test.from*oneSecond, evidence.Start+test.to*oneSecond); got != test.want {
			t.Errorf("%s from %d to %d s: %v", test.uid, test.from, test.to, got)
		}
	}
}

// TestChurn has one sidecar that keeps its servers, one that changes one of two, and one that sends too little for a window.
func TestChurn(t *testing.T) {
	evidence := twoServers(t, 20, 3)
	for s := range 16 {
		evidence.send(s, 0, "a", 2, 1)
		evidence.send(s, 0, "b", 2, 1)
		evidence.send(s, 1, "a", 2, 1)
		evidence.send(s, 1, []string{"b", "c"}[s/10], 2, 1)
	}
	evidence.send(3, 2, "a", 1, 1)
	evidence.send(13, 2, "b", 1, 1)
	f := Figures{}
	evidence.churnFigure(f) // windows end at 5, 10 and 15 s: one came within 10 s
	expectNear(t, "churn", f["churn"], 6)
}

// TestAvoidance lets twenty sidecars use a server that stops responding: one continues, one stops after a second, the others at once.
func TestAvoidance(t *testing.T) {
	evidence := twoServers(t, 20, 20)
	for near := range 20 {
		evidence.send(1, near, "a", 1, 1)
	}
	hang := func(at int, on bool) {
		evidence.Plan.Steps = append(evidence.Plan.Steps, plan.Step{At: time.Duration(at) * time.Second, Do: plan.ServerFault, Server: "a", Trouble: model.Fault{Hang: on}})
	}
	hang(5, true)
	hang(15, false)
	for s := 5; s < 18; s++ {
		evidence.send(s, 0, "a", 1, 1)
	}
	evidence.send(5, 1, "a", 1, 1)
	evidence.send(6, 1, "a", 1, 1)
	evidence.send(7, 1, "b", 1, 1)
	figures := Figures{}
	evidence.avoidanceFigures(figures)
	expectNear(t, "avoid95_ms", figures["avoid95_ms"], 1000)
	expectNear(t, "learn_attempts", figures["learn_attempts"], 12)
	figures, evidence.Plan.Steps = Figures{}, nil
	if evidence.avoidanceFigures(figures); len(figures) != 0 {
		t.Errorf("without a server that stops: %v", figures)
	}
}

// TestRejections compares the share of rejected requests after the faults with that before.
func TestRejections(t *testing.T) {
	evidence := twoServers(t, 30, 1)
	restart := 1.0
	evidence.Plan.File.Faults = []plan.Fault{{Do: "hang"}, {Do: "kill", Restart: &restart}}
	evidence.Plan.Bands = []plan.Band{{Fault: 0, From: 10 * time.Second, To: 12 * time.Second}, {Fault: 1, From: 13 * time.Second, To: 13 * time.Second}}
	course := make([]Second, 30)
	for i := range course {
		course[i] = Second{Requests: 10}
		switch {
		case i < 10:
			course[i].Refused = i % 2 // 0.05
		case i < 20:
			course[i].Refused = 5
		case i < 25:
			course[i].Refused = 1
		}
	}
	f := Figures{}
	evidence.rejectionFigures(f, course) // over at 14 s
	expectNear(t, "refused_before", f["refused_before"], 0.05)
	expectNear(t, "refused_after", f["refused_after"], 10/110.0-0.05) // of seconds 19 to 29
	expectNear(t, "refused_back_s", f["refused_back_s"], 9)           // 23, 24 and 25 s have 2 of 30
	f, evidence.Plan.Bands = Figures{}, nil
	if evidence.rejectionFigures(f, course); len(f) != 0 {
		t.Errorf("without faults: %v", f)
	}
}
