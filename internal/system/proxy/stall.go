package proxy

import (
	"context"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// A process that was stopped, frozen or without a processor finds requests of some seconds in its sockets when it runs again, and
// what it knows of servers is as old. Before it chooses for them, it waits for the word of a keeper that was asked after the stall.

const (
	stallTick  = 100 * time.Millisecond
	stallBound = 500 * time.Millisecond // a pause of the process above it counts as a stall
	wordWait   = 300 * time.Millisecond // requests wait so long at most, from the end of the stall
)

// stallWatch notices stalls of the process. The zero value notices none until the first note with a tick.
type stallWatch struct {
	ticking bool
	ran     pick.Time     // when the process was last seen to run
	word    chan struct{} // closed when the word that is awaited since a stall has come; nil: none is awaited
	wordBy  pick.Time     // requests wait for it no longer than until then
}

// note takes in that the process runs at now, and tells whether it stood still until just before.
func (s *stallWatch) note(now pick.Time) (stalled bool) {
	stalled = s.ticking && now-s.ran > stallBound
	s.ran = now
	if stalled {
		s.wordBy = now + wordWait
		if s.word == nil {
			s.word = make(chan struct{})
		}
	}
	return stalled
}

// settle lets the requests go on that wait, unless a word is still awaited.
func (s *stallWatch) settle(awaited bool) {
	if s.word != nil && !awaited {
		close(s.word)
		s.word = nil
	}
}

// watchStalls notes that the process runs, again and again, until ctx is done.
func (p *policy) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	p.with(func(_ picker, now pick.Time) { p.stalls.ticking, p.stalls.ran = true, now })
	for {
		select {
		case <-ctx.Done():
			p.with(func(picker, pick.Time) { p.stalls.ticking = false })
			return
		case <-ticker.C:
			p.with(func(picker, pick.Time) {})
		}
	}
}

// awaitWord returns when a keeper's word from after the last stall has come, or is not waited for any more, or ctx is done.
func (p *policy) awaitWord(ctx context.Context) {
	var word <-chan struct{}
	var left time.Duration
	p.with(func(_ picker, now pick.Time) { word, left = p.stalls.word, p.stalls.wordBy-now })
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
