package operatorapi

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestStallDetector(t *testing.T) {
	// The process runs, stands still, and runs again; then a caller asks.
	for name, tt := range map[string]struct {
		still, runs time.Duration
		stalled     bool
	}{
		"no stall":                   {0, time.Second, false},
		"a pause":                    {stallThreshold, 0, false},
		"the caller is first":        {stallThreshold + 1, 0, true},
		"a long one":                 {20 * time.Second, 0, true},
		"the ticker is first":        {20 * time.Second, stallCheckInterval, true},
		"almost a second later":      {20 * time.Second, stallCooldown - stallCheckInterval, true},
		"a second later":             {20 * time.Second, stallCooldown + stallCheckInterval, false},
		"a second after a short one": {stallThreshold + 1, stallCooldown + stallCheckInterval, false},
	} {
		d, now := NewStallDetector(), time.Now()
		d.start(now)
		run := func(span time.Duration) {
			for end := now.Add(span); now.Before(end); {
				now = now.Add(stallCheckInterval)
				d.observeRunning(now)
			}
		}
		run(time.Second)
		now = now.Add(tt.still)
		run(tt.runs)
		if got := d.observeRunning(now); got != tt.stalled {
			t.Errorf("%s: %v", name, got)
		}
		// A clock that was read before the last note counts as no pause, and no step back.
		d.observeRunning(now.Add(-stallCheckInterval))
		if !d.lastObserved.Equal(now) {
			t.Errorf("%s: a late note steps back by %v", name, now.Sub(d.lastObserved))
		}
	}
	if !NewStallDetector().Stalled() {
		t.Error("a detector that does not run counts as no stall")
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		d := NewStallDetector()
		if !d.Stalled() {
			t.Error("no stall before it runs")
		}
		go d.Run(ctx)
		synctest.Wait()
		if d.Stalled() {
			t.Error("stalled as it begins to run")
		}
		time.Sleep(time.Hour) // of the bubble's clock
		if d.Stalled() {
			t.Error("stalled after an hour of running")
		}
		stop()
		synctest.Wait()
		time.Sleep(stallThreshold + time.Millisecond)
		if !d.Stalled() {
			t.Error("no stall after a pause")
		}
	})
}
