package testcluster

import (
	"testing"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// TestFaultsOfObservers checks that only faults of voters stretch the bounds of the rules.
func TestFaultsOfObservers(t *testing.T) {
	for _, m := range SmallScenario(1).Machines {
		fault := controlPlaneFault(m, faultKill, 3)
		if want := (rules.Fault{ControlPlane: m.HasDisk, Kind: faultKill, At: 3}); fault != want {
			t.Errorf("machine with a disk %v: %+v, want %+v", m.HasDisk, fault, want)
		}
	}
}
