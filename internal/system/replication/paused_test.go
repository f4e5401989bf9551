package replication

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// TestPausedVoterWaitsBeforeItPlans pauses the voter that would propose first for 20 s. When it resumes, one message is waiting in
// its sockets, and it has not heard from any other node for 20 s. It guards against the voter suspecting all others and removing them
// from the view.
func TestPausedVoterWaitsBeforeItPlans(t *testing.T) {
	cluster := threeNodes(t, 1, TestingKnobs{})
	n := cluster.nodes["a"]
	n.paused = true
	var waiting []Envelope
	cluster.filter = func(_, to string, m *replicationpb.Message) bool {
		if to == "a" && m.GetHeartbeat() != nil {
			waiting = append(waiting, Envelope{Addr: to, Msg: m})
		}
		return to != "a"
	}
	cluster.run(20 * time.Second)
	n.paused, cluster.filter = false, nil
	cluster.deliver(waiting[len(waiting)-1])
	if grace := n.core.liveness.graceUntil - cluster.clock(n); grace <= 0 {
		t.Errorf("the voter may plan immediately: grace %v", grace)
	}
}
