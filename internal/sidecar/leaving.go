package sidecar

import (
	"errors"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/balance"
)

const (
	killedAfter = 700 * time.Millisecond // after SIGTERM and the longest deadline
	mostPatient = 3 * time.Second        // what counts as the longest deadline at most
	beforeEnd   = 250 * time.Millisecond // all must have its final answer
	leastLeft   = 300 * time.Millisecond // for an answer, or the request is not begun
)

var errLate = errors.New("this process ends too soon")

// leaving knows when this process will be killed, once it was told to leave.
//
// Danger: a request that is written slowly may come whole when its answer cannot any more, and is lost if it is killed then.
// One that has a final answer is not, and one that is refused while no server has it whole can be made again at once.
type leaving struct {
	longest time.Duration // that a client waits
	since   atomic.Int64  // nanoseconds of Unix time; 0: not told
}

func (l *leaving) init(classes []balance.Class) {
	for _, c := range classes {
		l.longest = max(l.longest, min(c.Deadline, mostPatient))
	}
}

func (l *leaving) begin(now time.Time) { l.since.Store(now.UnixNano()) }

// by moves a deadline so far forward that it is before the kill.
func (l *leaving) by(end time.Time) time.Time {
	since := l.since.Load()
	if since == 0 {
		return end
	}
	last := time.Unix(0, since).Add(l.longest + killedAfter - beforeEnd)
	if last.Before(end) {
		return last
	}
	return end
}

// late tells whether what comes whole now has come too late.
func (l *leaving) late(now time.Time) bool {
	return l.by(now.Add(leastLeft)).Before(now.Add(leastLeft))
}
