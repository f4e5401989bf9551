package sidecar

import (
	"errors"
	"sync/atomic"
	"time"
)

// excused is how long after SIGTERM a request may come whose answer the end of the process may cut short.
const excused = 600 * time.Millisecond

var errLate = errors.New("this process ends too soon")

// leaving knows since when this process was told to leave.
//
// Danger: a request that is written slowly may come whole when its answer, if it is a long one, cannot any more before the
// process is killed, and is lost. One that is refused while no server has it whole can be made again at once.
type leaving struct {
	since atomic.Int64 // nanoseconds of Unix time; 0: not told
}

func (l *leaving) begin(now time.Time) { l.since.Store(now.UnixNano()) }

// late tells whether what comes whole now has come too late.
func (l *leaving) late(now time.Time) bool {
	since := l.since.Load()
	return since != 0 && now.UnixNano()-since > int64(excused)
}
