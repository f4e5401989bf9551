package proxy

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/defaults"
)

// Defaults of Timeouts.
const (
	defaultClientWriteTimeout = 10 * time.Second
	defaultMinResponseTimeout = 1500 * time.Millisecond
	defaultMinEventGapTimeout = time.Second
)

// timeoutTargetFactor: a server may be silent for so many times the target of the route.
const timeoutTargetFactor = 2

// Timeouts are the times that clients and servers may be silent for, whatever the targets of the routes. Fields that are not
// above 0 have their default.
type Timeouts struct {
	// ClientWrite is how long a client may accept no bytes before it is given up. Default 10 s.
	ClientWrite time.Duration
	// MinResponse is the least time for which a server may be silent before the head of its response. Default 1.5 s.
	MinResponse time.Duration
	// MinEventGap is the least time for which a server may be silent within an event stream. Default 1 s.
	MinEventGap time.Duration
}

// withDefaults fills in what is not set.
func (t Timeouts) withDefaults() Timeouts {
	t.ClientWrite = defaults.IfNotPositive(t.ClientWrite, defaultClientWriteTimeout)
	t.MinResponse = defaults.IfNotPositive(t.MinResponse, defaultMinResponseTimeout)
	t.MinEventGap = defaults.IfNotPositive(t.MinEventGap, defaultMinEventGapTimeout)
	return t
}

// response is how long a server may be silent before the head of its response, on a route with a latency target.
func (t Timeouts) response(latencyTarget time.Duration) time.Duration {
	return max(timeoutTargetFactor*latencyTarget, t.MinResponse)
}

// eventGap is how long a server may be silent within an event stream, on a route with a target for the gap between events.
func (t Timeouts) eventGap(gapTarget time.Duration) time.Duration {
	return max(timeoutTargetFactor*gapTarget, t.MinEventGap)
}
