package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestNewSeedsAreTried starts a proxy whose seeds are all gone, and then names another seed. It guards against a proxy that tries only the
// seeds of its start.
func TestNewSeedsAreTried(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleetWithStaleNeighbour()
		defer fleet.stop()
		var first firstState
		fleet.startProxy("p", func(options *SubscriberOptions) {
			options.Seeds, options.OnUpdate = []string{"dead:1"}, first.observe
		})
		time.Sleep(10 * time.Second)
		if seq, _ := first.get(); seq != 0 {
			t.Fatalf("the proxy serves change %d without any node: the test proves nothing", seq)
		}
		start := time.Now()
		fleet.proxies["p"].subscriber.SetSeeds([]string{"k1:1"})
		time.Sleep(5 * time.Second)
		if seq, at := first.get(); seq != 2 || at.Sub(start) > 2*time.Second {
			t.Errorf("the proxy serves change %d, %v after the settings named a node", seq, at.Sub(start))
		}
	})
}

// TestPreviousSeedsStayUntilANodeNamesOthers guards against a starting proxy that forgets seeds which may be control-plane nodes because
// the new ones are not reachable yet, and against seeds that are tried for ever.
func TestPreviousSeedsStayUntilANodeNamesOthers(t *testing.T) {
	set := newNodeSet(softstate.Member{Node: "p"}, []string{"a", "b"})
	set.setSeeds([]string{"b", "c"})
	if ranked := set.ranked(time.Now()); len(ranked) != 3 {
		t.Errorf("before a node has named others, %q are tried, want three", ranked)
	}
	set.replace(nil, 1)
	if ranked := set.ranked(time.Now()); len(ranked) != 2 || set.byAddress["a"] != nil {
		t.Errorf("after a node has named others, %q are tried, want b and c", ranked)
	}
}
