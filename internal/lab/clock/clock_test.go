package clock

import (
	"context"
	"testing"
	"time"
)

// TestSleep waits for its time, not at all for a time that has passed, and no longer than its context.
func TestSleep(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	const d = 5 * time.Millisecond
	if start := time.Now(); !Sleep(ctx, d) || time.Since(start) < d {
		t.Errorf("it ended after %v of %v", time.Since(start), d)
	}
	if !Sleep(ctx, -d) {
		t.Error("a time that has passed is reported as the end of the context")
	}
	time.AfterFunc(d, cancel)
	if Sleep(ctx, time.Hour) {
		t.Error("it did not end with its context")
	}
	if Sleep(ctx, 0) || Sleep(ctx, -d) {
		t.Error("a context that is done is ignored")
	}
}
