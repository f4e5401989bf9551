package pick

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// TestIdleConnections: among model servers of equal cost, the ones with an idle connection get the requests. A server is
// not preferred if its connections have been idle for longer than the servers keep them, or if it could not be reached.
func TestIdleConnections(t *testing.T) {
	const announcedTimeout = 10 * time.Second
	route := &config.Route{Name: "a", Host: "h", Prefix: "/", Category: config.Streaming, Timeout: 8 * time.Second, LatencyTarget: time.Second, MaxAttempts: 1,
		Shares: []config.Share{{Service: "lm", Weight: 1}}}
	picker := newPoolPicker(6)
	send := func(now Time, outcome AttemptOutcome) string {
		t.Helper()
		c := picker.Pick(now, &Request{Route: route, TokensIn: 100, MaxTokensOut: 20, TimeLeft: 8 * time.Second}, nil, false)
		if c.Decision != Send {
			t.Fatalf("decision %d, want Send", c.Decision)
		}
		picker.Done(now, c.Ticket, outcome, 0)
		return c.Server.ID
	}
	first := send(0, Served)
	picker.SetIdleTimeout(first, announcedTimeout)
	for now := time.Second; now < 20*time.Second; now += time.Second {
		if id := send(now, Served); id != first {
			t.Fatalf("at %v a new connection to %s was opened although one to %s is idle", now, id, first)
		}
	}
	idle := 19*time.Second + IdleTimeout(announcedTimeout) + time.Millisecond
	second := send(idle, ConnectFailed)
	if second == first {
		t.Error("a server is preferred although its connections have been idle for too long")
	}
	if picker.servers[second].idle.usable(idle, announcedTimeout) {
		t.Error("a connection to an unreachable server counts as idle")
	}
}
