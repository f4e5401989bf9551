package singleton

import (
	"errors"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// leasesScenario is Leases of a process whose role d has a lease of 1 s, with a margin of 110 ms.
type leasesScenario struct {
	t      *testing.T
	leases *Leases
}

// apply applies the answer to a renewal that was sent and answered at times in ms. epoch 0: the process owns nothing.
func (lt leasesScenario) apply(sentMS, nowMS, epoch int64, renewed bool) (begin, release []Lease) {
	var owned []client.OwnedRole
	if epoch > 0 {
		owned = []client.OwnedRole{{Name: "d", Epoch: epoch, TTLMS: 1000, Renewed: renewed}}
	}
	return lt.leases.ApplyRenewal(time.Duration(sentMS)*time.Millisecond, time.Duration(nowMS)*time.Millisecond, owned)
}

// wantMayAct fails unless the process may act under an epoch at a time in ms, or may not.
func (lt leasesScenario) wantMayAct(nowMS, epoch int64, want bool) {
	lt.t.Helper()
	if _, ok := lt.leases.Lease(time.Duration(nowMS)*time.Millisecond, "d", epoch); ok != want {
		lt.t.Errorf("at %d ms it may act under %d: %v", nowMS, epoch, ok)
	}
}

// TestLeases goes through renewals: the right to act counts from before the renewal was sent, ends by itself, and never comes again.
func TestLeases(t *testing.T) {
	scenario := leasesScenario{t, NewLeases(nil)}
	if begin, release := scenario.apply(0, 10, 1, false); len(begin)+len(release) != 0 {
		t.Errorf("%v begins and %v is to be released, by a lease that is not renewed", begin, release)
	}
	if begin, _ := scenario.apply(100, 400, 1, true); len(begin) != 1 || begin[0].Until != 990*time.Millisecond {
		t.Errorf("%v begins", begin)
	}
	scenario.wantMayAct(989, 1, true)
	scenario.wantMayAct(990, 1, false)
	scenario.apply(500, 600, 1, true)
	scenario.wantMayAct(1389, 1, true)
	scenario.apply(700, 800, 1, false) // renewals are barred: the lease runs on
	scenario.wantMayAct(1389, 1, true)
	scenario.wantMayAct(1390, 1, false)
	if _, release := scenario.apply(1300, 1400, 1, true); len(release) != 1 {
		t.Error("a lease that ended goes on")
	}
	if begin, _ := scenario.apply(1300, 2400, 2, true); len(begin) != 0 {
		t.Error("a lease begins by an answer that comes after its end")
	}
	scenario.apply(2500, 2510, 2, true)
	scenario.wantMayAct(2600, 2, true)
	if begin, _ := scenario.apply(2600, 2610, 4, true); len(begin) != 1 {
		t.Error("a lease that was lost and granted again does not begin")
	}
	scenario.wantMayAct(2620, 2, false)
	scenario.apply(2630, 2640, 0, false)
	scenario.wantMayAct(2650, 4, false)
	scenario.apply(2700, 2710, 5, true)
	scenario.leases.End("d", 5)
	scenario.wantMayAct(2720, 5, false)
	if begin, release := scenario.apply(2690, 2730, 5, true); len(begin) != 0 || len(release) != 1 {
		t.Error("a released lease begins again")
	}
}

// TestFence lets effects through whose epochs do not fall.
func TestFence(t *testing.T) {
	var fence Fence
	full := errors.New("full")
	for _, test := range []struct {
		epoch int64
		want  bool
	}{{3, true}, {3, true}, {5, true}, {4, false}, {5, true}, {0, false}} {
		done := false
		err := fence.Do(test.epoch, func() error { done = true; return full })
		var stale *StaleEpochError
		if done != test.want || errors.Is(err, full) != test.want || errors.As(err, &stale) == test.want {
			t.Errorf("epoch %d: done %v, %v", test.epoch, done, err)
		}
	}
	if highest, refused := fence.Counts(); highest != 5 || refused != 2 {
		t.Errorf("%d, and %d refused", highest, refused)
	}
}

// TestRunnerOptions refuses options that no registry node accepts, and reads the clock.
func TestRunnerOptions(t *testing.T) {
	registry := []string{"127.0.0.1:1"}
	for name, options := range map[string]Options{
		"no registry":     {Name: "a", Lease: time.Second},
		"invalid name":    {Name: "a b", Lease: time.Second, Registry: registry},
		"lease too short": {Name: "a", Lease: 400 * time.Millisecond, Registry: registry},
	} {
		if _, err := NewRunner(options); err == nil {
			t.Errorf("%s: %+v is accepted", name, options)
		}
	}
	if a, b := Now(), Now(); a <= 0 || b < a {
		t.Errorf("the clock says %v, then %v", a, b)
	}
}
