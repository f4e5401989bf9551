package sidecar

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"beechmill.example/beechmill/balance"
)

// TestCounts has the log say what happened, and only once.
func TestCounts(t *testing.T) {
	n := &counts{}
	n.requests.Add(3)
	n.attempts[balance.TimedOut].Add(2)
	n.connected(true, 40*time.Millisecond)
	n.connected(false, 20*time.Millisecond)
	var text bytes.Buffer
	log := slog.New(slog.NewTextHandler(&text, nil))
	w := newCrowd(64)
	w.count.Store(7)
	n.report(log, w, 1)
	for _, want := range []string{"conns=7 crowded=0 held=1 requests=3 ", "attempts.timeout=2 ", "reused=1 connect_ms=40\n"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q lacks %q", text.String(), want)
		}
	}
	text.Reset()
	n.report(log, w, 0)
	if !strings.Contains(text.String(), "requests=0 ") || !strings.Contains(text.String(), "connect_ms=0\n") {
		t.Errorf("said again: %q", text.String())
	}
}
