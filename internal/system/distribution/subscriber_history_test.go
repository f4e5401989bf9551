package distribution

import (
	"fmt"
	"testing"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// TestSubscribersKeepNoHistory: nodes remember thousands of changes to recognise retries. Proxies do not evaluate changes, so neither the
// snapshots that they receive nor the state that they build from records grows with the number of changes.
func TestSubscribersKeepNoHistory(t *testing.T) {
	chain := newChain()
	server := NewServer(ServerOptions{Source: &fakeSource{fakeChain: chain, addresses: []string{"k"}}, Self: "k", Log: discardLogger()})
	subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
	for i := range int64(200) {
		body := fmt.Appendf(nil, `{"revision":%d,"routes":[],"services":[]}`, i+1)
		seq := chain.add(controlstate.Record{Op: controlstate.OpReplace, Base: i, Body: body})
		next, err := applyRecord(subscriber.control.state, &distributionpb.Record{Seq: seq, Op: uint32(controlstate.OpReplace), Base: i, Body: body})
		if err != nil {
			t.Fatal(err)
		}
		subscriber.control.state = next
	}
	state, _ := server.options.Source.Committed()
	reply := &distributionpb.FollowReply{}
	server.addSnapshot(reply, 0, state)
	snapshot, err := decodeSnapshot(reply.GetSnapshot(), reply.GetSnapshotDeflated())
	if err != nil {
		t.Fatal(err)
	}
	const maxBytes = 128 // bytes
	for what, s := range map[string]*controlstate.State{"a snapshot": snapshot, "records": subscriber.control.state} {
		if s.Seq != 200 || s.Revision() != 200 || len(s.Encode()) > maxBytes {
			t.Errorf("state from %s: record %d, revision %d, %d bytes", what, s.Seq, s.Revision(), len(s.Encode()))
		}
	}
	if len(state.Encode()) < 16*200 {
		t.Errorf("the node's state has only %d bytes, so it has no history", len(state.Encode()))
	}
}
