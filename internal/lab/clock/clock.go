// Package clock gives all processes of an experiment one time, so that what they record can be compared: nanoseconds of
// CLOCK_MONOTONIC (clock_gettime(2)), which all processes of a machine share and no step of the wall clock moves.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// The reading of Go's monotonic clock at the moment when the shared clock read baseReading.
var (
	processStart = time.Now()
	baseReading  = readMonotonic()
)

// readMonotonic reads the shared clock, in nanoseconds.
func readMonotonic() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return time.Now().UnixNano() // shared as well; Linux always has CLOCK_MONOTONIC
	}
	return t.Nano()
}

// Now is the shared time in nanoseconds. It never decreases within a process.
func Now() int64 { return baseReading + int64(time.Since(processStart)) }

// Sleep waits for d, or until ctx is done, which it reports by false.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until is the time left until t, in nanoseconds of Now; negative once t has passed.
func Until(t int64) time.Duration { return time.Duration(t - Now()) }
