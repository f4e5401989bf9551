package pick

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// TestEvacuationEndWithUnseenWarmUp: the servers of an evacuated zone begin to warm up 200 ms before
// the evacuation ends, and the list shows it 950 ms after that. Failure: until then they look warm.
func TestEvacuationEndWithUnseenWarmUp(t *testing.T) {
	const back, warmUpStart, publishedAt = 10 * time.Second, 9800 * time.Millisecond, 10950 * time.Millisecond
	fleet := newWarmUpFleet(12)
	for i, picker := range fleet.pickers {
		state := fleet.state(i, 5, 0)
		state.Evacuated = map[string]bool{"z": true}
		picker.UpdateClusterState(0, state)
	}
	fleet.sendAll(back, warmUpStart+warmUpDuration, 40*time.Millisecond, func(now Time) {
		for i, picker := range fleet.pickers {
			switch {
			case now == back:
				state := fleet.state(i, 5, 0)
				state.ZoneChanges, state.ListCoversSeq = map[string]uint64{"z": 7}, 6
				picker.UpdateClusterState(now, state)
			case now >= publishedAt && now < publishedAt+40*time.Millisecond:
				state := fleet.state(i, 5, warmUpStart+warmUpDuration-now)
				state.ZoneChanges, state.ListCoversSeq = map[string]uint64{"z": 7}, 7
				picker.UpdateClusterState(now, state)
			}
		}
	})
	fleet.checkBound(t)
	if len(fleet.sent) == 0 {
		t.Error("a server that may be warming up got no requests")
	}
}

// TestEvacuationEndWithWarmServers: after an evacuation ends, servers get their full load as soon as a reading of the
// list that is recent enough shows them warm, and not before; without such a reading, once any warm-up must be over.
func TestEvacuationEndWithWarmServers(t *testing.T) {
	const back = 10 * time.Second
	picker, fleet := New(Settings{WarmUpExcess: 1.5, WarmUpSlack: 5}), newWarmUpFleet(1)
	state := fleet.state(0, 1, 0)
	state.Evacuated, state.ZoneChanges = map[string]bool{"z": true}, map[string]uint64{"z": 6}
	picker.UpdateClusterState(0, state)
	state.Evacuated, state.ZoneChanges, state.ListCoversSeq = nil, map[string]uint64{"z": 7}, 5
	picker.UpdateClusterState(back, state)
	if s := picker.servers["s0"]; !s.warmingUp(back) || !picker.AwaitsServerList() {
		t.Fatal("treated as warm before the list can show it")
	}
	state.ListCoversSeq = 6
	picker.UpdateClusterState(back+time.Second, state)
	if s := picker.servers["s0"]; !s.warmingUp(back + time.Second) {
		t.Error("treated as warm because of a reading that may be too old")
	}
	state.ListCoversSeq = 7
	picker.UpdateClusterState(back+1100*time.Millisecond, state)
	if s := picker.servers["s0"]; s.warmingUp(back+1100*time.Millisecond) || picker.AwaitsServerList() {
		t.Error("treated as warming up although the list shows it warm")
	}

	state.Evacuated, state.ZoneChanges = map[string]bool{"z": true}, map[string]uint64{"z": 8}
	picker.UpdateClusterState(2*back, state)
	state.Evacuated, state.ZoneChanges = nil, map[string]uint64{"z": 9}
	picker.UpdateClusterState(3*back, state)
	if s := picker.servers["s0"]; !s.warmingUp(3*back+warmUpDuration-1) || s.warmingUp(3*back+warmUpDuration) {
		t.Errorf("without a list treated as warming up for %v, want %v", s.warmUp.until-3*back, warmUpDuration)
	}
}

// TestEvacuationEndUnseen: proxies that never learned of the evacuation,
// because it began and ended between two updates, or before they started.
func TestEvacuationEndUnseen(t *testing.T) {
	const back, warmUpStart, publishedAt = 10 * time.Second, 9800 * time.Millisecond, 10950 * time.Millisecond
	for name, unstarted := range map[string]bool{"between two updates": false, "before the start": true} {
		t.Run(name, func(t *testing.T) {
			fleet := newWarmUpFleet(12)
			stateCovering := func(i int, warmUpLeft time.Duration, covers uint64) ClusterState {
				state := fleet.state(i, 5, warmUpLeft)
				state.ZoneChanges, state.ListCoversSeq = map[string]uint64{"z": 7}, covers
				return state
			}
			for i, picker := range fleet.pickers {
				if !unstarted {
					picker.UpdateClusterState(0, fleet.state(i, 5, 0))
				}
				picker.UpdateClusterState(back, stateCovering(i, 0, 6))
			}
			fleet.sendAll(back, warmUpStart+warmUpDuration, 40*time.Millisecond, func(now Time) {
				if now < publishedAt || now >= publishedAt+40*time.Millisecond {
					return
				}
				for i, picker := range fleet.pickers {
					picker.UpdateClusterState(now, stateCovering(i, warmUpStart+warmUpDuration-now, 7))
				}
			})
			fleet.checkBound(t)
		})
	}
}

// TestUnseenWarmUpOutlivesGaps: a server is missing from one reading of the list, and
// its service from the configuration for a moment; it may be warming up nevertheless.
func TestUnseenWarmUpOutlivesGaps(t *testing.T) {
	const back = 10 * time.Second
	picker, fleet := New(Settings{WarmUpExcess: 1.5, WarmUpSlack: 5}), newWarmUpFleet(1)
	picker.UpdateClusterState(0, fleet.state(0, 1, 0))
	stateWith := func(servers int) ClusterState {
		state := fleet.state(0, servers, 0)
		state.ZoneChanges, state.ListCoversSeq = map[string]uint64{"z": 7}, 6
		return state
	}
	picker.UpdateClusterState(back, stateWith(1))
	missingServer := stateWith(0)
	missingServer.ZoneChanges = nil
	picker.UpdateClusterState(back+100*time.Millisecond, missingServer)
	picker.UpdateClusterState(back+200*time.Millisecond, stateWith(1))
	if !picker.servers["s0"].warmingUp(back + 200*time.Millisecond) {
		t.Error("treated as warm after it was missing from the list")
	}
	missingService := stateWith(1)
	missingService.Config = &config.Config{}
	picker.UpdateClusterState(back+300*time.Millisecond, missingService)
	picker.UpdateClusterState(back+400*time.Millisecond, stateWith(1))
	if s := picker.servers["s0"]; !s.warmingUp(back+400*time.Millisecond) || s.warmingUp(back+warmUpDuration) {
		t.Errorf("after its service was missing: warming up until %v, want %v", s.warmUp.until, back+warmUpDuration)
	}
}

// TestUncoveredListWithoutEvacuation: a list that covers no changes does not cause pacing if no zone was ever evacuated, or only long ago.
func TestUncoveredListWithoutEvacuation(t *testing.T) {
	picker, fleet := New(Settings{WarmUpExcess: 1.5, WarmUpSlack: 5}), newWarmUpFleet(1)
	state := fleet.state(0, 1, 0)
	state.ZoneChanges = map[string]uint64{"z": 0}
	picker.UpdateClusterState(0, state)
	if picker.AwaitsServerList() {
		t.Error("a newer list is awaited although no zone was evacuated")
	}
	state.ZoneChanges, state.ListCoversSeq = map[string]uint64{"z": 7}, 7
	picker.UpdateClusterState(time.Second, state)
	state.ListCoversSeq = 0 // the process that reads the list has just started
	picker.UpdateClusterState(time.Second+warmUpDuration, state)
	if picker.AwaitsServerList() {
		t.Error("a newer list is awaited for a change long ago")
	}
}
