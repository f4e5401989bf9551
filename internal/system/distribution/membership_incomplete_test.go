package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// TestUpdateReportsIncompleteMembership: an update is marked as having incomplete membership until a complete table has arrived, and as
// stale if the table marks this proxy down.
func TestUpdateReportsIncompleteMembership(t *testing.T) {
	now := time.Now()
	subscriber := NewSubscriber(SubscriberOptions{Log: discardLogger(), Self: softstate.Member{Node: "p", Incarnation: 4}})
	if update := subscriber.currentUpdate(now); !update.MembershipIncomplete || !update.Stale {
		t.Errorf("unexpected update at the start: %+v", update)
	}
	subscriber.soft.applyEntries(now, softstate.Age{}, &distributionpb.FollowReply{Full: true})
	if update := subscriber.currentUpdate(now); !update.MembershipIncomplete {
		t.Error("membership is complete though the node has just started")
	}
	if !subscriber.soft.applyEntries(now, softstate.Age{}, &distributionpb.FollowReply{Full: true, Complete: true}) {
		t.Error("the completed membership did not cause an update")
	}
	subscriber.freshness.lastCurrentContact = now
	if update := subscriber.currentUpdate(now); update.MembershipIncomplete || update.Stale {
		t.Errorf("the proxy is fresh and has all members, but the update is %+v", update)
	}
	down := subscriber.announced.self
	down.Down = true
	subscriber.soft.applyEntries(now, softstate.Age{}, &distributionpb.FollowReply{Entries: []*distributionpb.Entry{
		{Key: softstate.MemberPrefix + "p", Fence: 1, Version: 2, Value: down.Encode()}}})
	if update := subscriber.currentUpdate(now); !update.Stale {
		t.Error("the proxy is not stale though it is marked down")
	}
}
