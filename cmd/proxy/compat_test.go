package main

import (
	"slices"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

var publishOnce sync.Once // metrics can be registered only once in a process

// TestMetricNames checks the names of the metrics, which dashboards and alerts use.
func TestMetricNames(t *testing.T) {
	publishOnce.Do(func() {
		p := newTestServer(t)
		p.dataPlane.Publish()
		p.limiter.Publish()
		p.quotas.Publish()
	})
	got := metrics.ListMetricNames()
	slices.Sort(got)
	want := []string{
		`gradeusher_invariant_violations_total{invariant="distribution_never_back"}`,
		`gradeusher_invariant_violations_total{invariant="pick_cold_end_kept"}`,
		`gradeusher_invariant_violations_total{invariant="pick_cold_pace_kept"}`,
		`gradeusher_invariant_violations_total{invariant="pick_sends_allowed"}`,
		`gradeusher_invariant_violations_total{invariant="proxy_runs_once"}`,
		`gradeusher_invariant_violations_total{invariant="quota_shares_within_limit"}`,
		`gradeusher_invariant_violations_total{invariant="quota_takes_within_bucket"}`,
		"gradeusher_proxy_broken_total",
		"gradeusher_proxy_cold_ends_total",
		"gradeusher_proxy_cold_sends_total",
		"gradeusher_proxy_cold_starts_total",
		"gradeusher_proxy_cut_total",
		"gradeusher_proxy_dials_total",
		"gradeusher_proxy_gone_total",
		"gradeusher_proxy_improper_total",
		"gradeusher_proxy_keys_unverified_total",
		"gradeusher_proxy_mismatch_total",
		"gradeusher_proxy_moved_total",
		"gradeusher_proxy_over_limit_total",
		"gradeusher_proxy_quota_unavailable_total",
		"gradeusher_proxy_refused_total",
		"gradeusher_proxy_repeats_total",
		"gradeusher_proxy_requests_total",
		"gradeusher_proxy_resumed_total",
		"gradeusher_proxy_reused_total",
		"gradeusher_proxy_revoked_total",
		"gradeusher_proxy_sends_total",
		"gradeusher_proxy_served_total",
		"gradeusher_proxy_stale_total",
		"gradeusher_proxy_surplus_total",
		"gradeusher_proxy_timed_out_total",
		"gradeusher_proxy_unauthorized_total",
		"gradeusher_proxy_unframed_total",
		"gradeusher_proxy_unreached_total",
		"gradeusher_quota_admitted_total",
		"gradeusher_quota_denied_total",
		"gradeusher_quota_granted_total",
		"gradeusher_quota_lease_call_failures_total",
		"gradeusher_quota_lease_calls_total",
		"gradeusher_quota_limiter_call_failures_total",
		"gradeusher_quota_limiter_calls_total",
		"gradeusher_quota_over_limit_total",
		"gradeusher_quota_takes_total",
		"gradeusher_quota_unavailable_total",
	}
	if !slices.Equal(got, want) {
		t.Errorf("metrics %q, want %q", got, want)
	}
}
