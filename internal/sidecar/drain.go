package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const idleCheckInterval = 100 * time.Millisecond

// lameduck begins the drain that rejoin ends. Both may be repeated.
func (s *server) lameduck([]string) string {
	s.drainingSince.CompareAndSwap(0, time.Now().UnixNano())
	s.host.log.Info("lameduck")
	return "ok draining\n"
}

// rejoin ends the drain.
func (s *server) rejoin([]string) string {
	s.drainingSince.Store(0)
	s.host.log.Info("rejoin")
	if s.shuttingDown.Load() {
		return fmt.Sprintf("fail %v\n", errShuttingDown)
	}
	return "ok serving\n"
}

// closeIdleWhileDraining closes clients' connections that idle once the drain has gone on for some time, until ctx is done: 4 s
// after its begin none may be left without a request, or with one of the last 2 s.
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

// askToClose asks the client to close its connection behind the answer in hand, if this process is to be left.
func (s *server) askToClose(w http.ResponseWriter) {
	if s.shuttingDown.Load() || s.drainingSince.Load() != 0 || s.connections.isOverloaded() {
		w.Header().Set("Connection", "close")
	}
}
