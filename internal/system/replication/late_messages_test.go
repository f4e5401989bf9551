package replication

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// playLateForward delays a change on its way to the head by 20 s, while nothing else happens to the nodes. Its caller has long
// received an Unknown outcome, and a later change was acknowledged. The danger is that the delayed change undoes the later one.
func playLateForward(t *testing.T, h TestingKnobs) string {
	cluster := threeNodes(t, 1, h)
	head, sender := cluster.replica(0), cluster.replica(2)
	held := cluster.captureForwards(sender, head)
	first := cluster.submit(sender, evacuating("first"), 4*time.Second)
	cluster.until(5*time.Second, "the end of the first change", func() bool { return cluster.done[first].ID != 0 })
	if got := cluster.done[first].Outcome; got != Unknown || len(*held) == 0 {
		t.Fatalf("the first change ended with outcome %d, %d messages are delayed", got, len(*held))
	}
	cluster.filter = nil
	second := cluster.submit(head, evacuating("second"), 3*time.Second)
	cluster.until(3*time.Second, "the second change", func() bool { return cluster.answered(second) })
	epoch := cluster.view().Epoch
	cluster.run(20 * time.Second)
	cluster.deliver((*held)[0])
	cluster.run(200 * time.Millisecond)
	if cluster.view().Epoch != epoch {
		t.Fatal("the view has changed: the scenario proves nothing")
	}
	if note := cluster.nodes[head].core.chain.state.(*toy).lastZone; note != "second" {
		return "the change " + note + " undid a later one"
	}
	return ""
}

// TestForwardedChangeHasDeadline checks that a change that arrives before its deadline is accepted, even if it was in flight for
// long.
func TestForwardedChangeHasDeadline(t *testing.T) {
	cluster := threeNodes(t, 1, TestingKnobs{})
	head, sender := cluster.replica(0), cluster.replica(2)
	slow := true
	var held []Envelope
	cluster.filter = func(from, to string, m *replicationpb.Message) bool {
		if slow && from == sender && to == head && m.GetForward() != nil {
			held = append(held, Envelope{Addr: to, Msg: m})
			return false
		}
		return true
	}
	id := cluster.submit(sender, evacuating("late"), 4*time.Second)
	cluster.run(3500 * time.Millisecond)
	slow = false
	cluster.deliver(held[0])
	cluster.until(500*time.Millisecond, "the change that was in flight for 3.5 of its 4 s", func() bool { return cluster.answered(id) })
}

// TestCatchUpOfFormerIncarnationProvesNothing delivers to a node outside the chain, right after its restart, the appends that it
// received before the restart. It guards against mistaking the answer to a request of a previous incarnation for a current one, and
// thereby a stale state for the newest.
func TestCatchUpOfFormerIncarnationProvesNothing(t *testing.T) {
	cluster := threeNodes(t, 1, TestingKnobs{})
	spare := Config{Self: Member{Addr: "d", Zone: "zone d", Region: "r"}, MachineLosses: 1, Seeds: []string{"a", "b", "c"}}
	cluster.start(spare)
	var old []Envelope
	cluster.filter = func(_, to string, m *replicationpb.Message) bool {
		if to == "d" && m.GetAppend() != nil {
			old = append(old, Envelope{Addr: to, Msg: m})
		}
		return true
	}
	cluster.run(3 * time.Second)
	if len(old) == 0 {
		t.Fatal("the spare received no appends")
	}
	cluster.nodes["d"].core = nil
	fresh := false
	cluster.filter = func(_, to string, m *replicationpb.Message) bool {
		return fresh || to != "d" || m.GetAppend() == nil
	}
	id := cluster.submit("a", evacuating("newer"), time.Second)
	cluster.until(time.Second, "a change", func() bool { return cluster.answered(id) })
	cluster.run(2 * time.Second)
	cluster.start(spare)
	for range 3 * int(time.Second/clusterStep) {
		cluster.step()
		for _, e := range old {
			cluster.deliver(e)
		}
		if n := cluster.nodes["d"]; n.core.Current(cluster.clock(n)) {
			t.Fatalf("%v after its start the node is current with %d of 1 records", cluster.clock(n), n.core.chain.commitIndex)
		}
	}
	fresh = true
	cluster.until(2*time.Second, "the spare to be current once it receives appends", func() bool {
		n := cluster.nodes["d"]
		return n.core.Current(cluster.clock(n)) && n.core.chain.commitIndex == 1
	})
}

// TestLateDuplicateIsRefused delivers a change a second time, 20 s after it was accepted, when its key has been forgotten. It guards
// against accepting it twice.
func TestLateDuplicateIsRefused(t *testing.T) {
	play := func(h TestingKnobs) uint64 {
		cluster := newScriptedCluster(t)
		cluster.machine = blobMachine{} // accepts every change
		formThreeNodes(cluster, 1, h)
		head, sender := cluster.replica(0), cluster.replica(2)
		var double Envelope
		cluster.filter = func(from, to string, m *replicationpb.Message) bool {
			if from == sender && to == head && m.GetForward() != nil {
				double = Envelope{Addr: to, Msg: m}
			}
			return true
		}
		id := cluster.submit(sender, evacuating("once"), 4*time.Second)
		cluster.until(time.Second, "a change", func() bool { return cluster.answered(id) })
		cluster.run(20 * time.Second)
		cluster.deliver(double)
		cluster.run(time.Second)
		return cluster.nodes[head].core.chain.commitIndex
	}
	if n := play(TestingKnobs{}); n != 1 {
		t.Errorf("%d records are committed, want 1", n)
	}
	if n := play(TestingKnobs{AcceptLateForwards: true}); n != 2 {
		t.Errorf("without the deadline check %d records are committed, want 2: the scenario proves nothing", n)
	}
}
