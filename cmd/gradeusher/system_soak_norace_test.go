//go:build !race

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/soak"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// soakSeeds plays some seeds side by side, each as short as can be.
func soakSeeds(t *testing.T, seeds []uint64, change func(*testcluster.Scenario), plan func(uint64, *testcluster.Scenario) *soak.Plan) []*soak.Result {
	t.Helper()
	proxy, keeper, folder := buildSystem(t)
	results := make([]*soak.Result, len(seeds))
	var all sync.WaitGroup
	for index, seed := range seeds {
		all.Go(func() {
			own := filepath.Join(folder, fmt.Sprint("seed-", seed))
			if err := os.Mkdir(own, 0o700); err != nil {
				t.Error(err)
				return
			}
			scene := soak.NewScenario(seed)
			change(scene)
			r, err := soak.Play(t.Context(), soak.Options{Proxy: proxy, ControlPlane: keeper, Folder: own, Scenario: scene,
				Plan: plan(seed, scene)})
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
				return
			}
			results[index] = r
			t.Log(r)
		})
	}
	all.Wait()
	return slices.DeleteFunc(results, func(r *soak.Result) bool { return r == nil })
}

func drawPlan(seed uint64, scene *testcluster.Scenario) *soak.Plan {
	return soak.Draw(seed, soak.MinDuration, scene)
}

// TestSoak is the short form of `gradeusher system soak`, with controls beside it. This process carries all traffic, and the links
// between the programs that it starts. Built with the race detector it does not keep up on two cores: it goes on seconds late and
// takes control-plane nodes for failed that answer others within milliseconds. So .ci/run plays it alone, built without.
func TestSoak(t *testing.T) {
	t.Run("holds rules", func(t *testing.T) {
		t.Parallel()
		testSoakKeepsRules(t)
	})
	t.Run("sees floods", func(t *testing.T) {
		t.Parallel()
		testSoakDetectsFloods(t)
	})
	t.Run("sees losses", func(t *testing.T) {
		t.Parallel()
		testSoakDetectsLosses(t)
	})
}

// keptSeeds have each kind of fault of tenants, a bridge cut and a planned end among them.
var keptSeeds = []uint64{1, 42, 53}

func testSoakKeepsRules(t *testing.T) {
	t.Helper()
	ends := 0 // tries around planned ends; not every seed has one
	for _, r := range soakSeeds(t, keptSeeds, func(*testcluster.Scenario) {}, drawPlan) {
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", r.Seed, b)
		}
		if r.WarmingServers == 0 || r.AcknowledgedChanges == 0 || r.Reads == 0 || r.Statuses == 0 || r.Served < r.Requests/4 {
			t.Errorf("seed %d saw too little: %v", r.Seed, r)
		}
		for _, rule := range []string{"MIXED", "UNASKED", "TWICE", "REFUSED", "ROUTE", "CONFIG", "FAILBACK", "QUOTA"} {
			if r.Checked[rule] == 0 {
				t.Errorf("seed %d: nothing was seen to judge %s by", r.Seed, rule)
			}
		}
		ends += r.Checked["LOST"]
	}
	if ends == 0 {
		t.Error("nothing was seen to judge LOST by")
	}
}

// testSoakDetectsFloods takes a protection away: the operator does not tell that servers bear less while cold.
func testSoakDetectsFloods(t *testing.T) {
	t.Helper()
	for _, r := range soakSeeds(t, []uint64{4}, func(s *testcluster.Scenario) { s.Config.Services[0].ColdPerSecond = 0 }, drawPlan) {
		if r.OverloadedServers == 0 || !slices.ContainsFunc(r.Broken, func(b string) bool { return strings.HasPrefix(b, "FAILBACK: ") }) {
			t.Errorf("no flood was seen: %v %q", r, r.Broken)
		}
	}
}

const minGrace = 100 * time.Millisecond // that settings may hold

// testSoakDetectsLosses takes another away: proxies have no time for what they have read.
func testSoakDetectsLosses(t *testing.T) {
	t.Helper()
	ends := func(seed uint64, scene *testcluster.Scenario) *soak.Plan {
		p := &soak.Plan{Seed: seed, For: soak.MinDuration}
		for i, m := range scene.Machines {
			p.Faults = append(p.Faults, soak.Fault{Kind: soak.TerminateProxy, Target: m.IP, Start: time.Duration(2+3*i) * time.Second})
		}
		return p
	}
	for _, r := range soakSeeds(t, []uint64{5}, func(s *testcluster.Scenario) { s.Bounds.Grace = minGrace }, ends) {
		if !slices.ContainsFunc(r.Broken, func(b string) bool { return strings.HasPrefix(b, "LOST: ") }) {
			t.Errorf("no loss was seen, of %d: %v %q", r.Checked["LOST"], r, r.Broken)
		}
	}
}
