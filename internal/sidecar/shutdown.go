package sidecar

import (
	"errors"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/balance"
)

const (
	killMargin         = 700 * time.Millisecond // the process is killed this long after SIGTERM plus the longest deadline
	maxLongestDeadline = 3 * time.Second        // upper bound of what counts as the longest deadline
	finalAnswerMargin  = 250 * time.Millisecond // before the kill, by when every request must have its final answer
	minAnswerTime      = 300 * time.Millisecond // time needed for an answer; with less, a request is not begun
)

var errTooLate = errors.New("this process ends too soon")

// shutdownClock computes when this process will be killed, once its shutdown has begun.
//
// A request whose body arrives slowly may be complete only when there is no time left for its answer,
// and is lost if the process is killed then. A request that gets a final answer is not lost, and one
// that is refused before any server has received it completely can be retried immediately.
type shutdownClock struct {
	longestDeadline time.Duration // the longest that a client waits
	since           atomic.Int64  // start of the shutdown, in nanoseconds of Unix time; 0: not begun
}

func (l *shutdownClock) init(classes []balance.Class) {
	for _, c := range classes {
		l.longestDeadline = max(l.longestDeadline, min(c.Deadline, maxLongestDeadline))
	}
}

func (l *shutdownClock) begin(now time.Time) { l.since.Store(now.UnixNano()) }

// bound moves a deadline forward to be before the kill, if necessary.
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

// isLate reports whether a request that is complete now has arrived too late.
func (l *shutdownClock) isLate(now time.Time) bool {
	return l.bound(now.Add(minAnswerTime)).Before(now.Add(minAnswerTime))
}
