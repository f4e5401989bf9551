package distribution

import (
	"context"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/loadreport"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	// minNotifyInterval is the minimum time between two calls of the owner. It coalesces changes that arrive close together: processing
	// an update costs the owner more than the update itself.
	minNotifyInterval = 15 * time.Millisecond
	// timeCheckInterval is how often a subscriber checks for changes that are caused by the passing of time alone.
	timeCheckInterval = 100 * time.Millisecond
	// minImmediateCallInterval is the minimum time between two immediate calls.
	minImmediateCallInterval = 20 * time.Millisecond
)

// notification states what the owner is to be notified of.
type notification struct {
	update, loads bool
}

// notified is the time-dependent part of what the owner was last notified of.
type notified struct {
	fresh, stale bool
	lastExpiry   time.Time
}

// notifyLoop calls the owner's callbacks, also for changes caused by the passing of time. It runs until ctx ends.
func (s *Subscriber) notifyLoop(ctx context.Context) {
	tick := time.NewTicker(timeCheckInterval)
	defer tick.Stop()
	last := notified{stale: true}
	for {
		var due notification
		select {
		case <-ctx.Done():
			return
		case <-s.updatePending:
			due.update = true
		case <-s.loadsPending:
			due.loads = true
		case <-tick.C:
			s.reportFirstLoad()
		}
		update, others := s.collect(time.Now(), &due, &last)
		if due.loads && s.options.OnLoads != nil {
			s.options.OnLoads(others)
		}
		if due.update && s.options.OnUpdate != nil {
			s.options.OnUpdate(update)
		}
		if (due.update || due.loads) && !sleep(ctx, minNotifyInterval) {
			return
		}
	}
}

// collect adds to a notification the changes caused by the passing of time, and returns the values to pass to the owner.
func (s *Subscriber) collect(now time.Time, due *notification, last *notified) (update Update, others map[string]pick.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(last.lastExpiry) >= time.Second {
		last.lastExpiry = now
		s.soft.table.Expire(now)
	}
	if s.freshness.isFresh(now) != last.fresh {
		last.fresh, due.update = !last.fresh, true
	}
	if s.mayBeMarkedDown(now) != last.stale {
		last.stale, due.update = !last.stale, true
	}
	if len(s.loads.others) > 0 && now.Sub(s.freshness.lastContact) > loadreport.TTL+s.options.LongPollTimeout {
		s.loads.others, due.loads = nil, true
	}
	if due.update {
		update = s.currentUpdate(now)
	}
	return update, s.loads.others
}

// reportFirstLoad requests an immediate call of the followed node if this proxy's load begins during a long wait.
func (s *Subscriber) reportFirstLoad() {
	if s.options.Loads == nil {
		return
	}
	s.mu.Lock()
	idle := s.loads.lastReportEmpty()
	s.mu.Unlock()
	if idle && len(s.options.Loads()) > 0 {
		signal(s.callRequested)
	}
}

// immediateCallLoop makes short calls concurrently to the waiting poll, for announcements and reports that must not wait. It runs until
// ctx ends.
func (s *Subscriber) immediateCallLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.callRequested:
		}
		s.mu.Lock()
		node := s.nodes.serving
		s.mu.Unlock()
		if node != "" {
			_, _ = s.poll(ctx, node, pollOptions{maxPause: replyIdleTimeout, acceptStale: true})
		}
		if !sleep(ctx, minImmediateCallInterval) {
			return
		}
	}
}
