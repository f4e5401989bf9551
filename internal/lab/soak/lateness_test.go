package soak

import (
	"context"
	"testing"
	"time"
)

// TestLateness: the most counts, and measuring ends with its context.
func TestLateness(t *testing.T) {
	var l lateness
	ctx, cancel := context.WithTimeout(t.Context(), 3*lateEvery)
	defer cancel()
	l.run(ctx)
	if l.most.Load() <= 0 {
		t.Error("no wait was measured")
	}
	var told lateness
	for _, d := range []time.Duration{time.Second, 3 * time.Second, 2 * time.Second} {
		told.see(d)
	}
	if told.ms() != 3000 {
		t.Errorf("late by %d ms at most, want 3000", told.ms())
	}
}
