package proxy

import (
	"context"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// A process that was stopped, frozen or without a processor finds requests of some seconds in its sockets when it runs again, and
// what it knows of servers is as old. Before it chooses for them, it waits for the word of a keeper that was asked after the stall.

const (
	stallCheckInterval  = 100 * time.Millisecond
	stallThreshold      = 500 * time.Millisecond // a pause of the process above it counts as a stall
	stallContactTimeout = 300 * time.Millisecond // requests wait so long at most, from the end of the stall
)

// stallDetector notices stalls of the process. The zero value notices none until the first note with a tick.
type stallDetector struct {
	enabled   bool
	lastRan   pick.Time     // when the process was last seen to run
	contact   chan struct{} // closed when the word that is awaited since a stall has come; nil: none is awaited
	waitUntil pick.Time     // requests wait for it no longer than until then
}

// observeRun takes in that the process runs at now, and tells whether it stood still until just before.
func (s *stallDetector) observeRun(now pick.Time) (stalled bool) {
	stalled = s.enabled && now-s.lastRan > stallThreshold
	s.lastRan = now
	if stalled {
		s.waitUntil = now + stallContactTimeout
		if s.contact == nil {
			s.contact = make(chan struct{})
		}
	}
	return stalled
}

// releaseWaiters lets the requests go on that wait, unless a word is still awaited.
func (s *stallDetector) releaseWaiters(awaited bool) {
	if s.contact != nil && !awaited {
		close(s.contact)
		s.contact = nil
	}
}

// watchStalls notes that the process runs, again and again, until ctx is done.
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

// awaitContact returns when a keeper's word from after the last stall has come, or is not waited for any more, or ctx is done.
func (p *lockedPicker) awaitContact(ctx context.Context) {
	var word <-chan struct{}
	var left time.Duration
	p.withLock(func(_ picker, now pick.Time) { word, left = p.stalls.contact, p.stalls.waitUntil-now })
	if word == nil || left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-word:
	case <-timer.C:
	case <-ctx.Done():
	}
}
