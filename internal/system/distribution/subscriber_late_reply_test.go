package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// lateReply makes a subscriber poll a current node that has read a list, delivers the reply after a wait, and returns the subscriber's
// update and record number afterwards.
func lateReply(tb testing.TB, wait time.Duration, knobs TestingKnobs) (update Update, seq uint64) {
	tb.Helper()
	chain := newChain()
	server := NewServer(ServerOptions{Source: &fakeSource{fakeChain: chain, addresses: []string{"k"}}, Self: "k", Log: discardLogger()})
	server.markComplete()
	chain.add(controlstate.Record{Op: controlstate.OpEvacuate, Zone: "z"})
	putList(tb, server, 1, 1, []pick.Server{{ID: "old"}}, softstate.Age{})
	subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger(), knobs: knobs})
	asked := time.Now()
	req := subscriber.buildRequest(nil, false)
	reply, err := server.Follow(tb.Context(), req)
	if err != nil {
		tb.Fatal(err)
	}
	got := subscriber.handleReply(asked.Add(-wait), time.Now(), req, reply)
	if got.current != subscriber.Current().Fresh {
		tb.Errorf("the node is considered current: %v, but the state is fresh: %v", got.current, subscriber.Current().Fresh)
	}
	return subscriber.Current(), subscriber.control.state.Seq
}

// TestLateReplyProvesNoFreshness: a reply that was in a buffer for 20 s, or whose reader was stopped, delivers records, which are
// numbered, but neither proves freshness nor delivers servers. Otherwise a proxy that was isolated would be fresh with an old state.
func TestLateReplyProvesNoFreshness(t *testing.T) {
	if update, _ := lateReply(t, 0, TestingKnobs{}); !update.Fresh || update.State.Seq != 1 || len(update.Servers) != 1 {
		t.Errorf("prompt reply: fresh %v, record %d, %d servers", update.Fresh, update.State.Seq, len(update.Servers))
	}
	if update, seq := lateReply(t, 20*time.Second, TestingKnobs{}); update.Fresh || seq != 1 || len(update.Servers) != 0 {
		t.Errorf("late reply: fresh %v, record %d, %d servers", update.Fresh, seq, len(update.Servers))
	}
	if update, _ := lateReply(t, 20*time.Second, TestingKnobs{DateByArrival: true}); !update.Fresh {
		t.Error("control: dated by its arrival, the late reply does not prove freshness either")
	}
}

// TestStartWaitsForFreshReply: a starting proxy stores the state of a late reply, but serves it only when a prompt reply has confirmed
// that there is nothing newer.
func TestStartWaitsForFreshReply(t *testing.T) {
	if update, seq := lateReply(t, 20*time.Second, TestingKnobs{}); update.State.Seq != 0 || seq != 1 {
		t.Errorf("the proxy serves record %d and has record %d", update.State.Seq, seq)
	}
	if update, _ := lateReply(t, 20*time.Second, TestingKnobs{ServeLateState: true}); update.State.Seq != 1 {
		t.Error("control: the state of a late reply is not served either")
	}
	subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
	subscriber.control.state = &controlstate.State{Seq: 7}
	subscriber.handleReply(time.Now(), time.Now(), subscriber.buildRequest(nil, false), &distributionpb.FollowReply{Current: true, Newest: 7})
	if got := subscriber.Current().State.Seq; got != 7 {
		t.Errorf("the proxy serves record %d after a prompt reply", got)
	}
}

// TestWaitAtTheServerIsNoAge: the reply to a poll that waited at a node for long still proves freshness.
func TestWaitAtTheServerIsNoAge(t *testing.T) {
	subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
	asked := time.Now().Add(-3 * time.Second)
	subscriber.handleReply(asked, time.Now(), subscriber.buildRequest(nil, false), &distributionpb.FollowReply{Current: true, CheckedMs: 2900})
	if !subscriber.Current().Fresh {
		t.Error("a reply that waited for 2.9 s at the node and 100 ms in transit did not prove freshness")
	}
}
