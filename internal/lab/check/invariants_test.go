package check

import (
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

const milli = int64(time.Millisecond)

// healthyRun is a run of three requests in which all is well: a fetch (class 0) rejected once, and two submits (class 1).
func healthyRun(t *testing.T) *Evidence {
	t.Helper()
	f, err := plan.Parse("x.toml", []byte("states = \"x\"\nseconds = 10\n[load]\nrate = 1\n[fleet]\nsidecars = 2\n"))
	if err != nil {
		t.Fatal(err)
	}
	p := &plan.Plan{File: f, Sidecars: []plan.Sidecar{{Name: "n0"}, {Name: "n1"}}, Arrivals: []plan.Arrival{
		{At: 0, Class: 0, Work: time.Second}, {At: 100 * time.Millisecond, Class: 1, Work: time.Second},
		{At: 200 * time.Millisecond, Class: 1, Work: 2 * time.Second}}}
	try := func(id string, arrival, class int, at, took int64) load.Attempt {
		return load.Attempt{ID: id, Arrival: arrival, Class: class, Due: at, Began: at, Sent: at, Ended: at + took, Timeout: 2 * time.Second, Status: 200,
			ServedBy: "s1"}
	}
	attempt := func(id, server string, at, took int64, how ctl.AttemptOutcome) ctl.Attempt {
		return ctl.Attempt{Server: server, ID: id, First: at, Received: at, End: at + took, Outcome: how}
	}
	return &Evidence{Plan: p, Start: 1000 * milli, Runs: [][]Run{{{From: 1}}, {{From: 1}}}, Peaks: []Peak{{10, 20}, {10, 20}},
		ClientAttempts: []load.Attempt{try("a", 0, 0, 1000*milli, 300*milli), try("b", 1, 1, 1100*milli, 700*milli), try("c", 2, 1, 1200*milli, 100*milli)},
		ServerAttempts: []ctl.Attempt{attempt("a", "s2", 1000*milli, 5*milli, "turned"), attempt("a", "s1", 1006*milli, 290*milli, "served"),
			attempt("b", "s1", 1100*milli, 600*milli, "served"), attempt("c", "s1", 1200*milli, 90*milli, "served")},
		Exits: []proc.Exit{{Name: "n0", Wanted: true}},
	}
}

// broken are the names of the violated invariants.
func broken(verdicts []Verdict) []string { return Names(verdicts, Broken) }

// invariantCases each damage one thing of a run in which all is well.
var invariantCases = []struct {
	name   string
	damage func(*Evidence)
	want   []string
}{
	{"all is well", func(*Evidence) {}, nil},
	{"no answer", func(evidence *Evidence) { evidence.ClientAttempts[0].Status = 0 }, []string{"one-answer"}},
	{"no answer of a killed sidecar", func(evidence *Evidence) {
		evidence.ClientAttempts[0].Status = 0
		evidence.Runs[0][0] = Run{From: 1, Killed: 1200 * milli, To: 1210 * milli}
	}, nil},
	{"no answer of one that was dying", func(evidence *Evidence) {
		evidence.ClientAttempts[0].Status = 0
		evidence.Runs[0][0] = Run{From: 1, Killed: 990 * milli, To: 1020 * milli}
	}, nil},
	{"no answer, and the kill was before", func(evidence *Evidence) {
		evidence.ClientAttempts[0].Status = 0
		evidence.Runs[0] = []Run{{From: 1, Killed: 900 * milli, To: 910 * milli}, {From: 950 * milli}}
	}, []string{"one-answer"}},
	{"no answer of one that SIGTERM ended", func(evidence *Evidence) {
		evidence.ClientAttempts[0].Status = 0
		evidence.Runs[0][0] = Run{From: 1, To: 1200 * milli}
	}, []string{"one-answer"}},
	{"late of one that was stopped", func(evidence *Evidence) {
		evidence.ClientAttempts[0].Ended = 9000 * milli
		evidence.Runs[0][0].Stops = []Span{{1200 * milli, 8000 * milli}}
	}, nil},
	{"an answer that no server made", func(evidence *Evidence) { evidence.ClientAttempts[0].ServedBy = "?" }, []string{"one-answer"}},
	{"nobody had taken it", func(evidence *Evidence) { evidence.ClientAttempts[0].Status, evidence.ClientAttempts[0].Sent = 0, 0 }, nil},
	{"hung up on after it was sent on", func(evidence *Evidence) {
		evidence.ClientAttempts[0].ResentAt = 1100 * milli
		evidence.ClientAttempts[0].Ended = 1400 * milli
	}, []string{"one-answer"}},
	{"hung up on, and nobody had read it", func(evidence *Evidence) { evidence.ClientAttempts[0].ResentAt = 1000 * milli }, nil},
	{"late", func(evidence *Evidence) { evidence.ClientAttempts[0].Ended = 3501 * milli }, []string{"in-time"}},
	{"late within the slack", func(evidence *Evidence) { evidence.ClientAttempts[0].Ended = 3499 * milli }, nil},
	{"a submit sent again", func(evidence *Evidence) {
		evidence.ServerAttempts = append(evidence.ServerAttempts, ctl.Attempt{Server: "s2", ID: "b", First: 1701 * milli, End: 1702 * milli, Outcome: "served"})
	}, []string{"no-duplicate"}},
	{"a submit sent again after it was turned away", func(evidence *Evidence) {
		evidence.ServerAttempts = append(evidence.ServerAttempts, ctl.Attempt{Server: "s2", ID: "b", First: 1090 * milli, End: 1099 * milli, Outcome: "turned"})
	}, nil},
	{"an id that no client sent", func(evidence *Evidence) {
		evidence.ServerAttempts[3].ID = "z"
		evidence.ClientAttempts = evidence.ClientAttempts[:2]
	}, []string{"no-duplicate"}},
	{"a fetch sent four times", func(evidence *Evidence) {
		for _, at := range []int64{1400, 1500} {
			evidence.ServerAttempts = append(evidence.ServerAttempts, ctl.Attempt{Server: "s2", ID: "a", First: at * milli, End: at*milli + 1, Outcome: "failed"})
		}
	}, []string{"no-duplicate"}},
	{"two at once", func(evidence *Evidence) { evidence.ServerAttempts[0].End = 1100 * milli }, []string{"one-at-a-time"}},
	{"two at once within the slack", func(evidence *Evidence) { evidence.ServerAttempts[0].End = 1050 * milli }, nil},
	{"one that nobody ended", func(evidence *Evidence) { evidence.ServerAttempts[0].End = 0 }, []string{"one-at-a-time"}},
	{"sent to a drained server", func(evidence *Evidence) {
		evidence.ListUpdates = []ctl.ListUpdate{{UID: "s1", State: "DRAINING", At: 800 * milli}}
	}, []string{"drained"}},
	{"sent within the grace", func(evidence *Evidence) {
		evidence.ListUpdates = []ctl.ListUpdate{{UID: "s1", State: "DRAINING", At: 860 * milli}}
	}, nil},
	{"deleted after it drained", func(evidence *Evidence) {
		evidence.ListUpdates = []ctl.ListUpdate{{UID: "s1", State: "DRAINING", At: 800 * milli}, {UID: "s1", State: "DELETED", At: 1000 * milli}}
	}, []string{"drained"}},
	{"told another sidecar", func(evidence *Evidence) {
		evidence.ListUpdates = []ctl.ListUpdate{{Near: 1, UID: "s1", State: "DELETED", At: 500 * milli}}
	}, nil},
	{"serving again", func(evidence *Evidence) {
		evidence.ListUpdates = []ctl.ListUpdate{{UID: "s1", State: "DELETED", At: 500 * milli}, {UID: "s1", State: "SERVING", At: 600 * milli}}
	}, nil},
	{"told the process before", func(evidence *Evidence) {
		evidence.ListUpdates = []ctl.ListUpdate{{UID: "s1", State: "DELETED", At: 500 * milli}}
		evidence.Runs[0] = []Run{{From: 1, Killed: 600 * milli, To: 610 * milli}, {From: 700 * milli}}
	}, nil},
	{"a fall", func(evidence *Evidence) { evidence.Falls = []ctl.Event{{UID: "s1"}} }, []string{"cold"}},
	{"an end that nobody wanted", func(evidence *Evidence) { evidence.Exits[0].Wanted = false }, []string{"no-crash"}},
	{"a failing end", func(evidence *Evidence) { evidence.Exits[0].Code = 2 }, []string{"no-crash"}},
	{"killed by a fault", func(evidence *Evidence) { evidence.Exits[0].Code = -1 }, nil},
	{"memory", func(evidence *Evidence) { evidence.Peaks[1].MemoryMB = 193 }, []string{"memory"}},
	{"descriptors", func(evidence *Evidence) { evidence.Peaks[1].Descriptors = 1025 }, []string{"descriptors"}},
	{"a late lab", func(evidence *Evidence) { evidence.Lateness = 6 * time.Millisecond }, []string{"lab-on-time"}},
}

// TestInvariants damages one thing at a time: just its invariant is violated, and what a fault excuses violates none.
func TestInvariants(t *testing.T) {
	for _, test := range invariantCases {
		t.Run(test.name, func(t *testing.T) {
			evidence := healthyRun(t)
			test.damage(evidence)
			if got := broken(Invariants(evidence)); !slices.Equal(got, test.want) && len(got)+len(test.want) > 0 {
				t.Errorf("broken %v, want %v", got, test.want)
			}
		})
	}
}

// TestNothingObserved counts what each check observes: without any of it the check has not passed.
func TestNothingObserved(t *testing.T) {
	seenBy := func(evidence *Evidence) []string { return Names(Invariants(evidence), Passed) }
	evidence := healthyRun(t)
	want := []string{"one-answer", "in-time", "no-duplicate", "one-at-a-time", "no-crash", "memory", "descriptors", "lab-on-time"}
	if got := seenBy(evidence); !slices.Equal(got, want) {
		t.Errorf("held %v, want %v", got, want)
	}
	evidence.ListUpdates = []ctl.ListUpdate{{UID: "s3", State: "DRAINING", At: 800 * milli}} // nothing goes there
	evidence.ServerAttempts[1].Boot = evidence.Start + 1
	want = []string{"one-answer", "in-time", "no-duplicate", "one-at-a-time", "drained", "cold", "no-crash", "memory", "descriptors", "lab-on-time"}
	if got := seenBy(evidence); !slices.Equal(got, want) {
		t.Errorf("with a drain and a cold server: held %v, want %v", got, want)
	}
	for _, v := range Invariants(evidence) {
		if v.Name == "no-duplicate" && v.LookedAt != 3 || v.Name == "drained" && v.LookedAt != 1 {
			t.Errorf("%s looked at %d", v.Name, v.LookedAt)
		}
	}
	evidence = healthyRun(t)
	for i := range evidence.ClientAttempts { // killed sidecars owe nothing
		evidence.ClientAttempts[i].Status = 0
	}
	evidence.Runs[0][0] = Run{From: 1, Killed: 990 * milli, To: 9000 * milli}
	evidence.ServerAttempts, evidence.Peaks, evidence.Exits = nil, []Peak{{}, {}}, nil
	if got := seenBy(evidence); !slices.Equal(got, []string{"lab-on-time"}) || broken(Invariants(evidence)) != nil {
		t.Errorf("with nobody to answer: held %v, broken %v", got, broken(Invariants(evidence)))
	}
	evidence.ClientAttempts = nil
	if got := Names(Invariants(evidence), NotSeen); len(got) != len(plan.Invariants) {
		t.Errorf("of nothing at all: not seen %v", got)
	}
	minimum := 0.0
	evidence.Plan.File.Bars = []plan.Bar{{Figure: "write_gap_ms", Min: &minimum}}
	if got := broken(Bars(evidence, Figures{})); !slices.Equal(got, []string{"bar write_gap_ms"}) {
		t.Errorf("a figure that nobody measured: broken %v", got)
	}
}

// TestMeasure computes figures by hand: a fetch (worth 1) in time, a submit (worth 5) late at 0.7 s of 0.5, one of twice the
// work in time.
func TestMeasure(t *testing.T) {
	evidence := healthyRun(t)
	figures, course := Measure(evidence)
	for name, want := range map[string]float64{"served": (1 + 5*0.3 + 10) / 16.0, "served:submit": (5*0.3 + 10) / 15.0, "served:fetch": 1,
		"attempts": 4 / 3.0, "answered": 1, "refused": 0, "requests": 3} {
		if got := figures[name]; got < want-1e-9 || got > want+1e-9 {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
	if course[0].Requests != 3 || course[0].Attempts != 4 || course[1].Requests != 0 {
		t.Errorf("course %+v", course[:2])
	}
	evidence.ClientAttempts[1].Status = 503
	if figures, _ = Measure(evidence); figures["refused"] != 1/3.0 || figures["served:submit"] != 10/15.0 {
		t.Errorf("with one refused: %v", figures)
	}
	minimum := 0.99
	evidence.Plan.File.Bars = []plan.Bar{{Figure: "served", Min: &minimum}, {Figure: "refused", Min: new(float64)}}
	if got := broken(Bars(evidence, figures)); !slices.Equal(got, []string{"bar served"}) {
		t.Errorf("broken bars %v", got)
	}
}
