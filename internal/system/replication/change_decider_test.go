package replication

import (
	"testing"
	"time"
)

// TestOverloadedHeadAnswersAtOnce: a head that remembers as many changes as it may tells so. Danger: silence, for which callers wait
// until their deadlines.
func TestOverloadedHeadAnswersAtOnce(t *testing.T) {
	cl := threeNodes(t, 1, TestingKnobs{})
	head, sender := cl.replica(0), cl.replica(2)
	changes := cl.nodes[head].core.decider.changes
	for id := range uint64(maxChanges) {
		changes[changeKey{from: "filler", callNumber: id}] = &pendingChange{done: true, outcome: Answered, closedAt: cl.now + time.Hour}
	}
	id := cl.submit(sender, evacuating("one too many"), 3*time.Second)
	cl.until(time.Second, "an answer", func() bool { return cl.done[id].ID != 0 })
	if got := cl.done[id].Outcome; got != Unknown {
		t.Errorf("the outcome is %d, not Unknown", got)
	}
	if len(changes) > maxChanges {
		t.Errorf("%d changes are remembered, %d at most", len(changes), maxChanges)
	}
}
