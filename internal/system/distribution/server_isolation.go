package distribution

import "time"

const (
	// isolationThreshold is how long a node is not current until its table counts as behind: its peers' messages have expired.
	isolationThreshold = peerTTL
	// rejoinDelay is what synchronisation gets after that to bring the table up to date: a call that waits for its time-out and the
	// one after it, and the reply of those that know better.
	rejoinDelay = 2 * time.Second
)

// isolationTracker decides when a node that was isolated or paused may serve proxies again. The server's mu guards it.
type isolationTracker struct {
	lastCurrent     time.Time // when this node was last seen to be current; zero: never yet
	rejoinedAt      time.Time // when it was so again after isolationThreshold
	isolatedAt      time.Time // when it last had contact to less than half of its peers, or was paused
	skipRejoinDelay bool      // see TestingKnobs
}

// observeIsolation records that this node was paused or isolated until now.
func (t *isolationTracker) observeIsolation(now time.Time) { t.isolatedAt = now }

// mayServe reports whether a node whose chain calls it current is so with its soft state too: one that was isolated or paused gets
// time to receive what it has missed. One that had contact to its peers all the while, as in a repair of the chain, does not
// wait, nor does one at its start.
func (t *isolationTracker) mayServe(now time.Time, current bool) bool {
	if !current {
		return false
	}
	wasAway := !t.lastCurrent.IsZero() && now.Sub(t.lastCurrent) > isolationThreshold
	if wasAway && now.Sub(t.isolatedAt) < rejoinDelay {
		t.rejoinedAt = now
	}
	t.lastCurrent = now
	return t.rejoinedAt.IsZero() || now.Sub(t.rejoinedAt) >= rejoinDelay || t.skipRejoinDelay
}

// isCurrent reports whether proxies may take what this node has for the newest.
func (s *Server) isCurrent() bool {
	current := s.options.Source.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolation.mayServe(time.Now(), current)
}
