package soak

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
	"gradeusher.example/gradeusher/internal/system/admin"
)

// judged returns a player whose run is over, with nothing broken yet.
func judged() *player {
	evidence := &rules.Evidence{Bounds: NewScenario(1).Bounds}
	return &player{Run: &testcluster.Run{Environment: &testcluster.Environment{Evidence: evidence}}, plan: &Plan{Seed: 7, For: MinDuration}, broken: []string{}}
}

// TestEvaluateNamesFailures checks that each kind of failure makes a result broken, under its name, so that none is seen without being reported.
func TestEvaluateNamesFailures(t *testing.T) {
	for _, test := range []struct {
		name   string
		report testcluster.Report
		player func(p *player)
	}{
		{name: ""},
		{name: "TWICE", report: testcluster.Report{Verdicts: []rules.Verdict{{Rule: "MIXED", Checked: 3}, {Rule: "TWICE", Violations: 2, Examples: []string{"it ran"}}}}},
		{name: "DIED", report: testcluster.Report{Died: []string{"proxy"}}},
		{name: "STOP", report: testcluster.Report{Killed: []string{"keeper"}}},
		{name: "LAB", report: testcluster.Report{Failures: []string{"a relay had to wait"}}},
		{name: "READ", report: testcluster.Report{ReadError: errors.New("nobody answers")}},
		{name: "VIOLATION", player: func(p *player) { p.monitor.highest = map[string]int64{"pace at proxy": 1} }},
		{name: "RECOVER", player: func(p *player) { p.recordFailure("RECOVER", "not\nserved") }},
	} {
		p := judged()
		if test.player != nil {
			test.player(p)
		}
		r := p.evaluate(&test.report)
		if r.Passed() != (test.name == "") || test.name != "" && (len(r.Broken) != 1 || !strings.HasPrefix(r.Broken[0], test.name+": ") || strings.Contains(r.Broken[0], "\n")) {
			t.Errorf("%s: %q", test.name, r.Broken)
		}
		if word := " held "; strings.Contains(r.String(), word) != r.Passed() {
			t.Errorf("%s: %s", test.name, r)
		}
		if line, err := json.Marshal(r); err != nil || !strings.Contains(string(line), `"seed":7`) || strings.Contains(string(line), "null") {
			t.Errorf("%s: %s, %v", test.name, line, err)
		}
	}
}

// TestEvaluateReportsFloods checks that the figures of servers that warm up are those of the check of FAILBACK.
func TestEvaluateReportsFloods(t *testing.T) {
	p := judged()
	flood := int(20*p.Evidence.Bounds.ColdExcess+p.Evidence.Bounds.ColdSlack) + 1
	for i := range flood {
		p.Evidence.RecordArrival(&rules.Arrival{At: rules.Time(i + 1), Server: "i-1", WarmingUp: true, WarmUpLimit: 20, ExecutedAt: rules.Never})
	}
	p.Evidence.RecordArrival(&rules.Arrival{At: 1, Server: "i-2", WarmingUp: true, WarmUpLimit: 20, ExecutedAt: rules.Never})
	if r := p.evaluate(&testcluster.Report{}); r.WarmingServers != 2 || r.OverloadedServers != 1 || r.Peak != flood || r.Bound != float64(flood-1) {
		t.Errorf("%+v", r)
	}
	if text := (floodReport{p.Evidence}).String(); strings.Count(text, "i-1 got ") != flood || strings.Contains(text, "i-2") {
		t.Errorf("%s", text)
	}
}

// TestCheckSettled checks that the control plane has not recovered while no node is current, or while a zone is evacuated.
func TestCheckSettled(t *testing.T) {
	var status admin.NodeStatus
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(status); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	w := &invariantMonitor{client: admin.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	keepers := []string{server.Listener.Addr().String()}
	for _, c := range []struct {
		status admin.NodeStatus
		good   bool
	}{
		{admin.NodeStatus{}, false},
		{admin.NodeStatus{Current: true, Evacuated: []string{"north-a"}}, false},
		{admin.NodeStatus{Current: true}, true},
	} {
		status = c.status
		if err := w.checkControlPlane(t.Context(), keepers); (err == nil) != c.good {
			t.Errorf("%+v: %v", c.status, err)
		}
	}
	server.Close()
	if err := w.checkControlPlane(t.Context(), keepers); err == nil {
		t.Error("no keeper answers, and that is taken for settled")
	}
}

// TestDrawn checks that probability 0 is never drawn, and probability 1 always is.
func TestDrawn(t *testing.T) {
	var s probability
	for _, v := range []float64{0, 1, 0} {
		s.set(v)
		if all := slices.Repeat([]bool{v == 1}, 50); !slices.Equal(all, draws(&s, 50)) {
			t.Errorf("a share of %v: %v", v, draws(&s, 50))
		}
	}
}

func draws(s *probability, n int) (all []bool) {
	for range n {
		all = append(all, s.drawn())
	}
	return all
}

// TestSkippedEvacuation checks that an evacuation which finds another one under way is not counted as injected.
func TestSkippedEvacuation(t *testing.T) {
	p := judged()
	p.evacuating = make(chan struct{}, 1)
	p.evacuating <- struct{}{}
	p.plan.Faults = []Fault{{Kind: EvacuateZone, Target: homeZones[0]}}
	if err := p.inject(t.Context(), p.plan.Faults[0]); err != nil {
		t.Fatal(err)
	}
	if r := p.evaluate(&testcluster.Report{}); r.Faults != 0 || r.SkippedFaults != 1 {
		t.Errorf("%d injected, %d skipped", r.Faults, r.SkippedFaults)
	}
}

// TestUnreadableStatus checks that an answer which is no status is a failure, while no answer is none.
func TestUnreadableStatus(t *testing.T) {
	answer := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if answer == "cut" {
			w.Header().Set("Content-Length", "100")
		}
		if _, err := w.Write([]byte(answer)); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	for _, test := range []struct {
		answer string
		broken int
	}{{`{"violations":{"pace":0}}`, 0}, {"not found", 1}, {`{"violations":[]}`, 1}, {"cut", 0}} {
		answer = test.answer
		p := judged()
		p.monitor.poll(t.Context(), "proxy-1", server.Listener.Addr().String())
		if r := p.evaluate(&testcluster.Report{}); len(r.Broken) != test.broken || test.broken > 0 && !strings.HasPrefix(r.Broken[0], "STATUS: proxy-1: ") {
			t.Errorf("%q: %q", test.answer, r.Broken)
		}
	}
	server.Close()
	p := judged()
	p.monitor.poll(t.Context(), "proxy-1", server.Listener.Addr().String())
	if r := p.evaluate(&testcluster.Report{}); !r.Passed() {
		t.Errorf("a process that does not answer: %q", r.Broken)
	}
}
