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

// timeoutTargetFactor: a server may be silent for timeoutTargetFactor times the target of the route.
const timeoutTargetFactor = 2

// Timeouts are how long clients and servers may be silent, regardless of the targets of the routes. Fields that are not positive have
// their default.
type Timeouts struct {
	// ClientWrite is how long a client may accept no bytes before its connection is closed. Default 10 s.
	ClientWrite time.Duration
	// MinResponse is the minimum timeout for a server that is silent before the head of its response. Default 1.5 s.
	MinResponse time.Duration
	// MinEventGap is the minimum timeout for a server that is silent within an event stream. Default 1 s.
	MinEventGap time.Duration
}

// withDefaults returns the timeouts with defaults for the fields that are not set.
func (t Timeouts) withDefaults() Timeouts {
	t.ClientWrite = defaults.IfNotPositive(t.ClientWrite, defaultClientWriteTimeout)
	t.MinResponse = defaults.IfNotPositive(t.MinResponse, defaultMinResponseTimeout)
	t.MinEventGap = defaults.IfNotPositive(t.MinEventGap, defaultMinEventGapTimeout)
	return t
}

// response returns how long a server may be silent before the head of its response, on a route with the given latency target.
func (t Timeouts) response(latencyTarget time.Duration) time.Duration {
	return max(timeoutTargetFactor*latencyTarget, t.MinResponse)
}

// eventGap returns how long a server may be silent within an event stream, on a route with the given target for the gap between events.
func (t Timeouts) eventGap(gapTarget time.Duration) time.Duration {
	return max(timeoutTargetFactor*gapTarget, t.MinEventGap)
}
