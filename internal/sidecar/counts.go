package sidecar

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"beechmill.example/beechmill/balance"
)

// countsEvery is how often the log says what happened since it last did.
const countsEvery = 5 * time.Second

// counts is what happened at the sockets since the log last said it.
type counts struct {
	requests atomic.Int64 // handed to the module
	served   atomic.Int64
	refused  atomic.Int64 // by the module
	failed   atomic.Int64
	gone     atomic.Int64 // left by their client
	busy     atomic.Int64 // beyond what may be held
	improper atomic.Int64 // answered 4xx, or ended for their framing
	blamed   atomic.Int64 // attempts answered 4xx
	dials    atomic.Int64 // to servers
	reused   atomic.Int64 // attempts on a connection that had idled

	attempts [balance.NotSent + 1]atomic.Int64 // by outcome
	slowest  atomic.Int64                      // nanoseconds from an attempt's start until it had a connection, at most
}

var outcomeNames = [balance.NotSent + 1]string{"ok", "error", "full", "timeout", "connect", "reset", "cancelled", "unsent"}

// connected counts an attempt that has a connection.
func (n *counts) connected(reused bool, after time.Duration) {
	if reused {
		n.reused.Add(1)
	}
	for old := n.slowest.Load(); int64(after) > old && !n.slowest.CompareAndSwap(old, int64(after)); old = n.slowest.Load() {
	}
}

// report logs the counts and starts them anew.
func (n *counts) report(log *slog.Logger, w *crowd, held int64) {
	attempts := make([]any, len(n.attempts))
	for i := range n.attempts {
		attempts[i] = slog.Int64(outcomeNames[i], n.attempts[i].Swap(0))
	}
	log.Info("counts", "conns", w.count.Load(), "crowded", w.closed.Swap(0), "held", held, "requests", n.requests.Swap(0), "served", n.served.Swap(0),
		"refused", n.refused.Swap(0), "failed", n.failed.Swap(0), "gone", n.gone.Swap(0), "busy", n.busy.Swap(0),
		"improper", n.improper.Swap(0), "blamed", n.blamed.Swap(0), slog.Group("attempts", attempts...), "dials", n.dials.Swap(0),
		"reused", n.reused.Swap(0), "connect_ms", time.Duration(n.slowest.Swap(0)).Milliseconds())
}

// keepCounts logs the counts until ctx is done.
func (s *server) keepCounts(ctx context.Context, log *slog.Logger) {
	tick := time.NewTicker(countsEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.counts.report(log, s.crowd, s.held.Load())
		case <-ctx.Done():
			return
		}
	}
}
