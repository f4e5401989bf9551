package distribution

import (
	"testing"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/invariant/invarianttest"
)

// TestStateNeverGoesBackControl: the invariant detects a state that is older than the stored one.
func TestStateNeverGoesBackControl(t *testing.T) {
	subscriber := NewSubscriber(SubscriberOptions{Log: discardLogger()})
	newer := controlstate.Empty()
	newer.Seq = 5
	subscriber.control.set(newer)
	invarianttest.Expect(t, controlStateMonotonic, func() { subscriber.control.set(controlstate.Empty()) })
}
