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

const ms = int64(time.Millisecond)

// seen is a run of three requests in which all is well: a fetch (class 0) turned away once, and two submits (class 1).
func seen(t *testing.T) *Evidence {
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
	attempt := func(id, server string, at, took int64, how string) ctl.Attempt {
		return ctl.Attempt{Server: server, ID: id, First: at, Received: at, End: at + took, Outcome: how}
	}
	return &Evidence{Plan: p, Start: 1000 * ms, Runs: [][]Run{{{From: 1}}, {{From: 1}}}, Peaks: []Peak{{10, 20}, {10, 20}},
		ClientAttempts: []load.Attempt{try("a", 0, 0, 1000*ms, 300*ms), try("b", 1, 1, 1100*ms, 700*ms), try("c", 2, 1, 1200*ms, 100*ms)},
		ServerAttempts: []ctl.Attempt{attempt("a", "s2", 1000*ms, 5*ms, "turned"), attempt("a", "s1", 1006*ms, 290*ms, "served"),
			attempt("b", "s1", 1100*ms, 600*ms, "served"), attempt("c", "s1", 1200*ms, 90*ms, "served")},
		Exits: []proc.Exit{{Name: "n0", Wanted: true}},
	}
}

func broken(verdicts []Verdict) []string { return Names(verdicts, Broken) }

// TestInvariants spoils one thing at a time: just its invariant breaks, and what a fault excuses breaks none.
func TestInvariants(t *testing.T) {
	for _, tt := range []struct {
		name  string
		spoil func(*Evidence)
		want  []string
	}{
		{"all is well", func(*Evidence) {}, nil},
		{"no answer", func(e *Evidence) { e.ClientAttempts[0].Status = 0 }, []string{"one-answer"}},
		{"no answer of a killed sidecar", func(e *Evidence) {
			e.ClientAttempts[0].Status = 0
			e.Runs[0][0] = Run{From: 1, Killed: 1200 * ms, To: 1210 * ms}
		}, nil},
		{"no answer of one that was dying", func(e *Evidence) {
			e.ClientAttempts[0].Status = 0
			e.Runs[0][0] = Run{From: 1, Killed: 990 * ms, To: 1020 * ms}
		}, nil},
		{"no answer, and the kill was before", func(e *Evidence) {
			e.ClientAttempts[0].Status = 0
			e.Runs[0] = []Run{{From: 1, Killed: 900 * ms, To: 910 * ms}, {From: 950 * ms}}
		}, []string{"one-answer"}},
		{"no answer of one that SIGTERM ended", func(e *Evidence) {
			e.ClientAttempts[0].Status = 0
			e.Runs[0][0] = Run{From: 1, To: 1200 * ms}
		}, []string{"one-answer"}},
		{"late of one that was stopped", func(e *Evidence) {
			e.ClientAttempts[0].Ended = 9000 * ms
			e.Runs[0][0].Stops = []Span{{1200 * ms, 8000 * ms}}
		}, nil},
		{"an answer that no server made", func(e *Evidence) { e.ClientAttempts[0].ServedBy = "?" }, []string{"one-answer"}},
		{"nobody had taken it", func(e *Evidence) { e.ClientAttempts[0].Status, e.ClientAttempts[0].Sent = 0, 0 }, nil},
		{"hung up on after it was sent on", func(e *Evidence) {
			e.ClientAttempts[0].ResentAt = 1100 * ms
			e.ClientAttempts[0].Ended = 1400 * ms
		}, []string{"one-answer"}},
		{"hung up on, and nobody had read it", func(e *Evidence) { e.ClientAttempts[0].ResentAt = 1000 * ms }, nil},
		{"late", func(e *Evidence) { e.ClientAttempts[0].Ended = 3501 * ms }, []string{"in-time"}},
		{"late within the slack", func(e *Evidence) { e.ClientAttempts[0].Ended = 3499 * ms }, nil},
		{"a submit sent again", func(e *Evidence) {
			e.ServerAttempts = append(e.ServerAttempts, ctl.Attempt{Server: "s2", ID: "b", First: 1701 * ms, End: 1702 * ms, Outcome: "served"})
		}, []string{"no-duplicate"}},
		{"a submit sent again after it was turned away", func(e *Evidence) {
			e.ServerAttempts = append(e.ServerAttempts, ctl.Attempt{Server: "s2", ID: "b", First: 1090 * ms, End: 1099 * ms, Outcome: "turned"})
		}, nil},
		{"an id that no client sent", func(e *Evidence) { e.ServerAttempts[3].ID = "z"; e.ClientAttempts = e.ClientAttempts[:2] }, []string{"no-duplicate"}},
		{"a fetch sent four times", func(e *Evidence) {
			for _, at := range []int64{1400, 1500} {
				e.ServerAttempts = append(e.ServerAttempts, ctl.Attempt{Server: "s2", ID: "a", First: at * ms, End: at*ms + 1, Outcome: "failed"})
			}
		}, []string{"no-duplicate"}},
		{"two at once", func(e *Evidence) { e.ServerAttempts[0].End = 1100 * ms }, []string{"one-at-a-time"}},
		{"two at once within the slack", func(e *Evidence) { e.ServerAttempts[0].End = 1050 * ms }, nil},
		{"one that nobody ended", func(e *Evidence) { e.ServerAttempts[0].End = 0 }, []string{"one-at-a-time"}},
		{"sent to a drained server", func(e *Evidence) { e.ListUpdates = []ctl.ListUpdate{{UID: "s1", State: "DRAINING", At: 800 * ms}} }, []string{"drained"}},
		{"sent within the grace", func(e *Evidence) { e.ListUpdates = []ctl.ListUpdate{{UID: "s1", State: "DRAINING", At: 860 * ms}} }, nil},
		{"deleted after it drained", func(e *Evidence) {
			e.ListUpdates = []ctl.ListUpdate{{UID: "s1", State: "DRAINING", At: 800 * ms}, {UID: "s1", State: "DELETED", At: 1000 * ms}}
		}, []string{"drained"}},
		{"told another sidecar", func(e *Evidence) {
			e.ListUpdates = []ctl.ListUpdate{{Near: 1, UID: "s1", State: "DELETED", At: 500 * ms}}
		}, nil},
		{"serving again", func(e *Evidence) {
			e.ListUpdates = []ctl.ListUpdate{{UID: "s1", State: "DELETED", At: 500 * ms}, {UID: "s1", State: "SERVING", At: 600 * ms}}
		}, nil},
		{"told the process before", func(e *Evidence) {
			e.ListUpdates = []ctl.ListUpdate{{UID: "s1", State: "DELETED", At: 500 * ms}}
			e.Runs[0] = []Run{{From: 1, Killed: 600 * ms, To: 610 * ms}, {From: 700 * ms}}
		}, nil},
		{"a fall", func(e *Evidence) { e.Falls = []ctl.Event{{UID: "s1"}} }, []string{"cold"}},
		{"an end that nobody wanted", func(e *Evidence) { e.Exits[0].Wanted = false }, []string{"no-crash"}},
		{"a failing end", func(e *Evidence) { e.Exits[0].Code = 2 }, []string{"no-crash"}},
		{"killed by a fault", func(e *Evidence) { e.Exits[0].Code = -1 }, nil},
		{"memory", func(e *Evidence) { e.Peaks[1].MemoryMB = 193 }, []string{"memory"}},
		{"descriptors", func(e *Evidence) { e.Peaks[1].Descriptors = 1025 }, []string{"descriptors"}},
		{"a late lab", func(e *Evidence) { e.Lateness = 6 * time.Millisecond }, []string{"lab-on-time"}},
	} {
		e := seen(t)
		tt.spoil(e)
		if got := broken(Invariants(e)); !slices.Equal(got, tt.want) && len(got)+len(tt.want) > 0 {
			t.Errorf("%s: broken %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestNotSeen has each check say what it looked at: with nothing of it there, it has not held.
func TestNotSeen(t *testing.T) {
	seenBy := func(e *Evidence) []string { return Names(Invariants(e), Passed) }
	e := seen(t)
	want := []string{"one-answer", "in-time", "no-duplicate", "one-at-a-time", "no-crash", "memory", "descriptors", "lab-on-time"}
	if got := seenBy(e); !slices.Equal(got, want) {
		t.Errorf("held %v, want %v", got, want)
	}
	e.ListUpdates = []ctl.ListUpdate{{UID: "s3", State: "DRAINING", At: 800 * ms}} // nothing goes there
	e.ServerAttempts[1].Boot = e.Start + 1
	want = []string{"one-answer", "in-time", "no-duplicate", "one-at-a-time", "drained", "cold", "no-crash", "memory", "descriptors", "lab-on-time"}
	if got := seenBy(e); !slices.Equal(got, want) {
		t.Errorf("with a drain and a cold server: held %v, want %v", got, want)
	}
	for _, v := range Invariants(e) {
		if v.Name == "no-duplicate" && v.LookedAt != 3 || v.Name == "drained" && v.LookedAt != 1 {
			t.Errorf("%s looked at %d", v.Name, v.LookedAt)
		}
	}
	e = seen(t)
	for i := range e.ClientAttempts { // killed sidecars owe nothing
		e.ClientAttempts[i].Status = 0
	}
	e.Runs[0][0] = Run{From: 1, Killed: 990 * ms, To: 9000 * ms}
	e.ServerAttempts, e.Peaks, e.Exits = nil, []Peak{{}, {}}, nil
	if got := seenBy(e); !slices.Equal(got, []string{"lab-on-time"}) || broken(Invariants(e)) != nil {
		t.Errorf("with nobody to answer: held %v, broken %v", got, broken(Invariants(e)))
	}
	e.ClientAttempts = nil
	if got := Names(Invariants(e), NotSeen); len(got) != len(plan.Invariants) {
		t.Errorf("of nothing at all: not seen %v", got)
	}
	least := 0.0
	e.Plan.File.Bars = []plan.Bar{{Figure: "write_gap_ms", Min: &least}}
	if got := broken(Bars(e, Figures{})); !slices.Equal(got, []string{"bar write_gap_ms"}) {
		t.Errorf("a figure that nobody measured: broken %v", got)
	}
}

// TestMeasure computes figures by hand: a fetch (worth 1) in time, a submit (worth 5) late at 0.7 s of 0.5, one of twice the
// work in time.
func TestMeasure(t *testing.T) {
	e := seen(t)
	f, course := Measure(e)
	for name, want := range map[string]float64{"served": (1 + 5*0.3 + 10) / 16.0, "served:submit": (5*0.3 + 10) / 15.0, "served:fetch": 1,
		"attempts": 4 / 3.0, "answered": 1, "refused": 0, "requests": 3} {
		if got := f[name]; got < want-1e-9 || got > want+1e-9 {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
	if course[0].Requests != 3 || course[0].Attempts != 4 || course[1].Requests != 0 {
		t.Errorf("course %+v", course[:2])
	}
	e.ClientAttempts[1].Status = 503
	if f, _ = Measure(e); f["refused"] != 1/3.0 || f["served:submit"] != 10/15.0 {
		t.Errorf("with one refused: %v", f)
	}
	least := 0.99
	e.Plan.File.Bars = []plan.Bar{{Figure: "served", Min: &least}, {Figure: "refused", Min: new(float64)}}
	if got := broken(Bars(e, f)); !slices.Equal(got, []string{"bar served"}) {
		t.Errorf("broken bars %v", got)
	}
}
