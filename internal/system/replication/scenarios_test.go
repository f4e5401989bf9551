package replication

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// scenarios each play one specific sequence of events that random faults rarely produce. They return which invariant was violated, or
// an empty string. Without the protection, an invariant must be violated.
var scenarios = []struct {
	name  string
	knobs TestingKnobs
	play  func(*testing.T, TestingKnobs) string
}{
	{"an accepted view", TestingKnobs{ConfirmAfterAccept: true}, playAcceptedView},
	{"a change forwarded in an earlier epoch", TestingKnobs{AcceptForwardsOfEarlierEpochs: true}, playForwardOfAnEarlierEpoch},
	{"a change that was under way for longer than its caller waits", TestingKnobs{AcceptLateForwards: true}, playLateForward},
	{"observers that are each other's seeds restart together", TestingKnobs{ForgetLostPeers: true}, playRestartedSeeds},
	{"all processes end before the first view", TestingKnobs{ForgetFirstStart: true}, playInterruptedFirstStart},
}

// scenarioKnobs disable the protections whose absence random faults rarely reveal, so that a scenario must.
var scenarioKnobs = TestingKnobs{ConfirmAfterAccept: true, AcceptForwardsOfEarlierEpochs: true, AcceptLateForwards: true, ForgetLostPeers: true,
	ForgetFirstStart: true}

func TestScenariosNeedTheirProtections(t *testing.T) {
	var covered TestingKnobs
	for _, s := range scenarios {
		covered = covered.with(s.knobs)
		t.Run(s.name, func(t *testing.T) {
			if broken := s.play(t, TestingKnobs{}); broken != "" {
				t.Error(broken)
			}
			if broken := s.play(t, s.knobs); broken == "" {
				t.Error("no invariant is violated without the protection: the scenario proves nothing")
			} else {
				t.Log("without the protection: " + broken)
			}
		})
	}
	if covered != scenarioKnobs {
		t.Errorf("the scenarios disable %+v, want %+v", covered, scenarioKnobs)
	}
}

// threeNodes starts nodes a, b and c in separate zones and waits until all are replicas.
func threeNodes(t *testing.T, machines int, h TestingKnobs) *scriptedCluster {
	return formThreeNodes(newScriptedCluster(t), machines, h)
}

func formThreeNodes(cluster *scriptedCluster, machines int, h TestingKnobs) *scriptedCluster {
	for _, a := range []string{"a", "b", "c"} {
		cluster.start(Config{
			Self: Member{Addr: a, Zone: "zone " + a, Region: "r"}, MachineLosses: machines, Seeds: []string{"a", "b", "c"}, Bootstrap: true, knobs: h,
		})
	}
	cluster.until(5*time.Second, "the first view", func() bool { return cluster.complete(3, 3) })
	cluster.run(time.Second)
	return cluster
}

func (cluster *scriptedCluster) replica(i int) string {
	v := cluster.view()
	m, _ := v.Voter(v.Chain[i])
	return m.Addr
}

// isBetween reports whether a message is from one of the two addresses to the other.
func isBetween(from, to, a, b string) bool { return from == a && to == b || from == b && to == a }

// playAcceptedView partitions the tail from the head. The voter between them accepts the next view but does not learn that it is
// chosen; it is not a replica of that view, since it is about to leave. Then the new chain acknowledges a change while the tail and
// the voter are a majority of the previous view. The danger is that they together answer a read with stale state.
func playAcceptedView(t *testing.T, h TestingKnobs) string {
	cluster := threeNodes(t, 0, h)
	voter := cluster.replica(1)
	n := cluster.nodes[voter]
	n.core.Leave(cluster.clock(n))
	cluster.until(3*time.Second, "a chain without the leaver", func() bool { return cluster.complete(2, 3) })
	head, tail := cluster.replica(0), cluster.replica(1)
	before := cluster.view().Epoch
	suppressed := false
	cluster.filter = func(from, to string, m *replicationpb.Message) bool {
		if isBetween(from, to, head, tail) {
			return false
		}
		if from == head && to == voter && cluster.nodes[head].core.acceptor.view.Epoch > before || m.GetChosen() != nil && to == voter {
			suppressed = true
			return false // no information about the new view
		}
		return true
	}
	cluster.nodes[tail].core.liveness.graceUntil, cluster.nodes[voter].core.liveness.graceUntil = time.Hour, time.Hour // only the head proposes
	cluster.until(5*time.Second, "the head to continue alone", func() bool {
		return cluster.nodes[head].core.acceptor.view.Epoch > before && cluster.nodes[head].core.chain.isTail()
	})
	id := cluster.submit(head, replacing(0, "newer"), time.Second)
	cluster.until(time.Second, "a change in the new view", func() bool { return cluster.answered(id) })
	if !suppressed || cluster.nodes[voter].core.acceptor.view.Epoch != before || cluster.nodes[tail].core.acceptor.view.Epoch != before {
		t.Fatalf("the scenario did not occur: messages suppressed %v, views %v and %v", suppressed, cluster.nodes[voter].core.acceptor.view, cluster.nodes[tail].core.acceptor.view)
	}
	read, current := cluster.read(tail, 2*time.Second), false
	cluster.run(time.Second) // for that long, what the voter stated before it accepted may count as current
	for range 300 {
		cluster.step()
		current = current || cluster.nodes[tail].core.Current(cluster.clock(cluster.nodes[tail]))
	}
	switch stale := cluster.answered(read) && cluster.done[read].State.(*toy).rev == 0; {
	case stale && current:
		return "a read returned stale state, and the stale state counts as current"
	case stale:
		return "a read returned stale state"
	case current:
		return "stale state counts as current"
	}
	return ""
}

// playForwardOfAnEarlierEpoch delays a change on its way to the head. Its caller gets an Unknown outcome when another node becomes
// the head, a second change is acknowledged, the previous head leads again, and then the first change arrives, still before its
// deadline. The danger is that it undoes the second one.
func playForwardOfAnEarlierEpoch(t *testing.T, h TestingKnobs) string {
	cluster := threeNodes(t, 0, h)
	sender := cluster.replica(2) // still votes, but is no longer a replica, so that the two others lead in turn
	n := cluster.nodes[sender]
	n.core.Leave(cluster.clock(n))
	cluster.until(3*time.Second, "a chain of two", func() bool { return cluster.complete(2, 3) })
	head, other := cluster.replica(0), cluster.replica(1)
	held := cluster.captureForwards(sender, head)
	first := cluster.submit(sender, evacuating("first"), 20*time.Second)
	cluster.run(100 * time.Millisecond)
	off := head
	cluster.filter = func(from, to string, _ *replicationpb.Message) bool { return from != off && to != off }
	leads := func(addr string) bool { c := cluster.nodes[addr].core; return c.chain.isHead() && c.chain.isTail() }
	cluster.until(3*time.Second, "the other node to lead", func() bool { return leads(other) })
	cluster.until(time.Second, "the end of the first change", func() bool { return cluster.done[first].ID != 0 })
	if got := cluster.done[first].Outcome; got != Unknown || len(*held) == 0 {
		t.Fatalf("the first change ended with outcome %d, %d messages are delayed", got, len(*held))
	}
	off = ""
	second := cluster.submit(other, evacuating("second"), 3*time.Second)
	cluster.until(3*time.Second, "the second change", func() bool { return cluster.answered(second) })
	cluster.until(5*time.Second, "a chain of two", func() bool { return cluster.complete(2, 3) })
	off = other
	cluster.until(5*time.Second, "the first head to lead again", func() bool { return leads(head) })
	for _, e := range *held {
		cluster.deliver(e)
	}
	cluster.run(200 * time.Millisecond)
	if note := cluster.nodes[head].core.chain.state.(*toy).lastZone; note != "second" {
		return "the change " + note + " undid a later one"
	}
	return ""
}
