// Package clock gives all processes of an experiment one time: nanoseconds of CLOCK_MONOTONIC, which processes on one
// machine share and no step of the wall clock moves.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// The process's own monotonic reading at the moment when the shared one was baseReading.
var (
	processStart = time.Now()
	baseReading  = readMonotonic()
)

func readMonotonic() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return time.Now().UnixNano() // shared too; Linux always has the other
	}
	return t.Nano()
}

// Now is the shared time in nanoseconds.
func Now() int64 { return baseReading + int64(time.Since(processStart)) }

// Sleep waits for d, or until ctx ends; false: it has ended.
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

// Until is the time that is left until t; negative once it has passed.
func Until(t int64) time.Duration { return time.Duration(t - Now()) }
