package testcluster

import "time"

// Drain has the platform's list, health checks and answers show the server as draining.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Withdraw drains the server, and has the list announce that it ends after a time even if requests still run then.
func (s *Server) Withdraw(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.withdrawAt = true, s.env.Now()+after
}

// SetWarmingUp has the server warm up for a time from now. It does not shorten a warm-up under way.
func (s *Server) SetWarmingUp(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmUntil = max(s.warmUntil, s.env.Now()+d)
}

// overloadsWarmUp counts a request that came to a server that warms up, and reports whether the server crashes of it. It is called with
// s.mu held.
func (s *Server) overloadsWarmUp(now time.Duration) bool {
	s.recentArrivals = append(s.recentArrivals, now)
	for s.recentArrivals[0] <= now-time.Second {
		s.recentArrivals = s.recentArrivals[1:]
	}
	return s.WarmUpCrashFactor > 0 && float64(len(s.recentArrivals)) > s.WarmUpCrashFactor*s.WarmUpPerSecond
}

// LoseAnswers has the server lose the answers of a part (0 to 1) of the requests that come from now on: it runs them, and resets their
// connections in place of an answer.
func (s *Server) LoseAnswers(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerLossRate = rate
}
