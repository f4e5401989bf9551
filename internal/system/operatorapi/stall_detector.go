package operatorapi

import (
	"context"
	"sync"
	"time"
)

// The bounds of a StallDetector.
const (
	stallCheckInterval = 25 * time.Millisecond
	stallThreshold     = 250 * time.Millisecond // a longer pause of the process counts as a stall
	stallCooldown      = time.Second            // bytes that are read within this time after a stall may have arrived before it
)

// StallDetector reports whether the process was paused recently (it was frozen or stopped, or got no CPU time), so that
// bytes that it reads now may have waited in its sockets for a long time. It measures with the monotonic clock: steps of the wall
// clock have no effect. It is safe for concurrent use.
//
// The data plane has a detector of its own (stallDetector in internal/system/proxy): that one is called under the picker's lock, has
// its own threshold, and ends a stall when the control plane has answered, not after a fixed time.
type StallDetector struct {
	mu           sync.Mutex
	lastObserved time.Time // when the process was last seen running
	trustedFrom  time.Time // bytes that are read from then on arrived after the last stall
}

// NewStallDetector returns a detector that reports a stall until Run is called.
func NewStallDetector() *StallDetector { return &StallDetector{} }

// Run records every 25 ms that the process is running, until ctx is done.
func (d *StallDetector) Run(ctx context.Context) {
	d.start(time.Now())
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.observeRunning(time.Now())
		}
	}
}

// Stalled reports whether the process was paused for more than 250 ms and has been running again for less than a second. A pause is
// detected by the first observation after it, which either Run or a caller of Stalled makes.
func (d *StallDetector) Stalled() bool {
	return d.observeRunning(time.Now())
}

// start begins the observation at now: the process counts as not stalled from then on.
func (d *StallDetector) start(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trustedFrom = now
	d.advance(now)
}

// observeRunning records that the process is running at now, and reports whether it stalled shortly before.
func (d *StallDetector) observeRunning(now time.Time) (stalled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastObserved) > stallThreshold {
		d.trustedFrom = now.Add(stallCooldown)
	}
	d.advance(now)
	return now.Before(d.trustedFrom)
}

// advance moves the last observation forward to now. Goroutines may get here in a different order than they read the clock in, so
// the last observation never moves back.
func (d *StallDetector) advance(now time.Time) {
	if now.After(d.lastObserved) {
		d.lastObserved = now
	}
}
