package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab"
	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

const (
	childMark = "GRADEUSHER_TEST_CHILD" // in the environment of a process that is to be the command, not the tests
	ownMark   = "GRADEUSHER_TEST_OWNER" // tells one test's processes from another's
)

func TestMain(m *testing.M) {
	if os.Getenv(childMark) != "" {
		selfEnv = []string{childMark + "=1", ownMark + "=" + os.Getenv(ownMark)}
		main()
		return
	}
	os.Exit(m.Run())
}

// command is the program as a process of its own, with a temporary folder that must be empty at its end.
type command struct {
	*exec.Cmd
	out, err bytes.Buffer
	tmp      string
	owner    string
}

func newCommand(t testing.TB, args ...string) *command {
	t.Helper()
	me, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := &command{Cmd: exec.Command(me, args...), tmp: t.TempDir(), owner: fmt.Sprintf("%s-%d", t.Name(), time.Now().UnixNano())}
	c.Env = append(os.Environ(), childMark+"=1", ownMark+"="+c.owner, "TMPDIR="+c.tmp)
	c.Stdout, c.Stderr = &c.out, &c.err
	return c
}

// ends runs the command to its end and returns the exit code. Whatever it was, nothing of it is left behind.
func (c *command) ends(t *testing.T) int {
	t.Helper()
	if c.Process == nil {
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
	}
	err := c.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	if left := processes(t, c.owner); len(left) > 0 {
		t.Errorf("processes %v are left", left)
	}
	if left, err := os.ReadDir(c.tmp); err != nil || len(left) > 0 {
		t.Errorf("%v left in the temporary folder, %v", left, err)
	}
	return c.ProcessState.ExitCode()
}

// processes are those with a test's mark in their environment.
func processes(t *testing.T, owner string) []string {
	t.Helper()
	paths, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err == nil && bytes.Contains(text, []byte(ownMark+"="+owner+"\x00")) { // others end meanwhile
			found = append(found, filepath.Base(filepath.Dir(path)))
		}
	}
	return found
}

// TestUp starts everything on a machine where nothing is configured.
func TestUp(t *testing.T) {
	t.Parallel()
	c := newCommand(t, "up", "--for", "3s")
	if code := c.ends(t); code != 0 {
		t.Fatalf("exit %d: %s%s", code, &c.out, &c.err)
	}
	text := c.out.String()
	for what, n := range map[string]int{`(?m)^list `: 1, `(?m)^sidecar `: 2, `(?m)^server `: 6, `(?m)^ +\d+s +\d+ requests/s`: 2} {
		if got := len(regexp.MustCompile(what).FindAllString(text, -1)); got < n {
			t.Errorf("%d lines like %q, want %d at least:\n%s", got, what, n, text)
		}
	}
}

// TestSameSeed runs one experiment twice: arrivals and faults are the same, the reports are whole, and nothing is left.
func TestSameSeed(t *testing.T) {
	t.Parallel()
	var reports []*lab.Result
	out := t.TempDir() // the second leaves nothing of the first
	for range 2 {
		c := newCommand(t, "lab", "run", "testdata/small.toml", "--seed", "5", "--out", out)
		if code := c.ends(t); code != 0 {
			t.Fatalf("exit %d: %s%s", code, &c.out, &c.err)
		}
		lines := strings.Split(strings.TrimSpace(c.out.String()), "\n")
		last := regexp.MustCompile(`^held (\d+) of (\d+)$`).FindStringSubmatch(lines[len(lines)-1])
		if last == nil || last[1] != last[2] || !strings.Contains(lines[len(lines)-2], "not seen") || !strings.Contains(lines[len(lines)-2], "linearizable") {
			t.Errorf("the last lines are %q", lines[len(lines)-2:])
		}
		r, err := lab.ReadReport(out)
		if err != nil {
			t.Fatal(err)
		}
		reports = append(reports, r)
		if held := last[1]; fmt.Sprint(len(r.Verdicts)-len(r.NotSeen())) != held || slices.Contains(check.Names(r.Verdicts, check.Passed), "told-all") {
			t.Errorf("%s held, the report has %+v", held, r.Verdicts)
		}
		page, err := os.ReadFile(filepath.Join(out, "report.html"))
		if err != nil || !bytes.Contains(page, []byte("<svg")) || !bytes.Contains(page, []byte("</svg>")) || bytes.Contains(page, []byte("src=")) {
			t.Errorf("the page is not whole in itself: %v", err)
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
	c := newCommand(t, "lab", "trace", out, "0000000500000000", "--json")
	var trace []lab.Moment
	if code := c.ends(t); code != 0 || json.Unmarshal(c.out.Bytes(), &trace) != nil || len(trace) < 5 {
		t.Errorf("trace ends with %d: %s%s", code, &c.out, &c.err)
	}
	for i, m := range trace {
		if i > 0 && m.At < trace[i-1].At {
			t.Errorf("the trace runs backwards at %v", m)
		}
	}
	if a, b := reports[0], reports[1]; a.ArrivalsHash != b.ArrivalsHash || a.StepsHash != b.StepsHash || a.Figures["requests"] != b.Figures["requests"] {
		t.Errorf("one seed gave %s and %s, %s and %s", a.ArrivalsHash, b.ArrivalsHash, a.StepsHash, b.StepsHash)
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
		f, err := plan.LoadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		controlled[f.Breaks] = true
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			c := newCommand(t, "lab", "run", path, "--json")
			if code := c.ends(t); code != exitBroken {
				t.Fatalf("exit %d: %s%s", code, &c.out, &c.err)
			}
			var r lab.Result
			if err := json.Unmarshal(c.out.Bytes(), &r); err != nil {
				t.Fatal(err)
			}
			if broken := r.Broken(); !slices.Contains(broken, f.Breaks) {
				t.Errorf("broken %v, want %s", broken, f.Breaks)
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
	code := c.ends(t)
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

// TestInterrupted ends experiments half way, by an interrupt and by SIGKILL: no process and no folder survives.
func TestInterrupted(t *testing.T) {
	t.Parallel()
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			c := newCommand(t, "up", "--for", "10m")
			said, told, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer said.Close()
			c.Stdout = told
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			told.Close()
			text := make([]byte, 1<<16)
			for seen := ""; !strings.Contains(seen, "requests/s"); {
				n, err := said.Read(text)
				if err != nil {
					t.Fatalf("%v after %q: %s", err, seen, &c.err)
				}
				seen += string(text[:n])
			}
			if n := len(processes(t, c.owner)); n < 5 {
				t.Errorf("%d processes run, want the command, the servers, the list and two sidecars", n)
			}
			if err := c.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			if sig != syscall.SIGKILL {
				go func() { // what it still says must not hold it up
					for err == nil {
						_, err = said.Read(text)
					}
				}()
				c.ends(t)
				return
			}
			if err := c.Wait(); err == nil {
				t.Error("it ended well")
			}
			for until := time.Now().Add(30 * time.Second); len(processes(t, c.owner)) > 0; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(until) {
					t.Fatalf("processes %v outlive the lab", processes(t, c.owner))
				}
			}
			if left, err := os.ReadDir(c.tmp); err != nil || len(left) > 0 {
				t.Errorf("%v left in the temporary folder, %v", left, err)
			}
		})
	}
}

// TestUsage has bad usage and bad files end with exit 2 and one line.
func TestUsage(t *testing.T) {
	t.Parallel()
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("states = \"x\"\nsecond = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		args []string
		says string
	}{
		{[]string{"lab", "run", bad}, bad + ":2: unknown key"},
		{[]string{"lab", "run", "nowhere.toml"}, "nowhere.toml"},
		{[]string{"lab", "list", "nowhere"}, "nowhere"},
		{[]string{"lab", "run", "testdata/small.toml", "--sed", "3"}, "--sed"},
		{[]string{"up", "--for", "3h"}, "--for"},
		{[]string{"lab", "compare", "testdata/small.toml", "testdata/small.toml", "--repeat", "0"}, "--repeat"},
	} {
		c := newCommand(t, tt.args...)
		if code := c.ends(t); code != exitUsage {
			t.Errorf("%v: exit %d, want %d", tt.args, code, exitUsage)
		}
		if text := c.err.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, tt.says) {
			t.Errorf("%v said %q, want one line with %q", tt.args, text, tt.says)
		}
	}
}

// TestExperiments has each file in lab/ be one that can run.
func TestExperiments(t *testing.T) {
	var lines []struct{ File, States string }
	for _, folder := range []string{"../../lab", "../../lab/more"} {
		c := newCommand(t, "lab", "list", folder, "--json")
		if code := c.ends(t); code != 0 {
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
