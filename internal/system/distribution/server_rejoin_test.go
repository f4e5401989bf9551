package distribution

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestNodeBackFromPartitionSynchronisesFirst: for 2 s after it is current again, a keeper that was cut off or stood still leaves
// followers to others. One that heard the others all the while feeds at once, and so does one that starts.
func TestNodeBackFromPartitionSynchronisesFirst(t *testing.T) {
	for _, c := range []struct {
		name            string
		cut, hook, want bool
	}{{"cut off", true, false, false}, {"a repair of the chain", false, false, true}, {"control", true, true, true}} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleetWithKnobs(TestingKnobs{SkipRejoinDelay: c.hook}, "k1:1", "k2:1", "k3:1")
			defer fleet.stop()
			time.Sleep(4 * time.Second)
			k := fleet.servers["k1:1"]
			if !k.isCurrent() {
				t.Errorf("%s: waits at its start", c.name)
			}
			for _, other := range []string{"k2:1", "k3:1"} {
				fleet.mesh.setPartitioned("k1:1", other, c.cut)
				fleet.mesh.setPartitioned(other, "k1:1", c.cut)
			}
			fleet.sources["k1:1"].setStale(true)
			time.Sleep(20 * time.Second)
			fleet.mesh.mu.Lock()
			clear(fleet.mesh.partitioned)
			fleet.mesh.mu.Unlock()
			fleet.sources["k1:1"].setStale(false)
			if got := k.isCurrent(); got != c.want {
				t.Errorf("%s: at once: %v", c.name, got)
			}
			time.Sleep(rejoinDelay - 100*time.Millisecond)
			if got := k.isCurrent(); got != c.want {
				t.Errorf("%s: a moment before: %v", c.name, got)
			}
			time.Sleep(200 * time.Millisecond)
			if !k.isCurrent() {
				t.Errorf("%s: not in force %v after it is current", c.name, rejoinDelay)
			}
		})
	}
}
