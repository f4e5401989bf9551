package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// TestListUpdateNotifiesOwner: the owner is notified of a list reading that changes nothing only while NotifyListUpdates is set.
func TestListUpdateNotifiesOwner(t *testing.T) {
	subscriber := NewSubscriber(SubscriberOptions{Log: discardLogger()})
	read := func(version uint64) bool {
		return subscriber.soft.applyEntries(time.Now(), softstate.Age{}, &distributionpb.FollowReply{Entries: []*distributionpb.Entry{{Key: softstate.ListKey, Fence: 1, Version: version}}})
	}
	if read(1) {
		t.Error("the owner was notified though nothing changed")
	}
	subscriber.NotifyListUpdates(true)
	if !read(2) {
		t.Error("the owner was not notified though it awaits list updates")
	}
	subscriber.NotifyListUpdates(false)
	if read(3) {
		t.Error("the owner was notified though it no longer awaits list updates")
	}
}
