package lab

import (
	"errors"
	"testing"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

// TestEndOf checks that a step's time is that after its effect.
func TestEndOf(t *testing.T) {
	failed := errors.New("it failed")
	var during int64
	at, err := endOf(func() error {
		during = clock.Now()
		return failed
	}())
	if at < during || !errors.Is(err, failed) {
		t.Errorf("ended at %d with %v, its effect was at %d", at, err, during)
	}
}
