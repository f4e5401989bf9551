package replication

import (
	"fmt"
	"testing"
	"time"
)

// TestCPUQuota runs nodes at full speed for a part of each tenth of a second and suspends them for the rest, as a CPU quota does.
// They must form a view, accept changes in time, and suspect no node.
func TestCPUQuota(t *testing.T) {
	const (
		changes     = 20
		changeBound = 2 * time.Second // three nodes, each of which answers once in quotaPeriod, and retries of the caller
		calm        = 10 * time.Second
	)
	for _, share := range []float64{0.5, 0.2, 0.1, 0.05} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%v of a core, phases %d", share, seed), func(t *testing.T) {
				cluster := newScriptedCluster(t)
				cluster.lastCallID = 100 * seed
				cluster.quotas = map[string]cpuQuota{}
				for i, addr := range []string{"a", "b", "c"} {
					cluster.quotas[addr] = cpuQuota{share, time.Duration(seed) * time.Duration(i) * 17 * time.Millisecond}
				}
				formThreeNodes(cluster, 1, TestingKnobs{})
				epoch := cluster.view().Epoch
				for i := range changes {
					id := cluster.submit([]string{"a", "b", "c"}[i%3], replacing(int64(i), fmt.Sprint("change ", i)), changeBound)
					cluster.until(changeBound, "a change", func() bool { return cluster.answered(id) })
				}
				cluster.run(calm)
				if after := cluster.view().Epoch; after != epoch || !cluster.complete(3, 3) {
					t.Errorf("the view went from epoch %d to %d without a fault", epoch, after)
				}
			})
		}
	}
}
