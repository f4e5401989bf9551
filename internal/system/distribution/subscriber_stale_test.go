package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestBehindIsNotStale: a proxy that is in contact with a current node, but has not yet received all of the control state (a large
// configuration over a slow link), is not considered lost by others.
func TestBehindIsNotStale(t *testing.T) {
	subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
	now := time.Now()
	reply := completeTable(t, 0, 1, pick.Server{ID: "a"})
	reply.Newest = 5
	subscriber.handleReply(now, now, subscriber.buildRequest(nil, false), reply)
	if update := subscriber.Current(); update.Stale {
		t.Errorf("stale, though a current node has just replied: %+v", update)
	}
}
