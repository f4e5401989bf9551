//go:build !race

package main

import (
	"slices"
	"testing"

	"gradeusher.example/gradeusher/internal/lab/soak"
)

// TestKeptSeedsHaveFaultsOfTenants checks that the seeds of TestSoak have the faults for which they are chosen, as a change of the kinds of faults changes
// what a seed draws.
func TestKeptSeedsHaveFaultsOfTenants(t *testing.T) {
	var drawn []soak.Kind
	for _, seed := range keptSeeds {
		for _, fault := range drawPlan(seed, soak.NewScenario(seed)).Faults {
			drawn = append(drawn, fault.Kind)
		}
	}
	for _, kind := range []soak.Kind{soak.FloodByTenant, soak.RevokeKey, soak.LowerLimit, soak.CutBridge, soak.TerminateProxy} {
		if !slices.Contains(drawn, kind) {
			t.Errorf("no seed has %q", kind)
		}
	}
}
