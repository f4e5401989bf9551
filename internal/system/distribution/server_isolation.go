package distribution

import "time"

const (
	// isolationThreshold is how long a node may be not current before its table counts as outdated: its peers' messages have expired by
	// then.
	isolationThreshold = peerTTL
	// rejoinDelay is the time that synchronisation then gets to bring the table up to date: one call that waits for its timeout, the call
	// after it, and the reply of the peers that have newer entries.
	rejoinDelay = 2 * time.Second
)

// isolationTracker decides when a node that was isolated or paused may serve proxies again. The server's mu guards it.
type isolationTracker struct {
	lastCurrent     time.Time // when this node was last seen to be current; zero: never
	rejoinedAt      time.Time // when it became current again after isolationThreshold
	isolatedAt      time.Time // when it last had contact to less than half of its peers, or was paused
	skipRejoinDelay bool      // see TestingKnobs
}

// observeIsolation records that this node was isolated or paused until now.
func (t *isolationTracker) observeIsolation(now time.Time) { t.isolatedAt = now }

// mayServe reports whether a node whose chain is current may serve its soft state as current too. A node that was isolated or paused
// first waits until it could receive what it missed. A node that stayed in contact with its peers throughout, as in a repair of the
// chain, does not wait, nor does a node that has just started.
func (t *isolationTracker) mayServe(now time.Time, current bool) bool {
	if !current {
		return false
	}
	wasNotCurrent := !t.lastCurrent.IsZero() && now.Sub(t.lastCurrent) > isolationThreshold
	if wasNotCurrent && now.Sub(t.isolatedAt) < rejoinDelay {
		t.rejoinedAt = now
	}
	t.lastCurrent = now
	return t.rejoinedAt.IsZero() || now.Sub(t.rejoinedAt) >= rejoinDelay || t.skipRejoinDelay
}

// isCurrent reports whether proxies may treat this node's state as the newest.
func (s *Server) isCurrent() bool {
	current := s.options.Source.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolation.mayServe(time.Now(), current)
}
