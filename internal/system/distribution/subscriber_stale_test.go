package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestBehindIsNotStale: a proxy that has contact to a current node, but does not yet have all of the control state (a large configuration on
// a thin link), has not been given up by anybody.
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
