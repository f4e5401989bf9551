package pick

import (
	"testing"
	"time"
)

// stalledPicker returns a picker, one of twelve, that knows a warm server and whose process was paused until the time at.
func stalledPicker(resumedAt Time) (*Picker, *warmUpFleet) {
	fleet := newWarmUpFleet(12)
	picker := fleet.pickers[0]
	picker.UpdateClusterState(0, fleet.state(0, 1, 0))
	picker.RecordStall(resumedAt)
	return picker, fleet
}

// TestStalledAwaitsLaterContact checks that a state that the control plane published before the end
// of a stall does not end the pacing: it cannot show servers that began to warm up during the stall.
func TestStalledAwaitsLaterContact(t *testing.T) {
	const resumedAt = 10 * time.Second
	picker, fleet := stalledPicker(resumedAt)
	for _, update := range []struct{ receivedAfter, contactAge, delay time.Duration }{
		{100 * time.Millisecond, 5 * time.Second, 0},
		{100 * time.Millisecond, 101 * time.Millisecond, 0},
		{100 * time.Millisecond, 10 * time.Millisecond, 91 * time.Millisecond},
	} {
		state := fleet.state(0, 2, 0)
		state.ContactAge, state.Age = update.contactAge, update.delay
		picker.UpdateClusterState(resumedAt+update.receivedAfter, state)
		for id, s := range picker.servers {
			if !picker.AwaitsControlPlane() || !s.warmingUp(resumedAt+warmUpDuration-1) || s.warmingUp(resumedAt+warmUpDuration) {
				t.Errorf("%+v: %s is warming up until %v, want %v", update, id, s.warmUp.until, resumedAt+warmUpDuration)
			}
		}
	}
	state := fleet.state(0, 2, 0)
	state.ContactAge = 100 * time.Millisecond
	picker.UpdateClusterState(resumedAt+100*time.Millisecond, state)
	if picker.AwaitsControlPlane() || picker.servers["s0"].warmingUp(resumedAt+100*time.Millisecond) {
		t.Error("the server is not treated as warm after an update that was published after the stall")
	}
}

// TestStalledLearnsOfWarmUp applies an update that shows that the server began to warm up during the stall.
func TestStalledLearnsOfWarmUp(t *testing.T) {
	const resumedAt = 10 * time.Second
	picker, fleet := stalledPicker(resumedAt)
	picker.UpdateClusterState(resumedAt+100*time.Millisecond, fleet.state(0, 1, 2*time.Second))
	if s := picker.servers["s0"]; s.warmUp.until != resumedAt+2100*time.Millisecond {
		t.Errorf("warming up until %v, want 2.1 s after the stall", s.warmUp.until)
	}
}

// TestStalledSenderStops checks that in a large fleet a sender whose process was paused stops sending, because others have replaced it.
func TestStalledSenderStops(t *testing.T) {
	const resumedAt = 10 * time.Second
	fleet := newWarmUpFleet(60)
	for i, picker := range fleet.pickers {
		picker.UpdateClusterState(0, fleet.state(i, 1, time.Minute))
		if !picker.servers["s0"].warmUp.isSender {
			continue
		}
		picker.RecordStall(resumedAt)
		if _, may := picker.warmUps.sendingStart(resumedAt, picker.servers["s0"]); may {
			t.Error("the sender still sends right after the stall")
		}
		picker.UpdateClusterState(resumedAt+time.Second, fleet.state(i, 1, time.Minute))
		if from, may := picker.warmUps.sendingStart(resumedAt+time.Second, picker.servers["s0"]); !may || from != resumedAt+time.Second+successorDelay {
			t.Errorf("sending allowed: %v, from %v", may, from)
		}
	}
}

// TestDelayedClusterStateCountsDown checks that durations are counted from when the state was published.
func TestDelayedClusterStateCountsDown(t *testing.T) {
	picker, fleet := New(Settings{WarmUpExcess: 1.5, WarmUpSlack: 5}), newWarmUpFleet(1)
	state := fleet.state(0, 1, 2*time.Second)
	state.Age = 500 * time.Millisecond
	picker.UpdateClusterState(time.Second, state)
	if s := picker.servers["s0"]; s.warmUp.until != 2500*time.Millisecond {
		t.Errorf("warming up until %v, want 2.5 s", s.warmUp.until)
	}
}
