package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// pollManually makes a subscriber handle the reply that a server would send it now.
func pollManually(subscriber *Subscriber, server *Server) {
	req := subscriber.buildRequest(nil, false)
	server.mu.Lock()
	since := uint64(0)
	if req.GetSoft().GetBoot() == server.bootID {
		since = req.GetSoft().GetNumber()
	}
	items, full := server.table.ChangesSince(since)
	reply := &distributionpb.FollowReply{Full: full, Complete: server.tableComplete, Current: true, Entries: softstate.EncodeEntries(time.Now(), items),
		Soft: &distributionpb.Cursor{Boot: server.bootID, Number: server.table.LastNumber}}
	server.mu.Unlock()
	subscriber.handleReply(time.Now(), time.Now(), req, reply)
}

// TestSkippedListIsSentAgain: a proxy moves to a node whose newest reading came by a slow share, so that its age is between 0 and 2.6 s.
// The reading is newer than the stored one, but looks older by more than the tolerance, so the proxy skips it. The node's next readings
// change none of its entries. Without a resync, the proxy would never learn the contents of the skipped reading (a server drains, or is
// cold).
func TestSkippedListIsSentAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		serverA, serverB := newIdleServer(), newIdleServer()
		serverA.markComplete()
		serverB.markComplete()
		subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
		put := func(server *Server, version uint64, age softstate.Age, s pick.Server) {
			t.Helper()
			putList(t, server, 1, version, []pick.Server{s}, age)
		}
		put(serverA, 10, softstate.Age{}, pick.Server{ID: "x"})
		pollManually(subscriber, serverA)
		time.Sleep(200 * time.Millisecond)
		put(serverB, 11, softstate.Age{Max: 2600 * time.Millisecond}, pick.Server{ID: "x", Draining: true})
		pollManually(subscriber, serverB)
		for version := range uint64(20) {
			time.Sleep(500 * time.Millisecond)
			put(serverB, 12+version, softstate.Age{}, pick.Server{ID: "x", Draining: true})
			pollManually(subscriber, serverB)
		}
		update := subscriber.Current()
		if len(update.Servers) != 1 || !update.Servers[0].Draining {
			t.Errorf("10 s after the node's list said that x drains: %+v, with a list that is %v old", update.Servers, update.ListAge)
		}
	})
}

// TestNewerReadingOfLowerVersionIsApplied: a proxy has version 100 of the list, the last reading of the lease holder. It moves to a node
// that has not received the last 2.4 s of the holder's readings, and keeps its own list. That node takes over, and reads the list under
// the same fence as version 97; then the chain is repaired, and it reads under the next fence. The entry of the first reading has a lower
// version than the proxy's, and without a new write under the next fence, which the node would skip as it has the entry, the proxy would
// never apply it.
func TestNewerReadingOfLowerVersionIsApplied(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		serverA, serverB := newIdleServer(), newIdleServer()
		serverA.markComplete()
		serverB.markComplete()
		subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
		put := func(server *Server, fence, version uint64, s pick.Server) {
			t.Helper()
			putList(t, server, fence, version, []pick.Server{s}, softstate.Age{Max: 20 * time.Millisecond})
		}
		put(serverB, 1, 95, pick.Server{ID: "x"})
		time.Sleep(2400 * time.Millisecond)
		put(serverA, 1, 100, pick.Server{ID: "x", WarmUpMax: 3 * time.Second}) // it has become cold again
		pollManually(subscriber, serverA)
		time.Sleep(100 * time.Millisecond)
		pollManually(subscriber, serverB) // an older list, which is not applied
		time.Sleep(400 * time.Millisecond)
		put(serverB, 1, 96, pick.Server{ID: "x", Draining: true})
		pollManually(subscriber, serverB)
		for version := range uint64(20) {
			time.Sleep(500 * time.Millisecond)
			put(serverB, 2, 1+version, pick.Server{ID: "x", Draining: true})
			pollManually(subscriber, serverB)
		}
		update := subscriber.Current()
		if len(update.Servers) != 1 || !update.Servers[0].Draining {
			t.Errorf("10 s after the node's list said that x drains: %+v, with a list that is %v old", update.Servers, update.ListAge)
		}
	})
}

// TestDelayedReadingEndsNoWarmUp: a poller is paused for 2.3 s while the platform's reply is in its socket buffer. Meanwhile another
// poller takes over under the same fence, and reads that a server has become cold. The ages of the two readings do not show which was
// made later. The delayed reading must not mark the server as warm, nor delete servers that have been listed since.
func TestDelayedReadingEndsNoWarmUp(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		server := newIdleServer()
		asked := time.Now()
		time.Sleep(2200 * time.Millisecond)
		putList(t, server, 1, 8, []pick.Server{{ID: "a", WarmUpMax: 3 * time.Second}}, softstate.Age{Max: 20 * time.Millisecond})
		time.Sleep(100 * time.Millisecond)
		_ = server.PutList(1, 7, []pick.Server{{ID: "a"}}, softstate.TimeBounds{Earliest: asked, Latest: time.Now()})
		if got, _, _ := server.List(); len(got) != 1 || got[0].WarmUpMax < 2900*time.Millisecond {
			t.Errorf("the server has list %+v", got)
		}
	})
}
