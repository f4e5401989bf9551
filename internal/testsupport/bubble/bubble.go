// Package bubble runs tests in a testing/synctest bubble, whose clock stands still while anything in it runs. Only tests use it.
//
// Under the race detector a bubble gets one processor. go1.26.8 gives the timers of a bubble one race context, and two threads may
// use it at once: the one that fires a timer when every goroutine waits (timers.run), and a goroutine that was started so and polls
// a timer channel that has expired meanwhile (timer.maybeRunChan). The context's shadow stack is then corrupt, and the race
// detector's runtime ends the process: a SIGSEGV in StackDepot.Put or runtime.(*timer).maybeRunChan, or "CHECK failed:
// tsan_rtl.cpp". A timer fires without being preempted, so that on one processor no two do at once. Races are found all the same:
// the detector orders events by their synchronization and not by the time at which they happen.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

var (
	mu         sync.Mutex
	running    int // bubbles that run under the race detector
	processors int // GOMAXPROCS before the first of them
)

// Test runs the test in a bubble as synctest.Test does, under the race detector on one processor.
func Test(t *testing.T, test func(*testing.T)) {
	t.Helper()
	if raceDetector {
		limitProcessors()
		defer restoreProcessors()
	}
	synctest.Test(t, test) //nolint:forbidigo // the one place that takes the measure described above
}

func limitProcessors() {
	mu.Lock()
	defer mu.Unlock()
	if running == 0 {
		processors = runtime.GOMAXPROCS(1)
	}
	running++
}

func restoreProcessors() {
	mu.Lock()
	defer mu.Unlock()
	running--
	if running == 0 {
		runtime.GOMAXPROCS(processors)
	}
}
