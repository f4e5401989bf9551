package proxy

import (
	"context"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// A process that was stopped, frozen or starved of CPU time finds several seconds' worth of requests in its sockets when it runs
// again, and its information about servers is equally old. Before it chooses servers for these requests, it waits for an update from
// the control plane that was requested after the stall.

const (
	stallCheckInterval = 100 * time.Millisecond
	// stallThreshold is the longest pause of the process that does not count as a stall.
	stallThreshold = 500 * time.Millisecond
	// stallContactTimeout bounds how long requests wait for the update, counted from the end of the stall.
	stallContactTimeout = 300 * time.Millisecond
)

// stallDetector detects stalls of the process by gaps between calls of observeRun. The zero value detects none until it is enabled.
//
// A missed stall leads to a worse choice of servers, and a false detection makes clients wait; the wait ends as soon as an update is
// received. It uses lockedPicker's lock and clock.
type stallDetector struct {
	enabled   bool
	lastRan   pick.Time     // when the process was last observed to be running
	contact   chan struct{} // closed when the update awaited since a stall has been received; nil: none is awaited
	waitUntil pick.Time     // when requests stop waiting for the update
}

// observeRun records that the process is running at now, and reports whether it was stalled until just before. It reports a stall to
// the recorder.
func (s *stallDetector) observeRun(now pick.Time, recorder stallRecorder) (stalled bool) {
	stalled = s.enabled && now-s.lastRan > stallThreshold
	s.lastRan = now
	if stalled {
		recorder.RecordStall(now)
		s.waitUntil = now + stallContactTimeout
		if s.contact == nil {
			s.contact = make(chan struct{})
		}
	}
	return stalled
}

// releaseWaiters releases the requests that wait for an update, once the recorder no longer awaits one.
func (s *stallDetector) releaseWaiters(recorder stallRecorder) {
	if s.contact != nil && !recorder.AwaitsControlPlane() {
		close(s.contact)
		s.contact = nil
	}
}

// watchStalls takes the lock at regular intervals until ctx is done, so that only a stall causes a gap between calls of observeRun.
func (p *lockedPicker) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	p.withLock(func(_ picker, now pick.Time) { p.stalls.enabled, p.stalls.lastRan = true, now })
	for {
		select {
		case <-ctx.Done():
			p.withLock(func(picker, pick.Time) { p.stalls.enabled = false })
			return
		case <-ticker.C:
			p.withLock(func(picker, pick.Time) {})
		}
	}
}

// awaitContact returns when an update that the control plane sent after the last stall has been received, when the wait for it has
// timed out, or when ctx is done.
func (p *lockedPicker) awaitContact(ctx context.Context) {
	var contact <-chan struct{}
	var timeLeft time.Duration
	p.withLock(func(_ picker, now pick.Time) { contact, timeLeft = p.stalls.contact, p.stalls.waitUntil-now })
	if contact == nil || timeLeft <= 0 {
		return
	}
	timer := time.NewTimer(timeLeft)
	defer timer.Stop()
	select {
	case <-contact:
	case <-timer.C:
	case <-ctx.Done():
	}
}
