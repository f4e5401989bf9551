package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const idleCheckInterval = 100 * time.Millisecond

// lameduck begins a drain, which rejoin ends. Both are idempotent.
func (s *server) lameduck([]string) string {
	s.drainingSince.CompareAndSwap(0, time.Now().UnixNano())
	s.host.log.Info("lameduck: drain started by operator")
	return "ok draining\n"
}

// rejoin ends a drain.
func (s *server) rejoin([]string) string {
	s.drainingSince.Store(0)
	s.host.log.Info("rejoin: drain ended by operator")
	if s.shuttingDown.Load() {
		return fmt.Sprintf("fail %v\n", errShuttingDown)
	}
	return "ok serving\n"
}

// closeIdleWhileDraining closes idle client connections once a drain has lasted longer than after, until ctx is done.
// 4 s after the drain began, no connection may be left except those that have a request, or had one in the last 2 s.
func (s *server) closeIdleWhileDraining(ctx context.Context, after time.Duration) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			if since := s.drainingSince.Load(); since != 0 && now.UnixNano()-since > after.Nanoseconds() {
				s.connections.closeIdle(now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// askToClose asks the client to close its connection after the current answer, if this process is
// shutting down, draining or has too many connections.
func (s *server) askToClose(w http.ResponseWriter) {
	if s.shuttingDown.Load() || s.drainingSince.Load() != 0 || s.connections.isOverloaded() {
		w.Header().Set("Connection", "close")
	}
}
