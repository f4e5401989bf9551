package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// nodeConfig returns the configuration of the node at addr, which has no disk if it is one of the observers.
func nodeConfig(addr string, seeds, observers []string) Config {
	return Config{
		Self: Member{Addr: addr, Zone: "z" + addr[len(addr)-1:], Region: "r"}, MachineLosses: 1, Seeds: seeds, Bootstrap: true,
		Observer: slices.Contains(observers, addr),
	}
}

func noObserverInViews(t *testing.T, cluster *scriptedCluster) {
	t.Helper()
	for addr, n := range cluster.nodes {
		if n.core == nil {
			continue
		}
		for _, m := range n.core.acceptor.view.Voters {
			if cluster.nodes[m.Addr].cfg.Observer {
				t.Fatalf("%s holds a view in which the observer %s votes", addr, m.Addr)
			}
		}
	}
}

// TestFirstViewWithSeedsThatAreObservers starts five nodes, of which the first three are seeds and 0 to 2 of these have no disk. It
// guards against no first view being formed because the seeds with a disk are not a majority of the seeds.
func TestFirstViewWithSeedsThatAreObservers(t *testing.T) {
	addrs := []string{"k1", "k2", "k3", "k4", "k5"}
	for observers := range 3 {
		t.Run(fmt.Sprint(observers), func(t *testing.T) {
			cluster := newScriptedCluster(t)
			for _, a := range addrs {
				cluster.start(nodeConfig(a, addrs[:3], addrs[:observers]))
			}
			took := cluster.until(5*time.Second, "a view that tolerates a loss", func() bool {
				noObserverInViews(t, cluster)
				return cluster.complete(3, 3)
			})
			t.Logf("complete after %v", took)
			for _, a := range addrs {
				id := cluster.submit(a, evacuating("zone of "+a), 2*time.Second)
				cluster.until(2*time.Second, "a change through "+a, func() bool { return cluster.answered(id) })
				id = cluster.read(a, 2*time.Second)
				cluster.until(2*time.Second, "a read through "+a, func() bool { return cluster.answered(id) })
			}
			cluster.run(time.Second)
			for _, a := range addrs {
				if n := cluster.nodes[a]; !n.core.Current(cluster.clock(n)) || n.core.chain.commitIndex != cluster.nodes["k4"].core.chain.commitIndex {
					t.Errorf("%s: current %v, committed %d", a, n.core.Current(cluster.clock(n)), n.core.chain.commitIndex)
				}
			}
			noObserverInViews(t, cluster)
		})
	}
}

// TestTimedOutSeedsAreNoObservers checks that only a seed that has reported to be an observer is excluded from the quorum. It guards
// against one seed of three that receives no messages forming a view alone, while the two others form one too.
func TestTimedOutSeedsAreNoObservers(t *testing.T) {
	seeds := []string{"k1", "k2", "k3"}
	cluster := newScriptedCluster(t)
	cluster.start(nodeConfig("k1", seeds, nil))
	cluster.start(nodeConfig("k2", seeds, []string{"k2"}))
	cluster.run(10 * time.Second)
	if v := cluster.view(); v.Epoch != 0 {
		t.Fatalf("one of two seeds that may vote has formed %v", v)
	}
	cluster.start(nodeConfig("k3", seeds, nil))
	cluster.until(5*time.Second, "a view formed by both", func() bool { return cluster.complete(2, 2) })
}

// TestAnObserverNeverJoins runs observers along with a chain that lacks a replica. It guards against a node without a disk becoming a
// voter.
func TestAnObserverNeverJoins(t *testing.T) {
	addrs := []string{"k1", "k2", "k3"}
	cluster := newScriptedCluster(t)
	for _, a := range addrs {
		cluster.start(nodeConfig(a, addrs, nil))
	}
	cluster.until(5*time.Second, "the first view", func() bool { return cluster.complete(3, 3) })
	for _, a := range []string{"o1", "o2"} {
		cluster.start(nodeConfig(a, addrs, []string{a}))
	}
	cluster.run(2 * time.Second)
	cluster.nodes["k2"].core = nil
	cluster.until(5*time.Second, "a chain of two", func() bool { return len(cluster.view().Chain) == 2 })
	for range 100 {
		cluster.run(100 * time.Millisecond)
		noObserverInViews(t, cluster)
	}
	id := cluster.submit("o1", evacuating("a"), time.Second)
	cluster.until(time.Second, "a change through an observer", func() bool { return cluster.answered(id) })
	// An observer learns of a new head immediately, not with its next heartbeat.
	cluster.start(nodeConfig("k2", addrs, nil))
	cluster.until(5*time.Second, "three replicas", func() bool { return cluster.complete(3, 3) })
	head, _ := cluster.view().Voter(cluster.view().Head())
	cluster.nodes[head.Addr].core = nil
	id = cluster.submit("o2", replacing(0, "b"), 3*time.Second)
	took := cluster.until(3*time.Second, "a change through an observer after the loss of the head", func() bool { return cluster.answered(id) })
	t.Logf("%s was the head; the change took %v", head.Addr, took)
	if took > 1500*time.Millisecond {
		t.Errorf("an observer takes %v to find the next head", took)
	}
}

// TestLateNodeKnowsObserversOnly starts a node whose seeds are all observers. It guards against the node never learning of the
// members.
func TestLateNodeKnowsObserversOnly(t *testing.T) {
	addrs := []string{"k1", "k2", "k3"}
	observers := []string{"o1", "o2", "o3"}
	cluster := newScriptedCluster(t)
	for _, a := range addrs {
		cluster.start(nodeConfig(a, addrs, nil))
	}
	for _, a := range observers {
		cluster.start(nodeConfig(a, addrs, observers))
	}
	cluster.until(5*time.Second, "the first view", func() bool { return cluster.complete(3, 3) })
	cluster.run(time.Second)
	cluster.nodes["k3"].core = nil
	cfg := nodeConfig("k4", observers, nil)
	cfg.Bootstrap = false
	cluster.start(cfg)
	took := cluster.until(5*time.Second, "the new node to be a replica", func() bool {
		return cluster.complete(3, 3) && slices.Contains(cluster.view().Chain, ID("k4"))
	})
	t.Logf("a replica after %v", took)
}

// TestObserversAreCheap counts the heartbeats that three members and six observers exchange.
func TestObserversAreCheap(t *testing.T) {
	members := []string{"k1", "k2", "k3"}
	observers := []string{"o1", "o2", "o3", "o4", "o5", "o6"}
	seeds := []string{"k1", "o1", "o2"}
	cluster := newScriptedCluster(t)
	for _, a := range slices.Concat(members, observers) {
		cluster.start(nodeConfig(a, seeds, observers))
	}
	cluster.until(6*time.Second, "the first view", func() bool { return cluster.complete(3, 3) })
	cluster.run(3 * time.Second)
	isObserver := func(a string) bool { return slices.Contains(observers, a) }
	count := map[string]int{}
	cluster.filter = func(from, to string, m *replicationpb.Message) bool {
		if h := m.GetHeartbeat(); h != nil {
			count[fmt.Sprint(isObserver(from), isObserver(to))]++
			for _, e := range h.GetEchoes() {
				if id := e.GetId(); isObserver(id) && id != to || h.GetReply() && id != to {
					t.Errorf("a heartbeat from %s to %s has an echo of %s", from, to, id)
				}
			}
		}
		return true
	}
	const seconds = 10
	cluster.run(seconds * time.Second)
	perPair := func(from, to bool, pairs int) float64 {
		return float64(count[fmt.Sprint(from, to)]) / seconds / float64(pairs)
	}
	t.Logf("heartbeats a second and pair: between members %.1f, observer to member %.1f, member to observer %.1f, between observers %.2f",
		perPair(false, false, 6), perPair(true, false, 18), perPair(false, true, 18), perPair(true, true, 30))
	if perPair(true, false, 18) > 2.5 || perPair(false, true, 18) > 2.5 || perPair(true, true, 30) > 0.5 {
		t.Error("observers cost too many heartbeats")
	}
}

// TestAllSeedsAreObservers starts a cluster in which no seed has a disk. The seeds must form a first view of the nodes that have one,
// for any number of such nodes. It guards against a system that never starts because no node may form the first view.
func TestAllSeedsAreObservers(t *testing.T) {
	seeds := []string{"o1", "o2", "o3"}
	for keepers := 1; keepers <= 4; keepers++ {
		cluster := newScriptedCluster(t)
		for _, a := range slices.Concat([]string{"k1", "k2", "k3", "k4"}[:keepers], seeds) {
			cluster.start(nodeConfig(a, seeds, seeds))
		}
		took := cluster.until(8*time.Second, "the first view", func() bool {
			noObserverInViews(t, cluster)
			return cluster.complete(min(keepers, 3), min(keepers, 3))
		})
		t.Logf("%d nodes: complete after %v", keepers, took)
		if keepers < 2 {
			continue
		}
		id := cluster.submit("o2", evacuating("a"), 2*time.Second)
		cluster.until(2*time.Second, "a change through an observer", func() bool { return cluster.answered(id) })
	}
}

// TestSeedsWithoutADiskFormOneView partitions each of the three seeds, all observers, from the others in turn while two groups of
// nodes are running, and restarts one of the seeds. It guards against two different first views.
func TestSeedsWithoutADiskFormOneView(t *testing.T) {
	seeds := []string{"o1", "o2", "o3"}
	for round := range 60 {
		cluster := newScriptedCluster(t)
		for _, a := range slices.Concat([]string{"k1", "k2", "k3", "k4"}, seeds) {
			cluster.start(nodeConfig(a, seeds, seeds))
		}
		off := seeds[round%3]
		partitionStart := time.Duration(round) * 50 * time.Millisecond
		cluster.filter = func(from, to string, _ *replicationpb.Message) bool {
			if cluster.now < partitionStart {
				return true
			}
			return from != off && to != off || from == "k1" || to == "k1"
		}
		cluster.run(partitionStart)
		again := nodeConfig(seeds[(round+1)%3], seeds, seeds)
		again.Bootstrap = false // not the initial bootstrap
		again.Self.ID = "again"
		cluster.start(again)
		cluster.run(6 * time.Second)
		cluster.filter = nil
		cluster.run(4 * time.Second)
		firstViews := map[string]bool{}
		for _, n := range cluster.nodes {
			if v := n.core.acceptor.view; v.Epoch > 0 {
				firstViews[fmt.Sprint(v.Epoch, v.Chain, v.Voters)] = true
			}
		}
		if len(firstViews) > 1 {
			t.Fatalf("round %d: %d views: %v", round, len(firstViews), firstViews)
		}
	}
}
