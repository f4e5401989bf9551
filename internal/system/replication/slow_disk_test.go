package replication

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	firstChangeWrites = 12              // number of sequential writes that the first change waits for; see firstChangeBound
	firstChangeBase   = 3 * time.Second // for everything else
)

// callTTL is how long one call of the operator waits for the chain (operatorapi.chainTimeout).
const callTTL = 700 * time.Millisecond

// firstChangeBound is the time within which a change must be acknowledged after a start of all nodes with empty disks, if each write
// takes the given time. It covers the writes of the first view (a node's identity, promises, acceptances, the view, and each
// replica's activation), those of the change at each replica, and firstChangeBase for everything else. docs/hardening/replication.md
// has the same figures.
func firstChangeBound(write time.Duration) time.Duration {
	return firstChangeBase + firstChangeWrites*write
}

// TestFirstChangeOnSlowDisks checks that nodes with slow disks form their first view and accept the first change within a bound, as
// no configuration change is possible before that. A caller retries every second, as the operator does.
func TestFirstChangeOnSlowDisks(t *testing.T) {
	all := []string{"a", "b", "c"}
	for _, write := range []time.Duration{clusterStep, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, time.Second, 5 * time.Second, 30 * time.Second} {
		for _, slow := range [][]string{all, {"a"}, {"c"}, {"a", "b"}, {"b", "c"}} {
			t.Run(fmt.Sprintf("%v at %v", write, slow), func(t *testing.T) {
				for seed := range uint64(2) {
					took, epochs := playFirstChange(t, all, slow, write, seed)
					t.Logf("seed %d: %v, epoch %d", seed, took, epochs)
					if bound := firstChangeBound(write); took > bound {
						t.Errorf("seed %d: the first change was acknowledged after %v, bound %v", seed, took, bound)
					}
				}
			})
		}
	}
}

// TestFirstChangeOnSlowDisksControl checks that no first view is formed at all if slow disks are not taken into account.
func TestFirstChangeOnSlowDisksControl(t *testing.T) {
	all := []string{"a", "b", "c"}
	for _, write := range []time.Duration{600 * time.Millisecond, 5 * time.Second} {
		cluster := startOnSlowDisks(t, all, all, write, 1, TestingKnobs{FixedTimeouts: true})
		cluster.run(4 * firstChangeBound(write))
		if epoch := cluster.view().Epoch; epoch > 0 {
			t.Errorf("writes of %v: a view of epoch %d was formed", write, epoch)
		}
	}
}

// startOnSlowDisks starts nodes with empty disks, some of which are slow.
func startOnSlowDisks(t *testing.T, nodes, slow []string, write time.Duration, seed uint64, knobs TestingKnobs) *scriptedCluster {
	t.Helper()
	cluster := newScriptedCluster(t)
	cluster.lastCallID = seed * 1000 // start derives the seed of the jitter from it
	cluster.writeTimes = map[string]time.Duration{}
	for _, addr := range slow {
		cluster.writeTimes[addr] = write
	}
	for _, addr := range nodes {
		cluster.start(Config{Self: Member{Addr: addr, Zone: "zone " + addr, Region: "r"}, MachineLosses: 1, Seeds: nodes, Bootstrap: true, knobs: knobs})
	}
	return cluster
}

// playFirstChange starts nodes, some of which have slow disks, and returns when the first change was acknowledged.
func playFirstChange(t *testing.T, nodes, slow []string, write time.Duration, seed uint64) (took time.Duration, epoch uint64) {
	t.Helper()
	cluster := startOnSlowDisks(t, nodes, slow, write, seed, TestingKnobs{})
	var calls []uint64
	acknowledged := func() bool {
		if cluster.now >= time.Duration(len(calls))*time.Second {
			at := nodes[len(calls)%len(nodes)]
			calls = append(calls, cluster.submit(at, replacing(0, "first"), callTTL))
		}
		for _, call := range calls {
			if cluster.answered(call) {
				return true
			}
		}
		return false
	}
	took = cluster.until(4*firstChangeBound(write), "the first change", acknowledged)
	return took, cluster.view().Epoch
}

// TestWaitsFor checks that a node reports what a change waits for: first the first view and a slow disk, finally nothing.
func TestWaitsFor(t *testing.T) {
	all := []string{"a", "b", "c"}
	cluster := startOnSlowDisks(t, all, []string{"a"}, 400*time.Millisecond, 1, TestingKnobs{})
	waitsFor := func(addr string) string { return cluster.nodes[addr].core.WaitsFor() }
	cluster.run(350 * time.Millisecond)
	if got := waitsFor("a"); !strings.Contains(got, "the first view") || !strings.Contains(got, "of 3 seeds") || !strings.Contains(got, "a write takes 3") {
		t.Errorf("at the start: %q", got)
	}
	cluster.until(firstChangeBound(400*time.Millisecond), "the first view", func() bool { return cluster.complete(3, 3) })
	cluster.run(2 * time.Second)
	if got := waitsFor("b"); got != "" {
		t.Errorf("in service: %q", got)
	}
	if got := waitsFor("a"); got != "this node's disk, of which a write takes 400ms" {
		t.Errorf("in service, on a slow disk: %q", got)
	}
	head := cluster.replica(0)
	cluster.nodes[head].paused = true
	other := cluster.replica(1)
	cluster.until(2*time.Second, "the node to report that the head is unreachable", func() bool { return strings.Contains(waitsFor(other), "the head of the chain") })
}

// TestSlownessDelaysNoRepairAfterwards makes all disks slow for some seconds, during which the head is lost. Once the disks are fast
// again, the next view must be formed as soon as on healthy disks: the delays due to slow disks end with the slowness.
func TestSlownessDelaysNoRepairAfterwards(t *testing.T) {
	const (
		repairBound = 2500 * time.Millisecond
		slowFor     = 4 * time.Second
	)
	for _, write := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		for seed := range uint64(8) {
			cluster := newScriptedCluster(t)
			cluster.lastCallID = 100 * seed
			formThreeNodes(cluster, 1, TestingKnobs{})
			cluster.writeTimes = map[string]time.Duration{"a": write, "b": write, "c": write}
			cluster.submit("a", replacing(0, "before"), slowFor)
			cluster.run(200 * time.Millisecond)
			cluster.nodes[cluster.replica(0)].paused = true
			cluster.run(slowFor)
			cluster.writeTimes = nil
			took := cluster.until(10*repairBound, "a view without the head", func() bool {
				view := cluster.view()
				tail, _ := view.Voter(view.Tail())
				return len(view.Chain) == 2 && cluster.nodes[tail.Addr].core.acceptor.durableActiveEpoch == view.Epoch
			})
			if took > repairBound+write { // one write may be in progress
				t.Errorf("writes of %v, seed %d: the next view was formed %v after the disks recovered, bound %v", write, seed, took, repairBound+write)
			}
		}
	}
}

// TestSlowBackoffEndsWithSlowness makes a proposer yield to another one while its disk is slow: it must wait for as long as a
// proposal may take on such a disk, but only while the disk is slow. Without a slow disk, proposals that time out, for example
// because messages are lost, wait only a little longer each time.
func TestSlowBackoffEndsWithSlowness(t *testing.T) {
	const slow, fast = 3 * time.Second, 5 * time.Millisecond
	cluster := threeNodes(t, 1, TestingKnobs{})
	core := cluster.nodes["a"].core
	proposer, writer := core.proposer, core.writer
	writer.lastWriteTime = slow
	proposer.yield()
	core.now += proposalWrites*slow - time.Second
	if proposer.isDue() {
		t.Error("the proposer is due although it has promised to another one, and its disk is slow")
	}
	writer.lastWriteTime = fast
	if !proposer.isDue() {
		t.Error("the proposer still waits after its disk has recovered")
	}
	for timeouts, want := range []time.Duration{proposalTimeout, 2 * proposalTimeout, 4 * proposalTimeout, 4 * proposalTimeout, 4 * proposalTimeout} {
		proposer.timeouts = timeouts
		if got := proposer.timeout(); got != want {
			t.Errorf("after %d timeouts on a fast disk: %v, want %v", timeouts, got, want)
		}
	}
	writer.lastWriteTime = slow
	if got := proposer.timeout(); got != min(proposalWrites*slow<<4, maxProposalTimeout) {
		t.Errorf("after four timeouts on a slow disk: %v", got)
	}
}
