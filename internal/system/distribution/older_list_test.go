package distribution

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// completeTable returns a node's complete table after it read the list.
func completeTable(tb testing.TB, age time.Duration, version uint64, servers ...pick.Server) *distributionpb.FollowReply {
	tb.Helper()
	server := newIdleServer()
	server.markComplete()
	putList(tb, server, 1, version, servers, exactAge(age))
	items, full := server.table.ChangesSince(0)
	return &distributionpb.FollowReply{Full: full, Complete: true, Current: true, Entries: softstate.EncodeEntries(time.Now(), items),
		Soft: &distributionpb.Cursor{Boot: server.bootID, Number: server.table.LastNumber}}
}

// moveToRejoinedNode makes a subscriber that knows that a server is draining move to a node whose table is 20 s old, and returns its
// servers afterwards.
func moveToRejoinedNode(tb testing.TB, knobs TestingKnobs) []pick.Server {
	tb.Helper()
	subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger(), knobs: knobs})
	subscriber.handleReply(time.Now(), time.Now(), subscriber.buildRequest(nil, false), completeTable(tb, 0, 990, pick.Server{ID: "a", Draining: true}, pick.Server{ID: "new"}))
	subscriber.handleReply(time.Now(), time.Now(), subscriber.buildRequest(nil, false), completeTable(tb, 20*time.Second, 950, pick.Server{ID: "a"}, pick.Server{ID: "gone"}))
	return subscriber.Current().Servers
}

// TestRejoinedNodeBringsNoOldList: a node that was isolated or stopped for 20 s may be current again before the other nodes have sent it
// the present list. The proxy must not send requests to servers that have been draining for 20 s.
func TestRejoinedNodeBringsNoOldList(t *testing.T) {
	got := moveToRejoinedNode(t, TestingKnobs{})
	if len(got) != 2 || got[0].ID != "a" || !got[0].Draining || got[1].ID != "new" {
		t.Errorf("the proxy has servers %+v", got)
	}
	if got := moveToRejoinedNode(t, TestingKnobs{AlwaysReplaceTable: true}); len(got) == 2 && got[0].Draining {
		t.Error("control: the list did not change although each complete table replaces the stored one")
	}
}

// TestNodesThatRestartVersionsAreAccepted: after a restart of all nodes, versions start again, so the younger reading is accepted.
func TestNodesThatRestartVersionsAreAccepted(t *testing.T) {
	subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
	subscriber.handleReply(time.Now(), time.Now(), subscriber.buildRequest(nil, false), completeTable(t, 20*time.Second, 990, pick.Server{ID: "a"}))
	subscriber.handleReply(time.Now(), time.Now(), subscriber.buildRequest(nil, false), completeTable(t, 0, 1, pick.Server{ID: "b"}))
	if got := subscriber.Current().Servers; len(got) != 1 || got[0].ID != "b" {
		t.Errorf("the proxy has servers %+v", got)
	}
}

// TestEarlierReadingOfTheList: of two pollers under one fence, the one that is slow or was paused finishes last. Its earlier reading must
// not bring back servers that are gone, or mark cold ones as warm.
func TestEarlierReadingOfTheList(t *testing.T) {
	server := newIdleServer()
	cold := []pick.Server{{ID: "a", Service: "x", WarmUpMax: 3 * time.Second}}
	putList(t, server, 1, 7, cold, softstate.Age{})
	if err := server.PutList(1, 7, []pick.Server{{ID: "a", Service: "x"}}, boundsOf(softstate.Age{Min: 900 * time.Millisecond, Max: time.Second})); !errors.Is(err, ErrStale) {
		t.Errorf("a reading 900 ms older: %v", err)
	}
	if got, _, _ := server.List(); len(got) != 1 || got[0].WarmUpMax < 2900*time.Millisecond {
		t.Errorf("the server has list %+v", got)
	}
	if err := server.PutList(2, 1, []pick.Server{{ID: "a", Service: "x"}}, boundsOf(softstate.Age{Min: 900 * time.Millisecond, Max: time.Second})); err != nil {
		t.Errorf("under a higher fence: %v", err)
	}
}

// TestMoveToNodeWithOlderList: a proxy that moves to a node whose list is certainly older, even by only a second, keeps its own list
// until that node has received it.
func TestMoveToNodeWithOlderList(t *testing.T) {
	now := time.Now()
	subscriber := NewSubscriber(SubscriberOptions{Log: discardLogger()})
	reply := func(cold time.Duration, version, minAge, maxAge uint64) *distributionpb.FollowReply {
		return &distributionpb.FollowReply{Full: true, Complete: true, Entries: []*distributionpb.Entry{
			{Key: softstate.ListKey, Fence: 1, Version: version, AgeMs: maxAge, LeastAgeMs: &minAge},
			{Key: softstate.ServerPrefix + "a", Fence: 1, Version: version, AgeMs: maxAge, LeastAgeMs: &minAge,
				Value: softstate.EncodeServer(pick.Server{ID: "a", Service: "x", WarmUpMax: cold})}}}
	}
	subscriber.soft.applyEntries(now, softstate.Age{}, reply(3*time.Second, 9, 0, 100))
	subscriber.soft.applyEntries(now, softstate.Age{}, reply(0, 5, 900, 1900))
	if s, _, _ := subscriber.soft.table.Servers(now); s[0].WarmUpMax < 2900*time.Millisecond {
		t.Errorf("the server is cold for another %v after an older list", s[0].WarmUpMax)
	}
	subscriber.soft.applyEntries(now, softstate.Age{}, reply(time.Second, 6, 0, 50))
	if s, _, _ := subscriber.soft.table.Servers(now); s[0].WarmUpMax != time.Second {
		t.Errorf("the server is cold for another %v after a newer list", s[0].WarmUpMax)
	}
}
