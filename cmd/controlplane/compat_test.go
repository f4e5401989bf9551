package main

import (
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// TestMetricNames: dashboards and alerts name these.
func TestMetricNames(t *testing.T) {
	got := metrics.ListMetricNames()
	slices.Sort(got)
	want := []string{
		`gradeusher_invariant_violations_total{invariant="distribution_never_back"}`,
		`gradeusher_invariant_violations_total{invariant="pick_cold_end_kept"}`,
		`gradeusher_invariant_violations_total{invariant="pick_cold_pace_kept"}`,
		`gradeusher_invariant_violations_total{invariant="pick_sends_allowed"}`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("metrics %q, want %q", got, want)
	}
}
