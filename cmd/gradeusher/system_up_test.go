package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
	"gradeusher.example/gradeusher/internal/system/admin"
)

// buildSystem builds the system's programs.
func buildSystem(t *testing.T) (proxy, keeper, folder string) {
	t.Helper()
	tool, err := exec.LookPath("go")
	if err != nil {
		t.Skip("the go tool is missing")
	}
	folder = t.TempDir()
	build := exec.CommandContext(t.Context(), tool, "build", "-o", folder+string(filepath.Separator), "../proxy", "../controlplane")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return filepath.Join(folder, "proxy"), filepath.Join(folder, "controlplane"), folder
}

// TestSystemKeepsRulesThroughEnds runs the real programs through the kill of a control-plane node and the planned end of a proxy,
// with changes of the configuration before and after.
func TestSystemKeepsRulesThroughEnds(t *testing.T) {
	proxy, keeper, folder := buildSystem(t)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	run, err := testcluster.Up(ctx, testcluster.UpOptions{Proxy: proxy, ControlPlane: keeper, Folder: folder, Rate: 60, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	machines := run.Fleet.Machines
	added := rules.Route{Name: "added", Host: run.Scenario.Config.Routes[0].Host, Prefix: "/added/", Category: "idempotent", Timeout: 2000,
		Aim: 400, Priority: 2, Target: "thumbs", MaxTries: 1, Homes: []string{}}
	ended := make(chan error, 1)
	for _, step := range []struct {
		name string
		do   func() error
	}{
		{"traffic", func() error { return run.AwaitServed(ctx, 15) }},
		{"the machine without a disk has an observer", func() error {
			// It hears the configuration some heartbeats after those who take clients.
			return testcluster.Await(ctx, func(ctx context.Context) error { return observes(ctx, run.Fleet.ControlAddress(machines[3])) })
		}},
		{"a route is added", func() error { return run.AddRoute(ctx, 5, added) }},
		{"the head of the chain is killed", func() error { return run.KillControlPlane(machines[0]) }},
		{"traffic without it", func() error { return run.AwaitServed(ctx, 15) }},
		{"the route is removed", func() error { return run.RemoveRoute(ctx, 9, "added") }},
		{"a proxy is told to end", func() error {
			go func() { ended <- run.TerminateProxy(ctx, machines[3]) }()
			return run.AwaitProxies(ctx, 3)
		}},
		{"traffic meanwhile", func() error { return run.AwaitServed(ctx, 15) }},
		{"it has ended", func() error { return <-ended }},
	} {
		if err := step.do(); err != nil {
			t.Errorf("%s: %v\nkeeper:\n%s\nproxy:\n%s", step.name, err, run.Fleet.Log(machines[1], true, 20), run.Fleet.Log(machines[1], false, 20))
			break
		}
		t.Logf("%v: %s", run.Now().Round(time.Millisecond), step.name)
	}
	if probe := run.Probe(ctx, run.Fleet.FrontAddress(machines[1]), added.Host, "/never/was"); probe.Status != http.StatusNotFound {
		t.Errorf("a route that never existed was answered %d", probe.Status)
	}
	report := run.Finish()
	if !report.Good() {
		t.Errorf("%s", strings.Join(report.Lines(), "\n"))
	}
	t.Logf("%v: ended\n%s", run.Now().Round(time.Millisecond), strings.Join(report.Lines(), "\n"))
}

// observes tells whether the node at the control address is an observer that knows the configuration and forwards reads.
func observes(ctx context.Context, address string) error {
	var client admin.Client
	s, err := client.NodeStatus(ctx, address)
	if err != nil {
		return err
	}
	if !s.Observer || s.Revision == 0 || slices.Contains(s.Chain, strings.Split(address, ":")[0]) || s.Capacity == nil || s.Capacity.Voters != 3 {
		return fmt.Errorf("%s is no observer that follows three voters: %+v", address, s)
	}
	state, err := client.Backup(ctx, address)
	if err == nil && state.Revision() != s.Revision {
		err = fmt.Errorf("a read that is passed on gives revision %d, and %s holds %d", state.Revision(), address, s.Revision)
	}
	return err
}

// TestSystemUpUsage: what cannot be done is refused before anything starts.
func TestSystemUpUsage(t *testing.T) {
	for _, c := range []systemUpCommand{{For: 0, Rate: 1}, {For: 2 * time.Hour, Rate: 1}, {For: time.Minute}, {For: time.Minute, Rate: 1e6}} {
		var out bytes.Buffer
		if err := c.Run(t.Context(), streams{out: &out, err: &out}); !errors.Is(err, errUsage) || out.Len() > 0 {
			t.Errorf("%+v: %v, %q", c, err, out.String())
		}
	}
}
