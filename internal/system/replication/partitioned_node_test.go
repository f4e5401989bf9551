package replication

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// clusterWithSpareAndObserver starts three replicas, a spare and an observer.
func clusterWithSpareAndObserver(t *testing.T) *scriptedCluster {
	cluster := threeNodes(t, 1, TestingKnobs{})
	seeds := []string{"a", "b", "c"}
	cluster.start(nodeConfig("s", seeds, nil))
	cluster.start(nodeConfig("o", seeds, []string{"o"}))
	cluster.run(3 * time.Second)
	return cluster
}

func (cluster *scriptedCluster) isPartitioned(addr string) bool {
	n := cluster.nodes[addr]
	return n.core.Partitioned(cluster.clock(n))
}

// TestPartitioned partitions each kind of node, in both directions or one. It guards against a partition that is not detected, that
// is still reported after it has ended, or that is reported by other nodes. While a node reports it, changes requested there must not
// be answered.
func TestPartitioned(t *testing.T) {
	for name, stops := range partitionDirections {
		for place := range 5 {
			cluster := clusterWithSpareAndObserver(t)
			nodes := []string{cluster.replica(0), cluster.replica(1), cluster.replica(2), "s", "o"}
			partitioned := nodes[place]
			cluster.filter = func(from, to string, _ *replicationpb.Message) bool { return !stops(from, to, partitioned) }
			noticed := cluster.until(2500*time.Millisecond, "the node to report the partition", func() bool { return cluster.isPartitioned(partitioned) })
			if noticed < time.Second {
				t.Errorf("%s, place %d: reported as partitioned after %v, less than a node may be silent", name, place, noticed)
			}
			for range 100 {
				cluster.checkPartitioned(fmt.Sprintf("%s, place %d", name, place), nodes, partitioned)
			}
			cluster.filter = nil
			ended := cluster.until(1500*time.Millisecond, "the node to report the end of the partition", func() bool { return !cluster.isPartitioned(partitioned) })
			t.Logf("%s, place %d: detected after %v, its end after %v", name, place, noticed, ended)
		}
	}
}

// checkPartitioned requests a change from the partitioned node, which must not be answered within 20 steps, and checks in each step
// that this node is the only one that reports being partitioned.
func (cluster *scriptedCluster) checkPartitioned(name string, nodes []string, partitioned string) {
	cluster.t.Helper()
	id := cluster.submit(partitioned, evacuating("z"), 700*time.Millisecond)
	for range 20 {
		cluster.step()
		for _, other := range nodes {
			if got := cluster.isPartitioned(other); got != (other == partitioned) {
				cluster.t.Fatalf("%s: partitioned = %v at %s while %s is partitioned", name, got, other, partitioned)
			}
		}
	}
	if cluster.answered(id) {
		cluster.t.Fatalf("%s: a change was answered at a node that is partitioned", name)
	}
}

// TestNotPartitionedWhileChangesAreAccepted requests changes from all nodes. It guards against refusing a change that the chain would
// accept, because a few heartbeats were lost, the head was lost, the process was paused, or no voter except the head is reachable.
func TestNotPartitionedWhileChangesAreAccepted(t *testing.T) {
	const lasts = 20 * time.Second
	for name, prepare := range map[string]func(*scriptedCluster){
		"all is well": func(*scriptedCluster) {},
		"two of three heartbeats are lost": func(cluster *scriptedCluster) {
			cluster.filter = func(_, _ string, m *replicationpb.Message) bool {
				h := m.GetHeartbeat()
				return h == nil || h.GetReply() || h.GetNumber()%3 == 0
			}
		},
		"no voter but the head is reached": func(cluster *scriptedCluster) {
			head := cluster.replica(0)
			outside := func(a string) bool { return a == "s" || a == "o" }
			cluster.filter = func(from, to string, _ *replicationpb.Message) bool {
				return (!outside(from) || to == head) && (!outside(to) || from == head)
			}
		},
		"the head is lost, and its repair takes three seconds": func(cluster *scriptedCluster) {
			cluster.nodes[cluster.replica(0)].core = nil
			ends := cluster.now + 3*time.Second
			cluster.filter = func(_, _ string, m *replicationpb.Message) bool { return m.GetPrepare() == nil || cluster.now > ends }
		},
		"the head is lost":        func(cluster *scriptedCluster) { cluster.nodes[cluster.replica(0)].core = nil },
		"the middle is lost":      func(cluster *scriptedCluster) { cluster.nodes[cluster.replica(1)].core = nil },
		"the tail is lost":        func(cluster *scriptedCluster) { cluster.nodes[cluster.replica(2)].core = nil },
		"a link stood still":      func(cluster *scriptedCluster) { cluster.pause(cluster.replica(1)) },
		"the head stood still":    func(cluster *scriptedCluster) { cluster.pause(cluster.replica(0)) },
		"an observer stood still": func(cluster *scriptedCluster) { cluster.pause("o") },
		"an observer starts anew": func(cluster *scriptedCluster) { cluster.start(nodeConfig("o", []string{"a", "b", "c"}, []string{"o"})) },
		"a spare starts anew":     func(cluster *scriptedCluster) { cluster.start(nodeConfig("s", []string{"a", "b", "c"}, nil)) },
	} {
		t.Run(name, func(t *testing.T) {
			cluster := clusterWithSpareAndObserver(t)
			prepare(cluster)
			calls := cluster.callAllFor(lasts)
			for addr, ids := range calls {
				answered := len(slices.DeleteFunc(slices.Clone(ids), func(id uint64) bool { return !cluster.answered(id) }))
				if answered < len(ids)*3/4 {
					t.Errorf("%s: %d of %d changes were answered", addr, answered, len(ids))
				}
			}
		})
	}
}

// callAllFor requests a change from every running node every 200 ms, and checks that none reports being partitioned. It returns the
// calls by address.
func (cluster *scriptedCluster) callAllFor(length time.Duration) map[string][]uint64 {
	cluster.t.Helper()
	calls := map[string][]uint64{}
	for began := cluster.now; cluster.now-began < length; cluster.step() {
		for _, addr := range slices.Sorted(maps.Keys(cluster.nodes)) {
			if cluster.nodes[addr].core == nil {
				continue
			}
			if cluster.isPartitioned(addr) {
				cluster.t.Fatalf("%s reports being partitioned after %v", addr, cluster.now-began)
			}
			if (cluster.now-began)%(200*time.Millisecond) == 0 {
				calls[addr] = append(calls[addr], cluster.submit(addr, evacuating("z"), 700*time.Millisecond))
			}
		}
	}
	return calls
}

// pause pauses a node for ten seconds.
func (cluster *scriptedCluster) pause(addr string) {
	cluster.nodes[addr].paused = true
	cluster.run(10 * time.Second)
	cluster.nodes[addr].paused = false
}

// TestNotPartitionedOverSlowNetwork guards against nodes with a latency of 150 ms being reported as partitioned between two
// heartbeats.
func TestNotPartitionedOverSlowNetwork(t *testing.T) {
	cluster := clusterWithSpareAndObserver(t)
	var underWay []arrival
	cluster.filter = func(_, to string, m *replicationpb.Message) bool {
		underWay = append(underWay, arrival{cluster.now + 150*time.Millisecond, Envelope{Addr: to, Msg: m}})
		return false
	}
	for began := cluster.now; cluster.now-began < 20*time.Second; cluster.step() {
		for len(underWay) > 0 && underWay[0].at <= cluster.now {
			e := underWay[0].envelope
			underWay = underWay[1:]
			cluster.deliver(e)
		}
		for addr := range cluster.nodes {
			if cluster.isPartitioned(addr) {
				t.Fatalf("%s reports being partitioned after %v", addr, cluster.now-began)
			}
		}
	}
}

// TestPartitionedBeforeAnyView checks that a node that receives no messages and knows of no view is partitioned, while one in contact
// with another node waits.
func TestPartitionedBeforeAnyView(t *testing.T) {
	for others := range 2 {
		cluster := newScriptedCluster(t)
		seeds := []string{"a", "b", "c"}
		for _, a := range seeds[:1+others] {
			cfg := nodeConfig(a, seeds, nil)
			cfg.Bootstrap = false
			cluster.start(cfg)
		}
		cluster.run(time.Second)
		early := cluster.isPartitioned("a")
		cluster.run(9 * time.Second)
		if late := cluster.isPartitioned("a"); early || late != (others == 0) {
			t.Errorf("%d others: partitioned %v after 1 s, %v after 10 s", others, early, late)
		}
	}
}
