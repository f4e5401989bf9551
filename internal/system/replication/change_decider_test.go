package replication

import (
	"testing"
	"time"
)

// TestOverloadedHeadAnswersAtOnce checks that a head that remembers the maximum number of changes answers Unknown immediately.
// Without an answer, callers would wait until their deadlines.
func TestOverloadedHeadAnswersAtOnce(t *testing.T) {
	cluster := threeNodes(t, 1, TestingKnobs{})
	head, sender := cluster.replica(0), cluster.replica(2)
	changes := cluster.nodes[head].core.decider.changes
	for id := range uint64(maxChanges) {
		changes[changeKey{from: "filler", callNumber: id}] = &pendingChange{done: true, outcome: Answered, closedAt: cluster.now + time.Hour}
	}
	id := cluster.submit(sender, evacuating("one too many"), 3*time.Second)
	cluster.until(time.Second, "an answer", func() bool { return cluster.done[id].ID != 0 })
	if got := cluster.done[id].Outcome; got != Unknown {
		t.Errorf("the outcome is %d, want Unknown", got)
	}
	if len(changes) > maxChanges {
		t.Errorf("%d changes are remembered, want at most %d", len(changes), maxChanges)
	}
}
