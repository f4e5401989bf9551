package replication

import (
	"slices"
	"testing"
	"time"
)

// TestCatchUpWhileUpstreamIsLost restarts a member that was down for 400 and for 2,000 changes, as a former replica and as a spare.
// It catches up over a network of 2 MB/s, while 20 changes per second continue. The tail, from which it receives records, is stopped
// at several points in the meantime. It guards against a node that keeps restarting its catch-up, or never becomes a replica again.
func TestCatchUpWhileUpstreamIsLost(t *testing.T) {
	const each = 10 << 10
	var longest time.Duration
	for _, away := range []time.Duration{20 * time.Second, 100 * time.Second} {
		for _, lostAfter := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second} {
			cluster := newScriptedCluster(t)
			cluster.machine = blobMachine{}
			addrs := []string{"k1", "k2", "k3", "k4", "k5"}
			for i, a := range addrs {
				cluster.start(Config{
					Self: Member{Addr: a, Zone: "zone " + addrs[i], Region: "r"}, MachineLosses: 2, Seeds: addrs[:3], Bootstrap: true,
					compactRecords: 300, // the 400 changes also extend beyond a snapshot
				})
			}
			cluster.until(8*time.Second, "the first view", func() bool { return cluster.complete(5, 5) })
			cluster.run(time.Second)
			member := cluster.replica(4)
			head := cluster.replica(0)
			cluster.nodes[member].core = nil
			cluster.submitContinuously(head, cluster.now+away, each, nil)
			cluster.slowNetworks[member] = &slowNetwork{bytesPerSecond: 2 << 20}
			cluster.start(cluster.nodes[member].cfg)
			began, rejoinedAfter := cluster.now, time.Duration(0)
			cluster.submitContinuously(head, cluster.now+lostAfter, each, nil)
			feeder := cluster.replica(len(cluster.view().Chain) - 1)
			if feeder == member {
				feeder = cluster.replica(len(cluster.view().Chain) - 2)
			}
			cluster.nodes[feeder].core = nil
			cluster.submitContinuously(head, cluster.now+10*time.Second, each, func() {
				v := cluster.view()
				if rejoinedAfter == 0 && slices.Contains(v.Chain, ID(member)) && len(v.Chain) == 4 && cluster.nodes[member].core.acceptor.durableActiveEpoch == v.Epoch {
					rejoinedAfter = cluster.now - began
				}
			})
			t.Logf("away for %v, its upstream lost after %v: a replica again after %v, %.1f MB sent", away, lostAfter, rejoinedAfter,
				float64(cluster.slowNetworks[member].sentBytes)/(1<<20))
			if rejoinedAfter == 0 {
				t.Errorf("away for %v, its upstream lost after %v: it is not a replica again within 10 s", away, lostAfter)
			}
			longest = max(longest, rejoinedAfter)
			if n := logBytesInMemory(cluster.nodes[member].core); n > compactThresholdBytes+2*minRetainedBytes {
				t.Errorf("the log of the member takes %d bytes in memory", n)
			}
		}
	}
	t.Logf("a replica again after at most %v", longest)
}
