package replication

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// countHolders counts the nodes other than addr whose disk holds the records up to seq.
func (cluster *scriptedCluster) countHolders(seq uint64, addr string) int {
	n := 0
	for a, x := range cluster.nodes {
		end := x.disk.p.snap.Seq
		if k := len(x.disk.p.entries); k > 0 {
			end = x.disk.p.entries[k-1].Seq
		}
		if a != addr && end >= seq {
			n++
		}
	}
	return n
}

func (cluster *scriptedCluster) leave(addr string) {
	n := cluster.nodes[addr]
	n.core.Leave(cluster.clock(n))
	cluster.processOutputs(addr)
}

// submitMany submits count changes through addr, and waits until each is acknowledged.
func (cluster *scriptedCluster) submitMany(addr string, count int) {
	cluster.t.Helper()
	for range count {
		cluster.lastCallID++
		id := cluster.submit(addr, evacuating(fmt.Sprint("zone ", cluster.lastCallID)), 2*time.Second)
		cluster.until(3*time.Second, "a change", func() bool { return cluster.answered(id) })
	}
}

// TestDrainingNodeWaitsForEnoughReplicas drains a replica while another is down. It guards against the replica leaving while the
// acknowledged records are on a single other disk, although a node may be lost at any time.
func TestDrainingNodeWaitsForEnoughReplicas(t *testing.T) {
	for index, name := range []string{"head", "tail"} {
		t.Run(name, func(t *testing.T) { playLeaveWhileAnotherIsAway(t, index) })
	}
}

func playLeaveWhileAnotherIsAway(t *testing.T, index int) {
	t.Helper()
	cluster := threeNodes(t, 1, TestingKnobs{})
	away := cluster.nodes["c"]
	away.core = nil
	cluster.until(3*time.Second, "a chain of two", func() bool { return len(cluster.view().Chain) == 2 })
	cluster.run(time.Second)
	leaver := cluster.replica(index)
	cluster.submitMany("b", 40)
	acked := cluster.nodes["b"].core.chain.commitIndex
	hasLeft := func(failure string) bool {
		left := cluster.nodes[leaver].core.Departed()
		if left && cluster.countHolders(acked, leaver) < 2 {
			t.Fatal(failure)
		}
		return left
	}
	cluster.leave(leaver)
	for range 1000 {
		cluster.step()
		hasLeft("the node has left, but only one other disk holds the acknowledged records")
	}
	if cluster.nodes[leaver].core.Departed() {
		t.Fatal("the node has left although no other node could replace it")
	}
	// The node that returns receives messages of the others, but takes long to catch up.
	cluster.filter = func(_, to string, m *replicationpb.Message) bool {
		return to != "c" || m.GetAppend() == nil && m.GetInstall() == nil
	}
	cluster.start(away.cfg)
	for range 600 {
		cluster.step()
		hasLeft("the node has left in favor of one that has not caught up yet")
	}
	cluster.filter = nil
	took := cluster.until(5*time.Second, "the node to leave", func() bool {
		return hasLeft("the node has left, but only one other disk holds the acknowledged records")
	})
	t.Logf("the node left %v after the other had caught up", took)
}

// TestDrainingNodeHandsOverOnlyReplica drains the only replica while another node is available. It guards against a handover that
// never completes.
func TestDrainingNodeHandsOverOnlyReplica(t *testing.T) {
	cluster := threeNodes(t, 0, TestingKnobs{})
	cluster.nodes["b"].core, cluster.nodes["c"].core = nil, nil
	cluster.run(3 * time.Second)
	cluster.start(cluster.nodes["b"].cfg)
	cluster.until(5*time.Second, "a chain", func() bool { return len(cluster.view().Chain) > 0 })
	cluster.run(2 * time.Second)
	head := cluster.replica(0)
	cluster.submitMany(head, 3)
	cluster.leave(head)
	cluster.until(3*time.Second, "the node to leave", func() bool { return cluster.nodes[head].core.Departed() })
	if n := cluster.countHolders(3, head); n < 1 {
		t.Fatalf("%d other nodes hold the changes", n)
	}
}

// TestDrainingNodeLeadsWhenNobodyElseCan loses the only other copy while a replica waits to leave. It guards against a deadlock: the
// changes are only on the draining node's disk, no other node may lead, and the draining node no longer does.
func TestDrainingNodeLeadsWhenNobodyElseCan(t *testing.T) {
	cluster := threeNodes(t, 1, TestingKnobs{})
	cluster.nodes["c"].core = nil
	cluster.until(3*time.Second, "a chain of two", func() bool { return len(cluster.view().Chain) == 2 })
	cluster.run(time.Second)
	cluster.submitMany("b", 5)
	cluster.leave("a")
	cluster.run(100 * time.Millisecond)
	cluster.nodes["b"].core = nil
	cluster.nodes["b"].disk = newMemDisk()
	cluster.start(cluster.nodes["c"].cfg)
	cluster.run(2 * time.Second)
	cfg := cluster.nodes["b"].cfg
	cfg.Bootstrap, cfg.Self.ID = false, "b again"
	cluster.start(cfg)
	cluster.until(8*time.Second, "the node to leave", func() bool { return cluster.nodes["a"].core.Departed() })
	if n := cluster.countHolders(5, "a"); n < 2 {
		t.Fatalf("%d other nodes hold the changes", n)
	}
}
