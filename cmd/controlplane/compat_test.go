package main

import (
	"slices"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"gradeusher.example/gradeusher/internal/system/settings"
)

var publishOnce sync.Once // metrics can be registered only once in a process

// TestMetricNames checks the names of the metrics, which dashboards and alerts use.
func TestMetricNames(t *testing.T) {
	publishOnce.Do(func() { newAllocation(&settings.Settings{IP: "127.0.0.1"}, discardLog(), nil, "").Publish() })
	got := metrics.ListMetricNames()
	slices.Sort(got)
	want := []string{
		`gradeusher_invariant_violations_total{invariant="distribution_never_back"}`,
		`gradeusher_invariant_violations_total{invariant="pick_cold_end_kept"}`,
		`gradeusher_invariant_violations_total{invariant="pick_cold_pace_kept"}`,
		`gradeusher_invariant_violations_total{invariant="pick_sends_allowed"}`,
		`gradeusher_invariant_violations_total{invariant="quota_shares_within_limit"}`,
		`gradeusher_invariant_violations_total{invariant="quota_takes_within_bucket"}`,
		"gradeusher_quota_leases_total",
		"gradeusher_quota_referrals_total",
		"gradeusher_quota_terms_total",
	}
	if !slices.Equal(got, want) {
		t.Errorf("metrics %q, want %q", got, want)
	}
}
