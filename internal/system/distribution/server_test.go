package distribution

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

func newIdleServer() *Server {
	return NewServer(ServerOptions{Source: &fakeSource{fakeChain: newChain(), addresses: []string{"k"}}, Self: "k", Log: discardLogger()})
}

func TestListWritesOnlyWhatDiffers(t *testing.T) {
	server := newIdleServer()
	list := []pick.Server{{ID: "a", Service: "x", WarmUpMax: 3 * time.Second}, {ID: "b", Service: "x"}}
	put := func(fence, version uint64, age time.Duration, want uint64) {
		t.Helper()
		before := server.table.LastUrgent
		putList(t, server, fence, version, list, exactAge(age))
		if server.table.LastUrgent-before > 0 != (want > 0) {
			t.Errorf("%d urgent changes", server.table.LastUrgent-before)
		}
	}
	put(1, 1, 0, 1)
	put(1, 2, 0, 0)
	list[0].WarmUpMax = 2800 * time.Millisecond
	put(1, 3, 0, 0)
	list[0].WarmUpMax = time.Second
	put(1, 4, 0, 1)
	list[1].Draining = true
	put(1, 5, 0, 1)
	put(2, 1, 0, 1) // another poller takes over: other nodes may have entries of the former poller that it does not know of
	put(2, 2, 0, 0)
	list = list[1:]
	put(2, 3, 0, 1)
	if err := server.PutList(1, 99, nil, boundsOf(softstate.Age{})); !errors.Is(err, ErrStale) {
		t.Errorf("reading by a poller that lost its lease: %v", err)
	}
	got, age, ok := server.List()
	if !ok || age > time.Minute || len(got) != 1 || !got[0].Draining {
		t.Errorf("the server has list %+v, age %v, ok %v", got, age, ok)
	}
	list = nil
	put(2, 0, 0, 1) // the poller restarted
	list = []pick.Server{{ID: "a"}}
	put(2, 1, 0, 1) // the same server is back
	if got, _, _ := server.List(); len(got) != 1 {
		t.Errorf("the server has list %+v", got)
	}
}

func TestPutRejectsStaleEntry(t *testing.T) {
	server := newIdleServer()
	if err := server.Put("hint/x", 2, 1, []byte("1")); err != nil {
		t.Fatal(err)
	}
	for _, e := range [][2]uint64{{1, 9}, {2, 0}, {2, 1}} {
		if err := server.Put("hint/x", e[0], e[1], []byte("1")); !errors.Is(err, ErrStale) {
			t.Errorf("fence and version %v: %v", e, err)
		}
	}
	if err := server.Remove("hint/x", 2, 2); err != nil || len(server.Table()) != 0 {
		t.Errorf("Remove returned %v, table %v", err, server.Table())
	}
}

// TestPausedNodeMarksNobodyDown: a node that was paused must not mistake its own pause for a timeout of all others.
func TestPausedNodeMarksNobodyDown(t *testing.T) {
	server := newIdleServer()
	now := time.Now()
	member := softstate.Member{Node: "p", Incarnation: 5}
	server.endCall(server.beginCall(member, &distributionpb.FollowRequest{Member: member.ToProto()}))
	down := func() bool { return server.Members()[0].Down }
	server.tick(now.Add(100 * time.Millisecond))
	server.tick(now.Add(20 * time.Second))
	if down() {
		t.Error("the member is down after a pause of the node")
	}
	for i := range 30 {
		server.tick(now.Add(20*time.Second + time.Duration(i)*100*time.Millisecond))
	}
	if !down() {
		t.Error("the member timed out but is not down")
	}
	server.endCall(server.beginCall(member, &distributionpb.FollowRequest{Member: member.ToProto()}))
	if down() {
		t.Error("the member's call does not refute its down mark")
	}
}

func TestDownReportsOfOthers(t *testing.T) {
	server := newIdleServer()
	now := time.Now()
	member := softstate.Member{Node: "p", Incarnation: 5}
	server.endCall(server.beginCall(member, &distributionpb.FollowRequest{Member: member.ToProto()}))
	other := softstate.Member{Node: "q", Incarnation: 6}
	say := func(incarnation uint64) bool {
		server.endCall(server.beginCall(other, &distributionpb.FollowRequest{Member: other.ToProto(), Down: []*distributionpb.Verdict{{Node: "p", Incarnation: incarnation}}}))
		return server.Members()[0].Down
	}
	if say(5) {
		t.Error("a proxy that just called is down")
	}
	server.sessions.byNode["p"].lastCall = now.Add(-time.Second)
	if say(4) {
		t.Error("a report about another incarnation was applied")
	}
	if !say(5) {
		t.Error("a report about a timed out proxy was ignored")
	}
}

// TestEndedConnectionMarksDown: a process that ends closes the connection of its waiting call, and is soon marked down; one that calls
// again, as after a reset, stays up. Otherwise clients would be sent to proxies that are gone for as long as a timeout takes to detect
// them.
func TestEndedConnectionMarksDown(t *testing.T) {
	server := newIdleServer()
	now := time.Now()
	server.lastTick = now
	down := func(node string) bool {
		t.Helper()
		for _, member := range server.Members() {
			if member.Node == node {
				return member.Down
			}
		}
		t.Fatalf("%s is not a member", node)
		return false
	}
	for _, node := range []string{"ended", "reset", "held"} {
		caller := server.beginCall(softstate.Member{Node: node, Incarnation: 7, Revision: 1}, &distributionpb.FollowRequest{})
		if node != "held" {
			server.recordLostConnection(caller)
			server.endCall(caller)
		}
	}
	server.endCall(server.beginCall(softstate.Member{Node: "reset", Incarnation: 7, Revision: 1}, &distributionpb.FollowRequest{}))
	for i := range 6 {
		server.tick(now.Add(time.Duration(i+1) * 100 * time.Millisecond))
	}
	if !down("ended") || down("reset") || down("held") {
		t.Errorf("after 600 ms: ended %v, reset %v, held %v", down("ended"), down("reset"), down("held"))
	}
	server.endCall(server.beginCall(softstate.Member{Node: "ended", Incarnation: 8, Revision: 1}, &distributionpb.FollowRequest{}))
	if down("ended") {
		t.Error("its next incarnation is still down")
	}
}

// putList makes a server merge a reading of the list that has the given age now.
func putList(tb testing.TB, server *Server, fence, version uint64, servers []pick.Server, age softstate.Age) {
	tb.Helper()
	if err := server.PutList(fence, version, servers, boundsOf(age)); err != nil {
		tb.Fatal(err)
	}
}

// boundsOf returns the time bounds of something that has the given age now.
func boundsOf(age softstate.Age) softstate.TimeBounds { return age.MadeBetween(time.Now()) }

// exactAge returns the age of something that is known to be exactly d old.
func exactAge(d time.Duration) softstate.Age { return softstate.Age{Min: d, Max: d} }
