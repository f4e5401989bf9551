package replication

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// playUnsealedEpoch forms a chain of a and b in which b, whose disk is slow, is not active yet. The records that a has sent to it are
// in flight. No node receives messages from a any more, and c, which was active in the previous epoch, is to lead. While the nodes
// agree on that, the records in flight reach b. It returns which acknowledged changes c lacks, or an empty string if there are none.
func playUnsealedEpoch(t *testing.T, h TestingKnobs) string {
	cluster := newScriptedCluster(t)
	for _, a := range []string{"a", "b", "c"} {
		cluster.start(Config{Self: Member{Addr: a, Zone: a, Region: "r"}, Seeds: []string{"a", "b", "c"}, Bootstrap: true, knobs: h})
	}
	cluster.until(5*time.Second, "the first view", func() bool { return cluster.complete(3, 3) })
	cluster.run(time.Second)
	if cluster.replica(0) != "a" || cluster.replica(1) != "b" {
		t.Fatalf("the chain is %v", cluster.view())
	}
	var underWay, accepts []Envelope
	lost := func(from, to string) bool { return from == "c" || to == "c" }
	cluster.filter = func(from, to string, m *replicationpb.Message) bool {
		if lost(from, to) {
			return false
		}
		if from == "c" && m.GetAccept() != nil {
			accepts = append(accepts, Envelope{Addr: to, Msg: m})
			return false
		}
		if to == "b" && m.GetAppend().GetEpoch() > 1 {
			underWay = append(underWay, Envelope{Addr: to, Msg: m})
			return false
		}
		return true
	}
	b := cluster.nodes["b"].core
	cluster.until(3*time.Second, "a chain of a and b", func() bool { return b.acceptor.view.Epoch == 2 && cluster.nodes["a"].core.chain.isHead() })
	change := cluster.submit("a", evacuating("acknowledged"), 20*time.Second)
	cluster.run(300 * time.Millisecond)
	lost = func(from, _ string) bool { return from == "a" }
	b.writer.unhealthy, b.writer.unhealthyUntil = true, time.Hour
	cluster.until(5*time.Second, "a proposal of another view", func() bool { return len(accepts) > 0 })
	for _, e := range underWay {
		cluster.deliver(e)
	}
	cluster.run(100 * time.Millisecond)
	for _, e := range accepts {
		cluster.deliver(e)
	}
	cluster.until(5*time.Second, "c to lead", func() bool { return cluster.nodes["c"].core.chain.isHead() })
	cluster.run(time.Second)
	if cluster.answered(change) && cluster.nodes["c"].core.chain.log.end() == 0 {
		return "a change was acknowledged in an epoch that was presumed to have acknowledged nothing, and the next head lacks it"
	}
	return ""
}

// TestEpochsAreSealedBeforeTheyCountAsEmpty guards against a replica that was not active in an epoch according to its last heartbeat,
// but becomes active a moment later, and acknowledges records that the next head does not hold.
func TestEpochsAreSealedBeforeTheyCountAsEmpty(t *testing.T) {
	if broken := playUnsealedEpoch(t, TestingKnobs{}); broken != "" {
		t.Error(broken)
	}
	if broken := playUnsealedEpoch(t, TestingKnobs{PresumeUnacknowledged: true}); broken == "" {
		t.Error("no invariant is violated without the protection: the scenario proves nothing")
	}
}
