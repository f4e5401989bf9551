package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestNodeBackFromPartitionSynchronisesFirst: a node that was isolated or paused does not serve subscribers for 2 s after it is current
// again. One that stayed in contact with the others serves immediately, and so does one that has just started.
func TestNodeBackFromPartitionSynchronisesFirst(t *testing.T) {
	for _, test := range []struct {
		name            string
		cut, hook, want bool
	}{{"cut off", true, false, false}, {"a repair of the chain", false, false, true}, {"control", true, true, true}} {
		bubble.Test(t, func(t *testing.T) {
			fleet := newFleetWithKnobs(TestingKnobs{SkipRejoinDelay: test.hook}, "k1:1", "k2:1", "k3:1")
			defer fleet.stop()
			time.Sleep(4 * time.Second)
			returning := fleet.servers["k1:1"]
			if !returning.isCurrent() {
				t.Errorf("%s: the node does not serve immediately after its start", test.name)
			}
			for _, other := range []string{"k2:1", "k3:1"} {
				fleet.mesh.setPartitioned("k1:1", other, test.cut)
				fleet.mesh.setPartitioned(other, "k1:1", test.cut)
			}
			fleet.sources["k1:1"].setStale(true)
			time.Sleep(20 * time.Second)
			fleet.mesh.mu.Lock()
			clear(fleet.mesh.partitioned)
			fleet.mesh.mu.Unlock()
			fleet.sources["k1:1"].setStale(false)
			if got := returning.isCurrent(); got != test.want {
				t.Errorf("%s: immediately after it is current again: current %v", test.name, got)
			}
			time.Sleep(rejoinDelay - 100*time.Millisecond)
			if got := returning.isCurrent(); got != test.want {
				t.Errorf("%s: just before rejoinDelay ends: current %v", test.name, got)
			}
			time.Sleep(200 * time.Millisecond)
			if !returning.isCurrent() {
				t.Errorf("%s: does not serve %v after it is current again", test.name, rejoinDelay)
			}
		})
	}
}
