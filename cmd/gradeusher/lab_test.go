package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/lab"
	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// TestSameSeed runs one experiment twice: arrivals and faults are the same, the reports are complete, and nothing is left.
func TestSameSeed(t *testing.T) {
	t.Parallel()
	out := t.TempDir() // the second leaves nothing of the first
	a, b := runSmallExperiment(t, out), runSmallExperiment(t, out)
	checkTrace(t, out)
	if a.ArrivalsHash != b.ArrivalsHash || a.StepsHash != b.StepsHash || a.Figures["requests"] != b.Figures["requests"] {
		t.Errorf("one seed gave %s and %s, %s and %s", a.ArrivalsHash, b.ArrivalsHash, a.StepsHash, b.StepsHash)
	}
}

// runSmallExperiment runs the experiment into a folder, and checks the output and the folder.
func runSmallExperiment(t *testing.T, out string) *lab.Result {
	t.Helper()
	c := newCommand(t, "lab", "run", "testdata/small.toml", "--seed", "5", "--out", out)
	if code := c.waitForExit(t); code != exitSuccess {
		t.Fatalf("exit %d: %s%s", code, &c.out, &c.err)
	}
	lines := strings.Split(strings.TrimSpace(c.out.String()), "\n")
	summary, notSeen := lines[len(lines)-1], lines[len(lines)-2]
	counts := regexp.MustCompile(`^held (\d+) of (\d+)$`).FindStringSubmatch(summary)
	if counts == nil || counts[1] != counts[2] || !strings.Contains(notSeen, "not seen") || !strings.Contains(notSeen, "linearizable") {
		t.Fatalf("the last lines are %q", lines[len(lines)-2:])
	}
	result, err := lab.ReadReport(out)
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(len(result.Verdicts)-len(result.NotSeen())) != counts[1] || slices.Contains(check.Names(result.Verdicts, check.Passed), "told-all") {
		t.Errorf("%s held, the report has %+v", counts[1], result.Verdicts)
	}
	checkReportFolder(t, out)
	return result
}

func checkReportFolder(t *testing.T, out string) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(out, "report.html"))
	if err != nil || !bytes.Contains(page, []byte("<svg")) || !bytes.Contains(page, []byte("</svg>")) || bytes.Contains(page, []byte("src=")) {
		t.Errorf("the page does not stand alone: %v", err)
	}
	if text, err := os.ReadFile(filepath.Join(out, "logs", "n0.log")); err != nil || bytes.Count(text, []byte("msg=serving")) != 1 {
		t.Errorf("the log is not of one process, %v: %s", err, text)
	}
	for _, name := range []string{"n0.log", "n1.log", "servers-0.log", "list.log"} {
		if _, err := os.Stat(filepath.Join(out, "logs", name)); err != nil {
			t.Error(err)
		}
	}
}

func checkTrace(t *testing.T, out string) {
	t.Helper()
	c := newCommand(t, "lab", "trace", out, "0000000500000000", "--json")
	var trace []lab.Moment
	if code := c.waitForExit(t); code != exitSuccess || json.Unmarshal(c.out.Bytes(), &trace) != nil || len(trace) < 5 {
		t.Errorf("trace ends with %d: %s%s", code, &c.out, &c.err)
	}
	for i, moment := range trace {
		if i > 0 && moment.At < trace[i-1].At {
			t.Errorf("the trace runs backwards at %v", moment)
		}
	}
}

// TestControls runs each control, in which one protection is off: the lab must find just what it is for.
func TestControls(t *testing.T) {
	t.Parallel()
	paths, err := filepath.Glob("../../lab/controls/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	controlled := map[string]bool{}
	for _, path := range paths {
		file, err := plan.LoadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		controlled[file.Breaks] = true
		t.Run(file.Name, func(t *testing.T) {
			t.Parallel()
			c := newCommand(t, "lab", "run", path, "--json")
			if code := c.waitForExit(t); code != exitFailure {
				t.Fatalf("exit %d: %s%s", code, &c.out, &c.err)
			}
			var r lab.Result
			if err := json.Unmarshal(c.out.Bytes(), &r); err != nil {
				t.Fatal(err)
			}
			if broken := r.Broken(); !slices.Contains(broken, file.Breaks) {
				t.Errorf("broken %v, want %s", broken, file.Breaks)
			}
		})
	}
	for _, v := range plan.Invariants {
		if !controlled[v.Name] {
			t.Errorf("%s has no control", v.Name)
		}
	}
}

// TestFaults has every kind of fault happen to real processes: each takes effect in time, and the program keeps the rules.
func TestFaults(t *testing.T) {
	t.Parallel()
	for file, notSeen := range map[string][]string{"testdata/faults.toml": {"linearizable", "revisions", "told-all", "routes"}, "testdata/keepers.toml": nil,
		"testdata/peers.toml": {"drained", "cold", "linearizable", "revisions", "told-all", "routes"}} {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			testFaults(t, file, notSeen)
		})
	}
}

func testFaults(t *testing.T, file string, notSeen []string) {
	c := newCommand(t, "lab", "run", file, "--json")
	code := c.waitForExit(t)
	var r lab.Result
	if err := json.Unmarshal(c.out.Bytes(), &r); err != nil {
		t.Fatalf("exit %d, %v: %s", code, err, &c.err)
	}
	for _, v := range r.Verdicts {
		if v.Broken > 0 {
			t.Errorf("%s: %v", v.Name, v.Detail)
		}
	}
	retried := func(name string) bool { return name == "one-at-a-time" } // whether one happens to be is not known before
	if got := slices.DeleteFunc(r.NotSeen(), retried); !slices.Equal(got, notSeen) {
		t.Errorf("not seen %v, want %v", got, notSeen)
	}
	seen := map[int]bool{}
	for _, e := range r.Effects {
		seen[e.Fault] = true
		if e.Error != "" {
			t.Errorf("%s on %s: %s", e.Do, e.On, e.Error)
		}
		if e.Seen < e.Planned {
			t.Errorf("%s on %s took effect at %v, before %v", e.Do, e.On, e.Seen, e.Planned)
		}
	}
	f, err := plan.LoadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if n := r.Figures["members_packets"]; f.Members.On != (n > 0) {
		t.Errorf("%v packets a second and sidecar go between sidecars", n)
	}
	for i := range f.Faults {
		if !seen[i] && f.Faults[i].On != "clients" { // those are arrivals of the plan
			t.Errorf("fault %d, %s, took no effect", i, f.Faults[i].Do)
		}
	}
}

// TestExperiments has each file in lab/ be one that can run.
func TestExperiments(t *testing.T) {
	var lines []struct{ File, States string }
	for _, folder := range []string{"../../lab", "../../lab/more"} {
		c := newCommand(t, "lab", "list", folder, "--json")
		if code := c.waitForExit(t); code != 0 {
			t.Fatalf("exit %d: %s", code, &c.err)
		}
		var some []struct{ File, States string }
		if err := json.Unmarshal(c.out.Bytes(), &some); err != nil || len(some) == 0 {
			t.Fatalf("%s: %d experiments, %v", folder, len(some), err)
		}
		lines = append(lines, some...)
	}
	for _, l := range lines {
		f, err := plan.LoadFile(l.File)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(20) {
			if _, err := plan.Make(f, seed); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		}
	}
}

// TestHeavyClients floods real sidecars, of which one is killed and some are cut off: the flood gives way, and nobody else.
func TestHeavyClients(t *testing.T) {
	t.Parallel()
	c := newCommand(t, "lab", "run", "testdata/hitters.toml", "--json")
	code := c.waitForExit(t)
	var r lab.Result
	if err := json.Unmarshal(c.out.Bytes(), &r); err != nil {
		t.Fatalf("exit %d, %v: %s", code, err, &c.err)
	}
	for _, v := range r.Verdicts {
		if v.Broken > 0 {
			t.Errorf("%s: %v", v.Name, v.Detail)
		}
	}
	t.Logf("precision %v, recall %v, after %v ms, %v gave way, sound clients lost %v", r.Figures["hitter_precision"],
		r.Figures["hitter_recall"], r.Figures["hitter_delay_ms"], r.Figures["hitter_yields"], r.Figures["hitter_sound_loss"])
}
