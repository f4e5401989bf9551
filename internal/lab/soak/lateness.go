package soak

import (
	"context"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

const lateEvery = 10 * time.Millisecond

// lateness is the most by which the lab itself was late to go on after a wait. It carries all traffic, and the links between the
// system's processes: where it is late by much, so is all that they hear.
type lateness struct{ most atomic.Int64 }

// run measures until ctx ends.
func (l *lateness) run(ctx context.Context) {
	for began := time.Now(); clock.Sleep(ctx, lateEvery); began = time.Now() {
		l.see(time.Since(began) - lateEvery)
	}
}

// see takes in by how much one wait ended late. One goroutine calls it.
func (l *lateness) see(d time.Duration) { l.most.Store(max(l.most.Load(), int64(d))) }

func (l *lateness) ms() int64 { return time.Duration(l.most.Load()).Milliseconds() }
