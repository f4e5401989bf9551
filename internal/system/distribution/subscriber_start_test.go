package distribution

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// firstState records the first state with a record that a subscriber's owner receives.
type firstState struct {
	mu  sync.Mutex
	seq uint64
	at  time.Time
}

func (f *firstState) observe(update Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seq == 0 && update.State.Seq > 0 {
		f.seq, f.at = update.State.Seq, time.Now()
	}
}

func (f *firstState) get() (uint64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seq, f.at
}

// newFleetWithStaleNeighbour creates a fleet of one node, and a proxy that has change 1 and is isolated before change 2 is acknowledged.
func newFleetWithStaleNeighbour() *testFleet {
	fleet := newFleet("k1:1")
	fleet.startProxy("old", nil)
	fleet.chain.add(controlstate.Record{Op: controlstate.OpEvacuate, Zone: "z"})
	time.Sleep(5 * time.Second)
	fleet.isolate("old", true)
	fleet.chain.add(controlstate.Record{Op: controlstate.OpReadmit, Zone: "z"})
	return fleet
}

// startWithStaleNeighbour starts a proxy next to the stale neighbour with some seeds, and returns the first state that it serves.
func startWithStaleNeighbour(t *testing.T, node string, knobs TestingKnobs, seeds ...string) (seq uint64, took time.Duration) {
	t.Helper()
	fleet := newFleetWithStaleNeighbour()
	defer fleet.stop()
	for _, s := range seeds {
		if s != "k1:1" && s != "old:2" {
			fleet.mesh.setPartitioned(node, s, true) // no reply arrives, as from an isolated machine
		}
	}
	var first firstState
	start := time.Now()
	fleet.startProxy(node, func(options *SubscriberOptions) {
		options.Seeds, options.OnUpdate, options.knobs = seeds, first.observe, knobs
	})
	time.Sleep(10 * time.Second)
	seq, at := first.get()
	return seq, at.Sub(start)
}

// TestStartPrefersAnyNodeToNeighbour: a proxy that starts with eight isolated seeds, one node, and a neighbour with an old state serves
// the node's state, whichever it tries last.
func TestStartPrefersAnyNodeToNeighbour(t *testing.T) {
	seeds := []string{"old:2", "k1:1"}
	for i := range 8 {
		seeds = append(seeds, fmt.Sprintf("dead%d:1", i))
	}
	for i := range 30 {
		bubble.Test(t, func(t *testing.T) {
			if seq, took := startWithStaleNeighbour(t, fmt.Sprint("p", i), TestingKnobs{}, seeds...); seq != 2 || took > 1500*time.Millisecond {
				t.Errorf("proxy p%d serves change %d after %v", i, seq, took)
			}
		})
	}
}

// TestStartProbesNodesThatNeighbourNames: a proxy whose seeds include no node learns of one from an old neighbour, and probes it before
// it serves the neighbour's state.
func TestStartProbesNodesThatNeighbourNames(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		if seq, took := startWithStaleNeighbour(t, "p", TestingKnobs{}, "old:2", "dead:1"); seq != 2 || took > 4*time.Second {
			t.Errorf("the proxy serves change %d after %v", seq, took)
		}
	})
	bubble.Test(t, func(t *testing.T) {
		if seq, _ := startWithStaleNeighbour(t, "p", TestingKnobs{ServeNeighbourImmediately: true}, "old:2", "dead:1"); seq == 2 {
			t.Error("control: the node's state was served first though the neighbour's state may be served immediately")
		}
	})
}

// TestStartWithoutNodeServesNeighboursState: if no node can be reached at all, an old state is better than none.
func TestStartWithoutNodeServesNeighboursState(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleetWithStaleNeighbour()
		defer fleet.stop()
		fleet.mesh.setPartitioned("p", "k1:1", true)
		var first firstState
		start := time.Now()
		fleet.startProxy("p", func(options *SubscriberOptions) {
			options.Seeds, options.OnUpdate = []string{"old:2", "dead:1"}, first.observe
		})
		time.Sleep(10 * time.Second)
		if seq, at := first.get(); seq != 1 || at.Sub(start) > 6*time.Second {
			t.Errorf("the proxy serves change %d after %v", seq, at.Sub(start))
		}
	})
}
