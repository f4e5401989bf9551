package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const sweepEvery = 100 * time.Millisecond

// lameduck begins the drain that rejoin ends. Both may be said again.
func (s *server) lameduck([]string) string {
	s.lame.CompareAndSwap(0, time.Now().UnixNano())
	s.host.log.Info("lameduck")
	return "ok draining\n"
}

// rejoin ends the drain.
func (s *server) rejoin([]string) string {
	s.lame.Store(0)
	s.host.log.Info("rejoin")
	if s.draining.Load() {
		return fmt.Sprintf("fail %v\n", errLeaving)
	}
	return "ok serving\n"
}

// sweep ends clients' connections that idle once the drain has gone on for some time, until ctx is done. Danger: 4 s after
// its begin none may be left without a request, or with one of the last 2 s.
func (s *server) sweep(ctx context.Context, after time.Duration) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			if since := s.lame.Load(); since != 0 && now.UnixNano()-since > after.Nanoseconds() {
				s.crowd.closeIdle(now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// part asks the client to close its connection behind the answer in hand, if this process is to be left.
func (s *server) part(w http.ResponseWriter) {
	if s.draining.Load() || s.lame.Load() != 0 || s.crowd.full() {
		w.Header().Set("Connection", "close")
	}
}
