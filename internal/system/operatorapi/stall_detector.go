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
	stallCooldown      = time.Second            // bytes that are read so soon after a stall may have arrived before it
)

// StallDetector reports whether the process was paused a moment ago (it was frozen or stopped, or got no processor), so that
// what it reads now may have waited in its sockets for long. It measures with the monotonic clock: steps of the wall clock
// have no effect. Its methods may be called by several goroutines at once.
//
// The data plane has a detector of its own (stallDetector in internal/system/proxy): that one is asked under the picker's lock, has a
// threshold of its own, and ends a stall when the control plane has answered and not after a time.
type StallDetector struct {
	mu           sync.Mutex
	lastObserved time.Time // when the process was last seen running
	trustedFrom  time.Time // what is read from then on arrived after the last stall
}

// NewStallDetector returns a detector that reports a stall until Run has been called.
func NewStallDetector() *StallDetector { return &StallDetector{} }

// Run observes every 25 ms that the process runs, until ctx is done.
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

// Stalled reports whether the process was paused for more than 250 ms and has been running again for less than a second. Whoever
// comes first after the pause detects it, be it Run or a caller.
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

// observeRunning records that the process runs at now, and reports whether it stalled shortly before.
func (d *StallDetector) observeRunning(now time.Time) (stalled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastObserved) > stallThreshold {
		d.trustedFrom = now.Add(stallCooldown)
	}
	d.advance(now)
	return now.Before(d.trustedFrom)
}

// advance moves the last observation to now. Goroutines may come here in another order than they read the clock, so that it
// never moves back.
func (d *StallDetector) advance(now time.Time) {
	if now.After(d.lastObserved) {
		d.lastObserved = now
	}
}
