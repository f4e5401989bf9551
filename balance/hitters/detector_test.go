package hitters

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// set is the settings of sidecar 1.
var set = func() Settings {
	s := Defaults()
	s.Origin, s.HighThreshold, s.LowThreshold, s.SuspicionTime = 1, 0.08, 0.05, 900*time.Millisecond
	return s
}()

// says returns a report with the given shares of clients 1, 2 and so on.
func says(total uint64, shares ...float64) Report {
	r := Report{Total: total, Requests: 10_000, Served: fullShare}
	for i, s := range shares {
		r.Keys[i], r.Shares[i], r.Named = uint64(i+1), uint16(s*fullShare), r.Named+1
	}
	return r
}

func judge(t interface{ Fatal(...any) }) *Detector {
	j, err := New(&set)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// state returns the state of a client.
func state(j *Detector, key uint64) State { return j.client(key).State }

// roll makes the origins send the same reports in each window, for some time.
func roll(j *Detector, now *Time, seq *uint64, long time.Duration, words map[uint64]Report) {
	for end := *now + long; *now < end; *now += set.Window {
		*seq++
		for origin, r := range words {
			j.Receive(*now, OriginReport{Origin: origin, Seq: *seq, Report: r})
		}
		j.EndWindow(*now)
	}
}

// TestStates takes a client through all states.
func TestStates(t *testing.T) {
	for _, test := range []struct {
		name  string
		loud  time.Duration // how long it has twice the high threshold
		share float64       // its share afterwards
		quiet time.Duration // how long it has that share
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
		detector, now, seq := judge(t), time.Minute, uint64(0)
		with := func(share float64) map[uint64]Report {
			words := map[uint64]Report{}
			for o := range uint64(50) {
				words[2+o] = says(1000, share)
			}
			return words
		}
		roll(detector, &now, &seq, test.loud, with(0.16))
		roll(detector, &now, &seq, test.quiet, with(test.share))
		if got := state(detector, 1); got != test.want {
			t.Errorf("%s: state %v, want %v", test.name, got, test.want)
		}
	}
}

// TestReportsInAnyOrder delivers random reports in two orders, one of them with duplicates, and checks that the sums are the same.
// Reports older than the TTL must not count.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		news := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) OriginReport {
			seq := rapid.Uint64Range(1, 5).Draw(t, "seq")
			return OriginReport{Origin: rapid.Uint64Range(2, 6).Draw(t, "origin"), Start: rapid.Int64Range(1, 3).Draw(t, "start"),
				Seq: seq, Report: says(1000*seq, 0.1*float64(seq))}
		}), 1, 30).Draw(t, "news")
		for i := range news { // reports with equal origin, start and seq have equal contents
			news[i].Report.Total += uint64(news[i].Start)
		}
		once, shuffled := judge(t), judge(t)
		for _, n := range news {
			once.Receive(0, n)
		}
		again := rapid.Permutation(append(slices.Clone(news), news...)).Draw(t, "again")
		for _, n := range again {
			shuffled.Receive(0, n)
		}
		fx, sx := once.sumReports(math.MaxInt64)
		fy, sy := shuffled.sumReports(math.MaxInt64)
		if fx != fy || !slices.Equal(sx, sy) {
			t.Fatalf("sums %+v %+v, in another order %+v %+v", fx, sx, fy, sy)
		}
		once.EndWindow(set.ReportTTL + 1)
		if f, _ := once.sumReports(math.MaxInt64); f.total != 0 || once.Receive(0, OriginReport{Origin: 9, Age: set.ReportTTL + 1}) {
			t.Fatalf("reports older than the TTL count: %+v", f)
		}
	})
}

// TestOneLiar adds one origin with random false reports to honest ones. Any client that is not quiet must reach the high threshold by
// the honest reports alone, where the largest honest total counts for anything from four times the next one to its full value.
func TestOneLiar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.Custom(func(t *rapid.T) Report {
			left := 1.0
			r := says(rapid.Uint64Range(0, 1<<rapid.IntRange(1, 40).Draw(t, "size")).Draw(t, "total"))
			for i := range rapid.IntRange(0, 4).Draw(t, "named") {
				share := left * rapid.Float64Range(0.01, 0.9).Draw(t, "share")
				r.Keys[i], r.Shares[i], r.Named = uint64(i+1), uint16(share*fullShare), r.Named+1
				left -= share
			}
			return r
		})
		honest := rapid.SliceOfN(word, 1, 8).Draw(t, "honest")
		words := map[uint64]Report{99: word.Draw(t, "lie")}
		alone := judge(t)
		for i, r := range honest {
			words[uint64(i+2)] = r
			alone.Receive(time.Minute, OriginReport{Origin: uint64(i + 2), Report: r})
		}
		detector, now, seq := judge(t), time.Minute, uint64(0)
		roll(detector, &now, &seq, 3*time.Second, words)
		next := alone.secondLargestTotal()
		for _, c := range detector.clients {
			if most := largestShare(alone, c.Key, maxTotalRatio*next); most < set.HighThreshold-1e-3 {
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
		r := says(1_000_000, shares...)
		r.Served = uint16(served * fullShare)
		detector, now, seq := judge(t), time.Minute, uint64(0)
		words := map[uint64]Report{}
		for o := range uint64(40) {
			words[2+o] = r
		}
		roll(detector, &now, &seq, 3*time.Second, words)
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
	return max(level, minAdmittedFraction*set.LowThreshold*supply)
}

// checkAdmitted compares the number of admitted requests of a heavy client with its admitted share.
func checkAdmitted(t *rapid.T, j *Detector, now Time, client *Client) {
	t.Helper()
	admitted := 0
	for id := range uint64(1000) {
		after, rejected := j.ShouldReject(now, true, client.Key, id)
		if rejected != (after >= minRetryDelay && after < 2*minRetryDelay) {
			t.Fatalf("rejected %v with a retry delay of %v", rejected, after)
		}
		if !rejected {
			admitted++
		}
	}
	if _, rejected := j.ShouldReject(now+set.ReportTTL, true, client.Key, 1); rejected {
		t.Fatal("a request is rejected although the reports are too old")
	}
	if math.Abs(float64(admitted)-1000*client.AdmittedShare) > 1 {
		t.Fatalf("%d of 1000 requests admitted, want a share of %v", admitted, client.AdmittedShare)
	}
}

// TestRejectsUntilThereIsCapacity checks that a heavy client is still rejected if servers are less than full only because of the
// rejections, and no longer once there is capacity for all of its requests.
func TestRejectsUntilThereIsCapacity(t *testing.T) {
	r := says(1_000_000, 0.3)
	r.Served = uint16(0.8 * fullShare)
	detector, now, seq := judge(t), time.Minute, uint64(0)
	words := map[uint64]Report{}
	tell := func(r Report) {
		for o := range uint64(40) {
			words[2+o] = r
		}
		roll(detector, &now, &seq, 3*time.Second, words)
	}
	gives := func(full bool) (n int) {
		for id := range uint64(100) {
			if _, yields := detector.ShouldReject(now, full, 1, id); yields {
				n++
			}
		}
		return n
	}
	tell(r)
	if n := gives(false); n > 0 {
		t.Errorf("%d of 100 requests rejected before servers are full", n)
	}
	if n := gives(true); n == 0 {
		t.Error("no request rejected while servers are full")
	}
	if n := gives(false); n == 0 {
		t.Error("no request rejected as soon as rejections have made servers less than full")
	}
	r.Served = fullShare
	tell(r)
	if n := gives(false); n > 0 {
		t.Errorf("%d of 100 requests rejected although there is capacity, admitted share %v", n, detector.client(1).AdmittedShare)
	}
}
