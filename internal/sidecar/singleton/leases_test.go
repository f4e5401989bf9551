package singleton

import (
	"errors"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// TestLeases goes through renewals: a right to act counts from before the sending, ends by itself, and never comes again.
func TestLeases(t *testing.T) {
	const ms = time.Millisecond
	h := NewLeases(nil)
	held := func(epoch int64, renewed bool) []client.OwnedRole {
		return []client.OwnedRole{{Name: "d", Epoch: epoch, TTLMS: 1000, Renewed: renewed}}
	}
	may := func(now Instant, epoch int64, want bool) {
		t.Helper()
		if _, ok := h.Lease(now, "d", epoch); ok != want {
			t.Errorf("at %v it may act under %d: %v", now, epoch, ok)
		}
	}
	if begin, let := h.ApplyRenewal(0, 10*ms, held(1, false)); len(begin)+len(let) != 0 {
		t.Errorf("%v begins and %v is to be released, by a lease that is not renewed", begin, let)
	}
	if begin, _ := h.ApplyRenewal(100*ms, 400*ms, held(1, true)); len(begin) != 1 || begin[0].Until != 990*ms {
		t.Errorf("%v begins", begin)
	}
	may(989*ms, 1, true)
	may(990*ms, 1, false)
	h.ApplyRenewal(500*ms, 600*ms, held(1, true))
	may(1389*ms, 1, true)
	h.ApplyRenewal(700*ms, 800*ms, held(1, false)) // barred: what it has lasts
	may(1389*ms, 1, true)
	may(1390*ms, 1, false)
	if _, let := h.ApplyRenewal(1300*ms, 1400*ms, held(1, true)); len(let) != 1 {
		t.Error("an office that lapsed goes on")
	}
	if begin, _ := h.ApplyRenewal(1300*ms, 2400*ms, held(2, true)); len(begin) != 0 {
		t.Error("an office begins by an answer that comes after its end")
	}
	h.ApplyRenewal(2500*ms, 2510*ms, held(2, true))
	may(2600*ms, 2, true)
	if begin, _ := h.ApplyRenewal(2600*ms, 2610*ms, held(4, true)); len(begin) != 1 {
		t.Error("what was lost and given again does not begin")
	}
	may(2620*ms, 2, false)
	h.ApplyRenewal(2630*ms, 2640*ms, nil)
	may(2650*ms, 4, false)
	h.ApplyRenewal(2700*ms, 2710*ms, held(5, true))
	h.End("d", 5)
	may(2720*ms, 5, false)
	if begin, let := h.ApplyRenewal(2690*ms, 2730*ms, held(5, true)); len(begin) != 0 || len(let) != 1 {
		t.Error("what was let go begins again")
	}
}

// TestFence lets epochs through that do not fall.
func TestFence(t *testing.T) {
	var f Fence
	full := errors.New("full")
	for _, c := range []struct {
		epoch int64
		want  bool
	}{{3, true}, {3, true}, {5, true}, {4, false}, {5, true}, {0, false}} {
		done := false
		err := f.Do(c.epoch, func() error { done = true; return full })
		if done != c.want || errors.Is(err, full) != c.want {
			t.Errorf("epoch %d: done %v, %v", c.epoch, done, err)
		}
	}
	if highest, refused := f.Counts(); highest != 5 || refused != 2 {
		t.Errorf("%d, and %d refused", highest, refused)
	}
}

// TestRunnerOptions refuses what no keeper takes.
func TestRunnerOptions(t *testing.T) {
	for _, o := range []Options{{Name: "a", Lease: time.Second}, {Name: "a b", Lease: time.Second, Registry: []string{"127.0.0.1:1"}},
		{Name: "a", Lease: 400 * time.Millisecond, Registry: []string{"127.0.0.1:1"}}} {
		if _, err := NewRunner(o); err == nil {
			t.Errorf("%+v is taken", o)
		}
	}
	if a, b := Now(), Now(); a <= 0 || b < a {
		t.Errorf("the clock says %v, then %v", a, b)
	}
}
