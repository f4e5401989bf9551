package bubble

import (
	"runtime"
	"testing"
	"time"
)

const (
	pollers       = 20 // timers that fire at once, each of which starts a function
	expiredTimers = 50 // timer channels that each of these functions polls
	rounds        = 50
)

// TestExpiredTimersUnderRaceDetector: timers fire while the functions of others poll timer channels that have expired. With
// synctest.Test on several processors the race detector's runtime ended the process in each of three plays.
func TestExpiredTimersUnderRaceDetector(t *testing.T) {
	for range 5 {
		Test(t, func(*testing.T) {
			for range rounds {
				for poller := range pollers {
					time.AfterFunc(time.Duration(poller+1)*time.Millisecond, pollExpiredTimers)
				}
			}
			time.Sleep(time.Second)
		})
	}
}

func pollExpiredTimers() {
	timers := make([]*time.Timer, expiredTimers)
	for i := range timers {
		timers[i] = time.NewTimer(0)
	}
	for _, timer := range timers {
		select {
		case <-timer.C:
		default:
		}
	}
}

// TestProcessorsAreRestored: the tests after a bubble have as many processors as those before, also where bubbles overlap.
func TestProcessorsAreRestored(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	limitProcessors()
	limitProcessors()
	restoreProcessors()
	if during := runtime.GOMAXPROCS(0); during != 1 {
		t.Errorf("%d processors while a bubble runs, not 1", during)
	}
	restoreProcessors()
	if after := runtime.GOMAXPROCS(0); after != before {
		t.Errorf("%d processors after the last bubble, %d before the first", after, before)
	}
}
