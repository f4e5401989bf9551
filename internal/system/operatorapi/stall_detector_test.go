package operatorapi

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

func TestStallDetector(t *testing.T) {
	// The process runs, is frozen, and runs again; then a caller asks.
	for name, test := range map[string]struct {
		paused, ran time.Duration
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
		t.Run(name, func(t *testing.T) {
			detector, now := NewStallDetector(), time.Now()
			detector.start(now)
			run := func(span time.Duration) {
				for end := now.Add(span); now.Before(end); {
					now = now.Add(stallCheckInterval)
					detector.observeRunning(now)
				}
			}
			run(time.Second)
			now = now.Add(test.paused)
			run(test.ran)
			if got := detector.observeRunning(now); got != test.stalled {
				t.Errorf("stalled = %v, want %v", got, test.stalled)
			}
			// A clock reading from before the last observation is not a pause, and does not move the last observation back.
			detector.observeRunning(now.Add(-stallCheckInterval))
			if !detector.lastObserved.Equal(now) {
				t.Errorf("a late observation moved the last one back by %v", now.Sub(detector.lastObserved))
			}
		})
	}
	if !NewStallDetector().Stalled() {
		t.Error("a detector that is not running reports no stall")
	}
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		detector := NewStallDetector()
		if !detector.Stalled() {
			t.Error("no stall reported before Run")
		}
		go detector.Run(ctx)
		synctest.Wait()
		if detector.Stalled() {
			t.Error("stall reported when Run begins")
		}
		time.Sleep(time.Hour) // of the bubble's clock
		if detector.Stalled() {
			t.Error("stall reported after an hour of running")
		}
		stop()
		synctest.Wait()
		time.Sleep(stallThreshold + time.Millisecond)
		if !detector.Stalled() {
			t.Error("no stall reported after a pause")
		}
	})
}
