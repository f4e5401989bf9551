package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// countsInterval is how often the counters are logged, as increments since the last time.
const countsInterval = 5 * time.Second

// counts counts what happened at the sockets since the start of the process.
type counts struct {
	open             atomic.Int64 // requests received completely and not finished
	requests         atomic.Int64 // passed to the Balancer
	gone             atomic.Int64 // requests whose client disconnected
	busy             atomic.Int64 // refused requests that were over the limit of pending requests or too late for a shutdown
	improper         atomic.Int64 // requests answered 4xx, or ended for bad framing
	requestsRejected atomic.Int64 // attempts answered 4xx
	dials            atomic.Int64 // connections opened to servers
	reused           atomic.Int64 // attempts on a connection that had been idle

	classes  []classCounts
	attempts [balance.NotSent + 1]atomic.Int64 // by outcome
	slowest  atomic.Int64                      // maximum time from an attempt's start until it had a connection, in nanoseconds, since it was last logged
}

// classCounts counts the results of the requests of one class.
type classCounts struct {
	name      string
	fulfilled atomic.Int64 // served by a server
	throttled atomic.Int64 // refused
	faulted   atomic.Int64 // failed
	relayed   atomic.Int64 // attempts written to a server completely
}

func newCounts(classes []balance.Class) *counts {
	n := &counts{classes: make([]classCounts, len(classes))}
	for i, c := range classes {
		n.classes[i].name = c.Name
	}
	return n
}

// countAnswer counts a request whose answer has been written completely.
func (n *classCounts) countAnswer(kind answerKind) {
	switch kind {
	case served:
		n.fulfilled.Add(1)
	case refused:
		n.throttled.Add(1)
	default:
		n.faulted.Add(1)
	}
}

var outcomeNames = [balance.NotSent + 1]string{"ok", "error", "full", "timeout", "connect", "reset", "cancelled", "unsent"}

// connected counts an attempt that has got a connection.
func (n *counts) connected(reused bool, after time.Duration) {
	if reused {
		n.reused.Add(1)
	}
	storeMax(&n.slowest, int64(after))
}

// raise raises a maximum to value if value is above it.
func storeMax(maximum *atomic.Int64, value int64) {
	for {
		old := maximum.Load()
		if value <= old || maximum.CompareAndSwap(old, value) {
			return
		}
	}
}

// metric is a counter with its name in the log.
type metric struct {
	name  string
	value int64
}

// metrics reads the counters for the log.
func (n *counts) metrics(w *connLimiter) (figures, attempts []metric) {
	var fulfilled, throttled, faulted, relayed int64
	for i := range n.classes {
		c := &n.classes[i]
		fulfilled, throttled = fulfilled+c.fulfilled.Load(), throttled+c.throttled.Load()
		faulted, relayed = faulted+c.faulted.Load(), relayed+c.relayed.Load()
	}
	for i := range n.attempts {
		attempts = append(attempts, metric{outcomeNames[i], n.attempts[i].Load()})
	}
	return []metric{{"crowded", w.closed.Load()}, {"requests", n.requests.Load()}, {"fulfilled", fulfilled}, {"throttled", throttled},
		{"faulted", faulted}, {"gone", n.gone.Load()}, {"busy", n.busy.Load()}, {"improper", n.improper.Load()},
		{"blamed", n.requestsRejected.Load()}, {"relayed", relayed}, {"dials", n.dials.Load()}, {"reused", n.reused.Load()}}, attempts
}

// report logs the increments since the last report, whose values it takes as last; it returns the present ones.
func (n *counts) report(log *slog.Logger, w *connLimiter, last [2][]metric) [2][]metric {
	var now [2][]metric
	now[0], now[1] = n.metrics(w)
	var groups [2][]any
	for i := range now {
		for j, f := range now[i] {
			if last[i] != nil {
				f.value -= last[i][j].value
			}
			groups[i] = append(groups[i], slog.Int64(f.name, f.value))
		}
	}
	line := append([]any{"conns", w.count.Load(), "open", n.open.Load()}, groups[0]...)
	log.Info("counts", append(line, slog.Group("attempts", groups[1]...), "connect_ms", time.Duration(n.slowest.Swap(0)).Milliseconds())...)
	return now
}

// logCounts logs the counts until ctx is done.
func (s *server) logCounts(ctx context.Context, log *slog.Logger) {
	tick := time.NewTicker(countsInterval)
	defer tick.Stop()
	var last [2][]metric
	for {
		select {
		case <-tick.C:
			last = s.counts.report(log, s.connections, last)
		case <-ctx.Done():
			return
		}
	}
}

// info answers with the present metrics.
func (s *server) info([]string) string {
	var listed, avoided int
	if !s.host.ask(func() { listed, avoided = s.host.balancer.CountListed(s.host.now) }) {
		return fmt.Sprintf("fail %v\n", errShuttingDown)
	}
	var text strings.Builder
	for i := range s.counts.classes {
		c := &s.counts.classes[i]
		for _, f := range []metric{{"fulfilled", c.fulfilled.Load()}, {"throttled", c.throttled.Load()},
			{"faulted", c.faulted.Load()}, {"relayed", c.relayed.Load()}} {
			fmt.Fprintf(&text, "svc.operations.%s.%s:%d|c\n", c.name, f.name, f.value)
		}
	}
	for _, f := range []metric{{"open_requests", s.counts.open.Load()}, {"registry_entries", int64(listed)},
		{"out_of_rotation", int64(avoided)}} {
		fmt.Fprintf(&text, "svc.%s:%d|g\n", f.name, f.value)
	}
	s.membersInfo(&text)
	s.hittersInfo(&text)
	s.routesInfo(&text)
	text.WriteString("eof\n")
	return text.String()
}
