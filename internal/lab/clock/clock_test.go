package clock

import (
	"context"
	"testing"
	"time"
)

func TestSleep(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	const d = 5 * time.Millisecond
	if start := time.Now(); !Sleep(ctx, d) || time.Since(start) < d {
		t.Errorf("it ended after %v of %v", time.Since(start), d)
	}
	if !Sleep(ctx, -d) {
		t.Error("no time to wait is taken for the context's end")
	}
	time.AfterFunc(d, cancel)
	if Sleep(ctx, time.Hour) {
		t.Error("it did not end with its context")
	}
	if Sleep(ctx, 0) || Sleep(ctx, -d) {
		t.Error("a context that has ended is passed over")
	}
}
