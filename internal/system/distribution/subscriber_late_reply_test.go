package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// lateReply has a follower ask a current keeper that reads the list as empty, hands it the answer after a wait, and gives
// what it holds then.
func lateReply(tb testing.TB, wait time.Duration, knobs TestingKnobs) (u Update, seq uint64) {
	tb.Helper()
	c := newChain()
	h := NewServer(ServerOptions{Source: &fakeSource{fakeChain: c, addresses: []string{"k"}}, Self: "k", Log: quiet()})
	h.markComplete()
	c.add(controlstate.Record{Op: controlstate.OpEvacuate, Zone: "z"})
	if err := h.PutList(1, 1, []pick.Server{{ID: "old"}}, madeAgo(softstate.Age{})); err != nil {
		tb.Fatal(err)
	}
	f := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: quiet(), Knobs: knobs})
	asked := time.Now()
	req := f.buildRequest(nil, false)
	reply, err := h.Follow(tb.Context(), req)
	if err != nil {
		tb.Fatal(err)
	}
	got := f.handleReply(asked.Add(-wait), time.Now(), req, reply)
	if got.current != f.Current().Fresh {
		tb.Errorf("the keeper counts as current: %v, the state as fresh: %v", got.current, f.Current().Fresh)
	}
	return f.Current(), f.control.state.Seq
}

// TestLateReplyProvesNoFreshness: an answer that lay in a buffer for 20 s, or whose reader was stopped, brings records, which
// are numbered, but neither the word that nothing is newer, nor servers. Danger: a proxy that was cut off counts as fresh.
func TestLateReplyProvesNoFreshness(t *testing.T) {
	if u, _ := lateReply(t, 0, TestingKnobs{}); !u.Fresh || u.State.Seq != 1 || len(u.Servers) != 1 {
		t.Errorf("in time: fresh %v, %d, %d servers", u.Fresh, u.State.Seq, len(u.Servers))
	}
	if u, seq := lateReply(t, 20*time.Second, TestingKnobs{}); u.Fresh || seq != 1 || len(u.Servers) != 0 {
		t.Errorf("late: fresh %v, %d, %d servers", u.Fresh, seq, len(u.Servers))
	}
	if u, _ := lateReply(t, 20*time.Second, TestingKnobs{DateByArrival: true}); !u.Fresh {
		t.Error("control: judged by its arrival it is not taken for new either")
	}
}

// TestStartWaitsForFreshReply: a proxy that starts holds what a late answer brought, and serves it once a prompt one has said
// that there is nothing newer.
func TestStartWaitsForFreshReply(t *testing.T) {
	if u, seq := lateReply(t, 20*time.Second, TestingKnobs{}); u.State.Seq != 0 || seq != 1 {
		t.Errorf("serves %d, holds %d", u.State.Seq, seq)
	}
	if u, _ := lateReply(t, 20*time.Second, TestingKnobs{ServeLateState: true}); u.State.Seq != 1 {
		t.Error("control: a late state is not served either")
	}
	f := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: quiet()})
	f.control.state = &controlstate.State{Seq: 7}
	f.handleReply(time.Now(), time.Now(), f.buildRequest(nil, false), &distributionpb.FollowReply{Current: true, Newest: 7})
	if got := f.Current().State.Seq; got != 7 {
		t.Errorf("serves %d after a prompt word", got)
	}
}

// TestWaitAtTheServerIsNoAge: a poll that a keeper held for long is answered with a word of now.
func TestWaitAtTheServerIsNoAge(t *testing.T) {
	f := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: quiet()})
	asked := time.Now().Add(-3 * time.Second)
	f.handleReply(asked, time.Now(), f.buildRequest(nil, false), &distributionpb.FollowReply{Current: true, CheckedMs: 2900})
	if !f.Current().Fresh {
		t.Error("held for 2.9 s, and 100 ms under way: not fresh")
	}
}
