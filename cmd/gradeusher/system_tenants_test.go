package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// TestTenantsAcrossTheFleet guards against requests that run with a key that no configuration holds, under another tenant's name or beyond the tenant's
// limit: real processes, with clients that use and misuse keys, while one tenant floods, a key is taken away and limits are lowered.
func TestTenantsAcrossTheFleet(t *testing.T) {
	proxy, keeper, folder := buildSystem(t)
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	scene := testcluster.SmallScenario(80)
	scene.AddTenants()
	run, err := testcluster.Up(ctx, testcluster.UpOptions{Proxy: proxy, ControlPlane: keeper, Folder: folder, Seed: 11, Scenario: scene})
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(11, 1))
	usual := *scene.Config.Tenant(testcluster.LargeTenant)
	hot := testcluster.HotKind(scene.Config, scene.Kinds[2])
	flood := func(last time.Duration) error {
		floodCtx, stop := context.WithTimeout(ctx, last)
		defer stop()
		run.Flood(floodCtx, hot)
		return ctx.Err()
	}
	for _, step := range []struct {
		name string
		do   func() error
	}{
		{"traffic", func() error { return run.AwaitServed(ctx, 40) }},
		{"a tenant floods", func() error { return flood(scene.Bounds.QuotaWindow) }},
		{"a key is taken away", func() error { return run.RemoveKey(ctx, run.NextRevision(rng), testcluster.RevocableKey) }},
		{"traffic with that key", func() error { return run.AwaitServed(ctx, 350) }},
		{"the key is given back", func() error {
			return run.AddKey(ctx, run.NextRevision(rng), testcluster.LargeTenant, testcluster.RevocableKey)
		}},
		{"a limit is lowered far below what the tenant sends", func() error {
			return run.SetLimit(ctx, run.NextRevision(rng), testcluster.LargeTenant, 0.01*usual.RatePerSecond, 0.01*usual.Burst)
		}},
		{"traffic beyond that limit, while another tenant floods", func() error { return flood(scene.Bounds.ConfigApply + 3*scene.Bounds.QuotaWindow/2) }},
		{"the limit is raised", func() error {
			return run.SetLimit(ctx, run.NextRevision(rng), testcluster.LargeTenant, usual.RatePerSecond, usual.Burst)
		}},
		{"two tenants share a key", func() error { return run.SendSharedKey(ctx, rng) }},
	} {
		if err := step.do(); err != nil {
			t.Errorf("%s: %v", step.name, err)
			break
		}
		t.Logf("%v: %s", run.Now().Round(time.Millisecond), step.name)
	}
	report := run.Finish()
	if !report.Good() {
		t.Errorf("%s", strings.Join(report.Lines(), "\n"))
	}
	checkTenantsServed(t, run.Evidence.Attempts)
	t.Logf("%v: ended\n%s", run.Now().Round(time.Millisecond), strings.Join(report.Lines(), "\n"))
}

// checkTenantsServed checks that a tenant which stays below its limit is served: no rule is broken by a system that refuses everything.
func checkTenantsServed(t *testing.T, attempts []*rules.Attempt) {
	t.Helper()
	statuses := map[string]map[int]int{} // by key and status
	for _, attempt := range attempts {
		if statuses[attempt.Key] == nil {
			statuses[attempt.Key] = map[int]int{}
		}
		statuses[attempt.Key][attempt.Status]++
	}
	for key, counts := range statuses {
		t.Logf("key %q: %v by status", key, counts)
	}
	small := statuses[testcluster.SmallKey]
	if served, refused := small[http.StatusOK], small[http.StatusTooManyRequests]; served == 0 || refused > served/20 {
		t.Errorf("of the requests of a tenant below its limit %d were served, and %d answered 429", served, refused)
	}
}
