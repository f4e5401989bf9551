package soak

import (
	"context"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

const latenessInterval = 10 * time.Millisecond // between measurements

// lateness is the most by which this process continued late after a wait. The process carries all traffic, and the links between the system's
// processes: when it is late, all that they receive is late.
type lateness struct{ maxNS atomic.Int64 }

// run measures at an interval until ctx ends.
func (l *lateness) run(ctx context.Context) {
	for began := time.Now(); clock.Sleep(ctx, latenessInterval); began = time.Now() {
		l.observe(time.Since(began) - latenessInterval)
	}
}

// observe records by how much one wait ended late. One goroutine calls it.
func (l *lateness) observe(d time.Duration) { l.maxNS.Store(max(l.maxNS.Load(), int64(d))) }

func (l *lateness) milliseconds() int64 { return time.Duration(l.maxNS.Load()).Milliseconds() }
