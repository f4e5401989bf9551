package distribution

import (
	"context"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestNewFenceWritesAllEntriesOnce: a lost node had sent its last reading to only one of the others. The node that reads the list under
// the next fence has another state of one server, and lacks a server of that reading. If it wrote only what differs from its own table,
// it would write nothing, and the other node would keep the lost node's entries forever.
func TestNewFenceWritesAllEntriesOnce(t *testing.T) {
	reader, other := newIdleServer(), NewServer(ServerOptions{Source: &fakeSource{fakeChain: newChain(), addresses: []string{"a", "c"}}, Self: "c", Log: discardLogger()})
	reader.markComplete()
	other.markComplete()
	put := func(server *Server, fence, version uint64, servers ...pick.Server) {
		t.Helper()
		putList(t, server, fence, version, servers, softstate.Age{Max: 20 * time.Millisecond})
	}
	put(other, 1, 100, pick.Server{ID: "x"}, pick.Server{ID: "gone"}) // as received from the lost node
	put(reader, 1, 96, pick.Server{ID: "x", Draining: true})
	put(reader, 2, 1, pick.Server{ID: "x", Draining: true})
	req, _ := reader.buildShareRequest(&syncProgress{cursor: softstate.Cursor{BootID: reader.bootID, Number: 2}})
	req.From = &distributionpb.Keeper{Address: "a"}
	req.SentMs = other.clockMS(time.Now())
	if _, err := other.Share(context.Background(), req); err != nil {
		t.Fatal(err)
	}
	got, _, _ := other.List()
	if len(got) != 1 || got[0].ID != "x" || !got[0].Draining {
		t.Errorf("under the new fence the other node has servers %+v", got)
	}
	before := reader.table.LastNumber
	put(reader, 2, 2, pick.Server{ID: "x", Draining: true})
	if written := reader.table.LastNumber - before; written != 1 {
		t.Errorf("a reading that changes nothing wrote %d entries, want only the list entry", written)
	}
}
