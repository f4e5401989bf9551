package pick

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/invariant/invarianttest"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

// TestWarmUpRateInvariantControl checks that a proxy that saves up more than one request violates the invariant.
func TestWarmUpRateInvariantControl(t *testing.T) {
	fleet := newWarmUpFleet(12)
	fleet.pickers = fleet.pickers[:1]
	picker := fleet.pickers[0]
	picker.UpdateClusterState(0, fleet.state(0, 1, time.Minute))
	fleet.sendAll(0, 5*time.Second, 10*time.Millisecond, nil)
	invarianttest.Expect(t, warmUpRateInvariant, func() {
		fleet.sendAll(5*time.Second, 5100*time.Millisecond, 10*time.Millisecond, func(Time) { picker.servers["s0"].warmUp.bucket.tokens = 2 })
	})
}

// TestWarmUpEndInvariantControl checks that a warm-up that was announced 80 ms too short violates the invariant with
// the next reading of the list, and that a new warm-up that begins after the first request to the warm server does not.
func TestWarmUpEndInvariantControl(t *testing.T) {
	runWarmUp := func(warmUpLeft, later time.Duration) {
		fleet := newWarmUpFleet(1)
		fleet.pickers[0].UpdateClusterState(0, fleet.state(0, 1, warmUpLeft))
		fleet.sendAll(0, warmUpLeft+40*time.Millisecond, 10*time.Millisecond, nil)
		state := fleet.state(0, 1, later)
		state.Servers[0].WarmUpMin = later
		fleet.pickers[0].UpdateClusterState(warmUpLeft+40*time.Millisecond, state)
	}
	invarianttest.Expect(t, warmUpEndInvariant, func() { runWarmUp(warmUpDuration-80*time.Millisecond, 40*time.Millisecond) })
	before := warmUpEndInvariant.Violations()
	runWarmUp(warmUpDuration, warmUpDuration-20*time.Millisecond)
	if warmUpEndInvariant.Violations() != before {
		t.Error("a warm-up that began after the first request counts as the previous one")
	}
}

// TestEligibilityInvariantControl checks that a request to a server in an evacuated zone violates the invariant.
func TestEligibilityInvariantControl(t *testing.T) {
	fleet := newWarmUpFleet(1)
	picker := fleet.pickers[0]
	picker.UpdateClusterState(0, fleet.state(0, 1, 0))
	invarianttest.Expect(t, eligibilityInvariant, func() {
		picker.state.Evacuated = map[string]bool{"z": true}
		r := &Request{Route: fleet.config.Routes[0], TimeLeft: time.Second}
		picker.Done(0, picker.send(&pickInput{request: r, prompt: &prefixcache.Chain{}}, Result{}, picker.servers["s0"], cost{}).Ticket, Served, 0)
	})
}

// TestEvacuationEndIsNoViolation: a server warms up and gets its first request as a warm one; then
// its zone is evacuated, and the evacuation ends after the server has begun to warm up again. That
// the server is paced until the list can show this must not be held against the earlier request.
func TestEvacuationEndIsNoViolation(t *testing.T) {
	const evacuationEnd = 12 * time.Second
	fleet := newWarmUpFleet(1)
	picker := fleet.pickers[0]
	before := warmUpEndInvariant.Violations()
	picker.UpdateClusterState(0, fleet.state(0, 1, warmUpDuration))
	fleet.sendAll(0, warmUpDuration+100*time.Millisecond, 10*time.Millisecond, nil)
	state := fleet.state(0, 1, 0)
	state.Evacuated = map[string]bool{"z": true}
	picker.UpdateClusterState(5*time.Second, state)
	state.Evacuated, state.ZoneChanges, state.ListCoversSeq = nil, map[string]uint64{"z": 7}, 6
	picker.UpdateClusterState(evacuationEnd, state)
	if !picker.servers["s0"].warmUp.awaitsNewerList {
		t.Error("not paced although the list cannot show the warm-up")
	}
	state = fleet.state(0, 1, 1700*time.Millisecond)
	state.ZoneChanges, state.ListCoversSeq = map[string]uint64{"z": 7}, 7
	state.Servers[0].WarmUpMin = time.Second
	picker.UpdateClusterState(evacuationEnd+500*time.Millisecond, state)
	if warmUpEndInvariant.Violations() != before {
		t.Error("counted as a violation")
	}
}

// TestWarmUpAgainBeforeItsEndIsNoViolation: 500 ms before its warm-up ends, a server begins to warm
// up again, which the list shows 900 ms later. No proxy can know this when the first warm-up ends.
func TestWarmUpAgainBeforeItsEndIsNoViolation(t *testing.T) {
	const restartedAt, listedAt = warmUpDuration - 500*time.Millisecond, warmUpDuration + 400*time.Millisecond
	fleet := newWarmUpFleet(1)
	picker := fleet.pickers[0]
	before := warmUpEndInvariant.Violations()
	picker.UpdateClusterState(0, fleet.state(0, 1, warmUpDuration))
	fleet.sendAll(0, listedAt, 10*time.Millisecond, nil)
	state := fleet.state(0, 1, restartedAt+warmUpDuration-listedAt)
	state.Servers[0].WarmUpMin = state.Servers[0].WarmUpMax
	picker.UpdateClusterState(listedAt, state)
	if warmUpEndInvariant.Violations() != before {
		t.Error("counted as a violation")
	}
}

// TestUpdateThatComesLateIsNoViolation: a server's warm-up ends at 3 s. An update that was made at 2.9 s and
// correctly states the remaining 100 ms is applied at 3.2 s, after the first request to the server as a warm one.
func TestUpdateThatComesLateIsNoViolation(t *testing.T) {
	fleet := newWarmUpFleet(1)
	picker := fleet.pickers[0]
	before := warmUpEndInvariant.Violations()
	picker.UpdateClusterState(0, fleet.state(0, 1, warmUpDuration))
	fleet.sendAll(0, warmUpDuration+200*time.Millisecond, 10*time.Millisecond, nil)
	state := fleet.state(0, 1, 100*time.Millisecond)
	state.Servers[0].WarmUpMin, state.Age = state.Servers[0].WarmUpMax, 300*time.Millisecond
	picker.UpdateClusterState(warmUpDuration+200*time.Millisecond, state)
	if warmUpEndInvariant.Violations() != before || picker.servers["s0"].warmingUp(warmUpDuration+200*time.Millisecond) {
		t.Error("counted as a violation, or treated as warming up again")
	}
}

// TestStallIsNoWarmUp: a server was paced only because of a stall, and begins to
// warm up later. It must not count as a server whose warm-up had ended before.
func TestStallIsNoWarmUp(t *testing.T) {
	const resumedAt = 10 * time.Second
	picker, fleet := stalledPicker(resumedAt)
	before := warmUpEndInvariant.Violations()
	picker.UpdateClusterState(resumedAt+50*time.Millisecond, fleet.state(0, 1, 0))
	fleet.pickers = fleet.pickers[:1]
	fleet.sendAll(resumedAt+50*time.Millisecond, resumedAt+100*time.Millisecond, 10*time.Millisecond, nil)
	state := fleet.state(0, 1, 2900*time.Millisecond)
	state.Servers[0].WarmUpMin = state.Servers[0].WarmUpMax
	picker.UpdateClusterState(resumedAt+100*time.Millisecond, state)
	if warmUpEndInvariant.Violations() != before || len(fleet.sent) == 0 {
		t.Errorf("counted as a violation, or no request was sent (%d requests)", len(fleet.sent))
	}
}
