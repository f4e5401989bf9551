package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestDeltaOfAnotherTableBringsNoList: while a proxy awaits a node's reply, it applies another node's complete table, in which a server
// is not yet cold. The first node's reply then has its newest list entry, but not the server, which the proxy had received before. If the
// list entry were stored, the server would look warm as of the newest reading.
func TestDeltaOfAnotherTableBringsNoList(t *testing.T) {
	first, second := newIdleServer(), newIdleServer()
	first.markComplete()
	second.markComplete()
	put := func(server *Server, version uint64, age softstate.Age, cold time.Duration) {
		t.Helper()
		putList(t, server, 1, version, []pick.Server{{ID: "s", WarmUpMax: cold}}, age)
	}
	subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
	put(first, 5, exactAge(300*time.Millisecond), 3*time.Second)
	pollManually(subscriber, first)
	asked := time.Now()
	req := subscriber.buildRequest(nil, false)
	put(second, 4, softstate.Age{Max: time.Second}, 0) // it is unknown which of the two readings is later
	pollManually(subscriber, second)
	put(first, 6, exactAge(0), 2700*time.Millisecond)
	first.mu.Lock()
	items, _ := first.table.ChangesSince(req.GetSoft().GetNumber())
	late := &distributionpb.FollowReply{Current: true, Entries: softstate.EncodeEntries(time.Now(), items), Soft: &distributionpb.Cursor{Boot: first.bootID, Number: first.table.LastNumber}}
	first.mu.Unlock()
	subscriber.handleReply(asked, time.Now(), req, late)
	update := subscriber.Current()
	if len(update.Servers) != 1 {
		t.Fatalf("the proxy has servers %+v", update.Servers)
	}
	if warm := update.Servers[0].WarmUpMax == 0; warm && update.ListAge < 500*time.Millisecond {
		t.Errorf("the server is warm by a list that is %v old", update.ListAge)
	}
}
