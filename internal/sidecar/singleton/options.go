package singleton

import (
	"log/slog"
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine started, its sleep counted.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(1<<63 - 1) // no clock: no office lasts
	}
	return time.Duration(t.Nano())
}

// Options say what a process is to others that want the same duties.
type Options struct {
	Registry []string
	Name     string        // of the process, the same over its runs
	Location string        // where it runs
	Lease    time.Duration // that it asks for
	Load     int64         // what it carries besides, in duties
	Log      *slog.Logger
}
