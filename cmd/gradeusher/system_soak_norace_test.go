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

	"gradeusher.example/gradeusher/internal/lab/soak"
	"gradeusher.example/gradeusher/internal/lab/world"
)

// soakSeeds plays some seeds side by side, each as short as can be.
func soakSeeds(t *testing.T, seeds []uint64, change func(*world.Scene)) []*soak.Result {
	t.Helper()
	proxy, keeper, folder := buildSystem(t)
	results := make([]*soak.Result, len(seeds))
	var all sync.WaitGroup
	for i, seed := range seeds {
		all.Go(func() {
			own := filepath.Join(folder, fmt.Sprint("seed-", seed))
			if err := os.Mkdir(own, 0o700); err != nil {
				t.Error(err)
				return
			}
			scene := soak.Scene(seed)
			change(scene)
			r, err := soak.Play(t.Context(), soak.Options{Proxy: proxy, Keeper: keeper, Folder: own, Scene: scene,
				Plan: soak.Draw(seed, soak.Shortest, scene)})
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
				return
			}
			results[i] = r
			t.Log(r)
		})
	}
	all.Wait()
	return slices.DeleteFunc(results, func(r *soak.Result) bool { return r == nil })
}

// TestSoak is the short form of `gradeusher system soak`, with a control beside it. Its real processes have to keep up with the time
// on the clock, which they did not beside the race detector's builds of all packages' tests: .ci/run plays it alone.
func TestSoak(t *testing.T) {
	t.Run("holds rules", func(t *testing.T) {
		t.Parallel()
		soakHoldsRules(t)
	})
	t.Run("sees floods", func(t *testing.T) {
		t.Parallel()
		soakSeesFloods(t)
	})
}

func soakHoldsRules(t *testing.T) {
	t.Helper()
	for _, r := range soakSeeds(t, []uint64{1, 2, 3}, func(*world.Scene) {}) {
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", r.Seed, b)
		}
		if r.Cold == 0 || r.Orders == 0 || r.Reads == 0 || r.Statuses == 0 || r.Served < r.Requests/4 {
			t.Errorf("seed %d saw too little: %v", r.Seed, r)
		}
		for _, rule := range []string{"MIXED", "TWICE", "REFUSED", "CONFIG", "FAILBACK"} {
			if r.Looked[rule] == 0 {
				t.Errorf("seed %d: nothing was seen to judge %s by", r.Seed, rule)
			}
		}
	}
}

// soakSeesFloods takes a protection away: the operator does not tell that servers bear less while cold.
func soakSeesFloods(t *testing.T) {
	t.Helper()
	for _, r := range soakSeeds(t, []uint64{4}, func(s *world.Scene) { s.Config.Services[0].ColdPerSecond = 0 }) {
		if r.Flooded == 0 || !slices.ContainsFunc(r.Broken, func(b string) bool { return strings.HasPrefix(b, "FAILBACK: ") }) {
			t.Errorf("no flood was seen: %v %q", r, r.Broken)
		}
	}
}
