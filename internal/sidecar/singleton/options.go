package singleton

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Now returns the time since the machine started, including the time in which it slept.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return math.MaxInt64 // without a clock, no lease is valid
	}
	return time.Duration(t.Nano())
}

// Options say what a process is to the registry and to other candidates for its roles.
type Options struct {
	Registry []string      // addresses of the registry nodes
	Name     string        // of the process, the same over its runs
	Location string        // where it runs; a role goes to a process in its own location first
	Lease    time.Duration // length of the leases, from state.MinRoleLease to state.MaxRoleLease
	Load     int64         // what the process carries besides, in roles
	Log      *slog.Logger
}

func (o *Options) check() error {
	if o.Lease < state.MinRoleLease || o.Lease > state.MaxRoleLease {
		return fmt.Errorf("a lease of %v is not within %v to %v", o.Lease, state.MinRoleLease, state.MaxRoleLease)
	}
	return nil
}
