package soak

import (
	"context"
	"testing"
	"time"
)

// TestLateness checks that the maximum is kept, and that measuring ends with its context.
func TestLateness(t *testing.T) {
	var l lateness
	ctx, cancel := context.WithTimeout(t.Context(), 3*latenessInterval)
	defer cancel()
	l.run(ctx)
	if l.maxNS.Load() <= 0 {
		t.Error("no wait was measured")
	}
	var told lateness
	for _, d := range []time.Duration{time.Second, 3 * time.Second, 2 * time.Second} {
		told.observe(d)
	}
	if told.milliseconds() != 3000 {
		t.Errorf("late by %d ms at most, want 3000", told.milliseconds())
	}
}
