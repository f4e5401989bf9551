package hitters

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testSettings is the settings of sidecar 1.
var testSettings = func() Settings {
	s := Defaults()
	s.Origin, s.HighThreshold, s.LowThreshold, s.SuspicionTime = 1, 0.08, 0.05, 900*time.Millisecond
	return s
}()

// reportOf returns a report with the given shares of clients 1, 2 and so on.
func reportOf(total uint64, shares ...float64) Report {
	r := Report{Total: total, Requests: 10_000, Served: fullShare}
	for i, s := range shares {
		r.Keys[i], r.Shares[i], r.Named = uint64(i+1), uint16(s*fullShare), r.Named+1
	}
	return r
}

func newDetector(t interface{ Fatal(...any) }) *Detector {
	detector, err := New(&testSettings)
	if err != nil {
		t.Fatal(err)
	}
	return detector
}

// stateOf returns the state of a client.
func stateOf(detector *Detector, key uint64) State { return detector.client(key).State }

// runWindows makes the origins send the same reports in each window, for some time.
func runWindows(detector *Detector, now *Time, seq *uint64, length time.Duration, reports map[uint64]Report) {
	for end := *now + length; *now < end; *now += testSettings.Window {
		*seq++
		for origin, r := range reports {
			detector.Receive(*now, OriginReport{Origin: origin, Seq: *seq, Report: r})
		}
		detector.EndWindow(*now)
	}
}

// TestStates takes a client through all states.
func TestStates(t *testing.T) {
	for _, test := range []struct {
		name  string
		above time.Duration // how long it has twice the high threshold
		share float64       // its share afterwards
		after time.Duration // how long it has that share
		want  State
	}{
		{"sound", 0, 0.07, 3 * time.Second, Quiet},
		{"for a moment", time.Second, 0.07, time.Second, Quiet},
		{"just started", time.Second, 0.16, 0, Suspected},
		{"for a long time", 2 * time.Second, 0.16, 0, Heavy},
		{"between the thresholds", 2 * time.Second, 0.06, 9 * time.Second, Heavy},
		{"below both thresholds", 2 * time.Second, 0.04, 3 * time.Second, Cooling},
		{"forgotten", 2 * time.Second, 0.04, 7 * time.Second, Quiet},
	} {
		detector, now, seq := newDetector(t), time.Minute, uint64(0)
		with := func(share float64) map[uint64]Report {
			reports := map[uint64]Report{}
			for o := range uint64(50) {
				reports[2+o] = reportOf(1000, share)
			}
			return reports
		}
		runWindows(detector, &now, &seq, test.above, with(0.16))
		runWindows(detector, &now, &seq, test.after, with(test.share))
		if got := stateOf(detector, 1); got != test.want {
			t.Errorf("%s: state %v, want %v", test.name, got, test.want)
		}
	}
}

// TestReportsInAnyOrder delivers random reports in two orders, one of them with duplicates, and checks that the sums are the same.
// Reports older than the TTL must not count.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) OriginReport {
			seq := rapid.Uint64Range(1, 5).Draw(t, "seq")
			return OriginReport{Origin: rapid.Uint64Range(2, 6).Draw(t, "origin"), Start: rapid.Int64Range(1, 3).Draw(t, "start"),
				Seq: seq, Report: reportOf(1000*seq, 0.1*float64(seq))}
		}), 1, 30).Draw(t, "news")
		for i := range reports { // reports with equal origin, start and seq have equal contents
			reports[i].Report.Total += uint64(reports[i].Start)
		}
		inOrder, shuffled := newDetector(t), newDetector(t)
		for _, n := range reports {
			inOrder.Receive(0, n)
		}
		again := rapid.Permutation(append(slices.Clone(reports), reports...)).Draw(t, "again")
		for _, n := range again {
			shuffled.Receive(0, n)
		}
		fx, sx := inOrder.sumReports(math.MaxInt64)
		fy, sy := shuffled.sumReports(math.MaxInt64)
		if fx != fy || !slices.Equal(sx, sy) {
			t.Fatalf("sums %+v %+v, in another order %+v %+v", fx, sx, fy, sy)
		}
		inOrder.EndWindow(testSettings.ReportTTL + 1)
		if f, _ := inOrder.sumReports(math.MaxInt64); f.total != 0 ||
			inOrder.Receive(0, OriginReport{Origin: 9, Age: testSettings.ReportTTL + 1}) {
			t.Fatalf("reports older than the TTL count: %+v", f)
		}
	})
}

// TestOneFalseOrigin adds one origin with random false reports to honest ones. Any client that is not quiet must reach the high threshold
// by the honest reports alone, where the largest honest total counts for anything from four times the next one to its full value.
func TestOneFalseOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		randomReport := rapid.Custom(func(t *rapid.T) Report {
			left := 1.0
			r := reportOf(rapid.Uint64Range(0, 1<<rapid.IntRange(1, 40).Draw(t, "size")).Draw(t, "total"))
			for i := range rapid.IntRange(0, 4).Draw(t, "named") {
				share := left * rapid.Float64Range(0.01, 0.9).Draw(t, "share")
				r.Keys[i], r.Shares[i], r.Named = uint64(i+1), uint16(share*fullShare), r.Named+1
				left -= share
			}
			return r
		})
		honest := rapid.SliceOfN(randomReport, 1, 8).Draw(t, "honest")
		reports := map[uint64]Report{99: randomReport.Draw(t, "lie")}
		honestOnly := newDetector(t)
		for i, r := range honest {
			reports[uint64(i+2)] = r
			honestOnly.Receive(time.Minute, OriginReport{Origin: uint64(i + 2), Report: r})
		}
		detector, now, seq := newDetector(t), time.Minute, uint64(0)
		runWindows(detector, &now, &seq, 3*time.Second, reports)
		next := honestOnly.secondLargestTotal()
		for _, c := range detector.clients {
			if most := largestShare(honestOnly, c.Key, maxTotalRatio*next); most < testSettings.HighThreshold-1e-3 {
				t.Fatalf("client %d is %v, with a share of %v without the false origin", c.Key, c.State, most)
			}
		}
	})
}

// largestShare returns the larger of a client's shares with and without capped totals.
func largestShare(d *Detector, key, capped uint64) (most float64) {
	for _, maxOther := range []uint64{capped, math.MaxInt64} {
		f, all := d.sumReports(maxOther)
		for _, t := range all {
			if t.key == key {
				most = max(most, float64(t.total)/float64(f.total))
			}
		}
	}
	return most
}

// TestFairShare compares the admitted shares of heavy clients with max-min fair shares that are found by trying levels.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.Float64Range(0.09, 0.3), 1, 3).Draw(t, "shares")
		served := rapid.Float64Range(0.3, 1).Draw(t, "served")
		r := reportOf(1_000_000, shares...)
		r.Served = uint16(served * fullShare)
		detector, now, seq := newDetector(t), time.Minute, uint64(0)
		words := map[uint64]Report{}
		for o := range uint64(40) {
			words[2+o] = r
		}
		runWindows(detector, &now, &seq, 3*time.Second, words)
		low, high := levelByTrial(shares, served*backoffFactor), levelByTrial(shares, served*growthFactor)
		for i, s := range shares {
			c := detector.client(uint64(i + 1))
			if c.State != Heavy || c.AdmittedShare < low/s-0.01 && c.AdmittedShare < 1 || c.AdmittedShare > high/s+0.01 {
				t.Fatalf("client is %v and keeps %v of its share %v, want a level from %v to %v", c.State, c.AdmittedShare, s, low, high)
			}
			checkAdmitted(t, detector, now, c)
		}
		if _, rejected := detector.ShouldReject(now, true, 77, 1); rejected {
			t.Fatal("a client that is not heavy is rejected")
		}
	})
}

// levelByTrial returns the max-min level at which clients with these shares, and others that ask for the rest, use at most the
// supply.
func levelByTrial(shares []float64, supply float64) (level float64) {
	for used := 0.0; level < 1 && used <= min(supply, 1); level += 1e-4 {
		used = 1
		for _, s := range shares {
			used -= max(s-level, 0)
		}
	}
	return max(level, minAdmittedFraction*testSettings.LowThreshold*supply)
}

// checkAdmitted compares the number of admitted requests of a heavy client with its admitted share.
func checkAdmitted(t *rapid.T, detector *Detector, now Time, client *Client) {
	t.Helper()
	admitted := 0
	for id := range uint64(1000) {
		after, rejected := detector.ShouldReject(now, true, client.Key, id)
		if rejected != (after >= minRetryDelay && after < 2*minRetryDelay) {
			t.Fatalf("rejected %v with a retry delay of %v", rejected, after)
		}
		if !rejected {
			admitted++
		}
	}
	if _, rejected := detector.ShouldReject(now+testSettings.ReportTTL, true, client.Key, 1); rejected {
		t.Fatal("a request is rejected although the reports are too old")
	}
	if math.Abs(float64(admitted)-1000*client.AdmittedShare) > 1 {
		t.Fatalf("%d of 1000 requests admitted, want a share of %v", admitted, client.AdmittedShare)
	}
}

// TestRejectsUntilThereIsCapacity checks that a heavy client is still rejected if servers are less than full only because of the
// rejections, and no longer once there is capacity for all of its requests.
func TestRejectsUntilThereIsCapacity(t *testing.T) {
	r := reportOf(1_000_000, 0.3)
	r.Served = uint16(0.8 * fullShare)
	detector, now, seq := newDetector(t), time.Minute, uint64(0)
	words := map[uint64]Report{}
	runWith := func(r Report) {
		for o := range uint64(40) {
			words[2+o] = r
		}
		runWindows(detector, &now, &seq, 3*time.Second, words)
	}
	countRejected := func(full bool) (n int) {
		for id := range uint64(100) {
			if _, rejected := detector.ShouldReject(now, full, 1, id); rejected {
				n++
			}
		}
		return n
	}
	runWith(r)
	if n := countRejected(false); n > 0 {
		t.Errorf("%d of 100 requests rejected before servers are full", n)
	}
	if n := countRejected(true); n == 0 {
		t.Error("no request rejected while servers are full")
	}
	if n := countRejected(false); n == 0 {
		t.Error("no request rejected as soon as rejections have made servers less than full")
	}
	r.Served = fullShare
	runWith(r)
	if n := countRejected(false); n > 0 {
		t.Errorf("%d of 100 requests rejected although there is capacity, admitted share %v", n, detector.client(1).AdmittedShare)
	}
}
