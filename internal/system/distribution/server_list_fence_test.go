package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestHigherFenceWithAnOlderReading: the lease has moved, and the first reading under the new fence was made shortly before the last
// reading under the old one. Servers merge it; the second reading under the new fence has the same contents. A proxy that skipped the
// first one but moved its cursor past it would never learn of its contents.
func TestHigherFenceWithAnOlderReading(t *testing.T) {
	server := newIdleServer()
	server.markComplete()
	subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
	poll := func() {
		req := subscriber.buildRequest(nil, false)
		items, full := server.table.ChangesSince(func() uint64 {
			if req.GetSoft().GetBoot() == server.bootID {
				return req.GetSoft().GetNumber()
			}
			return 0
		}())
		now := time.Now()
		subscriber.handleReply(now, now, req, &distributionpb.FollowReply{Full: full, Complete: true, Current: true, Entries: softstate.EncodeEntries(now, items),
			Soft: &distributionpb.Cursor{Boot: server.bootID, Number: server.table.LastNumber}})
	}
	put := func(fence, version uint64, draining bool, ago time.Duration) {
		t.Helper()
		putList(t, server, fence, version, []pick.Server{{ID: "a", Service: "x", Draining: draining}}, exactAge(ago))
	}
	put(1, 7, false, 0) // shows the state of up to lag_ms earlier
	poll()
	put(2, 1, true, 150*time.Millisecond) // read earlier, but from a later snapshot of the list
	poll()
	for v := uint64(2); v < 5; v++ {
		put(2, v, true, 0)
		poll()
	}
	held, _, _ := server.List()
	if got := subscriber.Current().Servers; len(got) != 1 || got[0].Draining != held[0].Draining {
		t.Errorf("the proxy has servers %+v, the node has %+v", got, held)
	}
}
