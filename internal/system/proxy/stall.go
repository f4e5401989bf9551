package proxy

import (
	"context"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// A process that was stopped, frozen or starved of CPU time finds requests of some seconds in its sockets when it runs again,
// and what it knows of servers is as old. Before it chooses servers for them, it waits for an update from the control plane
// that was asked for after the stall.

const (
	stallCheckInterval = 100 * time.Millisecond
	// stallThreshold is the longest pause of the process that does not count as a stall.
	stallThreshold = 500 * time.Millisecond
	// stallContactTimeout bounds how long requests wait, from the end of the stall.
	stallContactTimeout = 300 * time.Millisecond
)

// stallDetector detects stalls of the process by gaps between its calls. The zero value detects none until it is enabled.
//
// It is not operatorapi.StallDetector, which measures gaps in the same way: that one has a clock and a lock of its own, reports a
// stall for a second after its end, and has evacuations rejected meanwhile. A stall that is missed there may have an evacuation take
// effect that its caller has superseded or given up, so its threshold is lower (250 ms). Here a stall that is missed costs a worse
// choice of servers, and one that is seen for nothing has clients wait; the wait ends as soon as an update has come. This one runs
// under lockedPicker's lock and by its clock.
type stallDetector struct {
	enabled   bool
	lastRan   pick.Time     // when the process was last seen to run
	contact   chan struct{} // closed when the update has come that is awaited since a stall; nil: none is awaited
	waitUntil pick.Time     // requests wait for it no longer than until then
}

// observeRun records that the process runs at now, and reports whether it had stalled until just before. The recorder learns of a stall.
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

// releaseWaiters lets the requests go on that wait for an update, once the recorder awaits none any more.
func (s *stallDetector) releaseWaiters(recorder stallRecorder) {
	if s.contact != nil && !recorder.AwaitsControlPlane() {
		close(s.contact)
		s.contact = nil
	}
}

// watchStalls calls the picker at intervals until ctx is done, so that only a stall makes a gap between calls.
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

// awaitContact returns when an update of the control plane from after the last stall has come, or is not waited for any more,
// or ctx is done.
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
