package distribution

import (
	"testing"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/invariant/invarianttest"
)

// TestStateNeverGoesBackControl: a state that is older than the one held is seen.
func TestStateNeverGoesBackControl(t *testing.T) {
	f := NewSubscriber(SubscriberOptions{Log: quiet()})
	newer := controlstate.Empty()
	newer.Seq = 5
	f.control.set(newer)
	invarianttest.Expect(t, stateNeverGoesBack, func() { f.control.set(controlstate.Empty()) })
}
