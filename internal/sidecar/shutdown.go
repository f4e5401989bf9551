package sidecar

import (
	"errors"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/balance"
)

const (
	killMargin         = 700 * time.Millisecond // after SIGTERM and the longest deadline
	maxLongestDeadline = 3 * time.Second        // what counts as the longest deadline at most
	finalAnswerMargin  = 250 * time.Millisecond // all must have its final answer
	minAnswerTime      = 300 * time.Millisecond // for an answer, or the request is not begun
)

var errTooLate = errors.New("this process ends too soon")

// shutdownClock knows when this process will be killed, once it is to shut down.
//
// A request that is written slowly may be complete when its answer cannot be any more, and is lost if the process is killed then.
// One that has a final answer is not, and one that is refused while no server has it completely can be retried at once.
type shutdownClock struct {
	longestDeadline time.Duration // that a client waits
	since           atomic.Int64  // when the shutdown began, in nanoseconds of Unix time; 0: it has not
}

func (l *shutdownClock) init(classes []balance.Class) {
	for _, c := range classes {
		l.longestDeadline = max(l.longestDeadline, min(c.Deadline, maxLongestDeadline))
	}
}

func (l *shutdownClock) begin(now time.Time) { l.since.Store(now.UnixNano()) }

// bound moves a deadline so far forward that it is before the kill.
func (l *shutdownClock) bound(end time.Time) time.Time {
	since := l.since.Load()
	if since == 0 {
		return end
	}
	last := time.Unix(0, since).Add(l.longestDeadline + killMargin - finalAnswerMargin)
	if last.Before(end) {
		return last
	}
	return end
}

// isLate reports whether a request that is complete now has come too late.
func (l *shutdownClock) isLate(now time.Time) bool {
	return l.bound(now.Add(minAnswerTime)).Before(now.Add(minAnswerTime))
}
