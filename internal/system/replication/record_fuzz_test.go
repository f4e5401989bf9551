package replication

import (
	"bytes"
	"testing"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const fuzzedConfig = `{"revision":1,"routes":[{"name":"r","hostname":"h","path_prefix":"/","timeout_ms":1000,"target":"s"}],"services":[{"name":"s"}]}`

// FuzzChangeRoundTrip sends a change from a request's bytes through a node to a record and back. It guards against a change that is accepted
// and cannot be encoded, stored and read again, and against one whose refusal cannot be sent.
func FuzzChangeRoundTrip(f *testing.F) {
	f.Add(uint8(controlstate.OpEvacuate), int64(0), []byte(nil), "za")
	f.Add(uint8(controlstate.OpEvacuate), int64(9), []byte("{}"), "ia\xbai-hall-a")
	f.Add(uint8(controlstate.OpReadmit), int64(-1), []byte(nil), "ia\u0219i-hall-a")
	f.Add(uint8(controlstate.OpReadmit), int64(1), []byte(nil), "\x00\r\n")
	f.Add(uint8(controlstate.OpReplace), int64(1), []byte(`{"revision":2,"routes":[],"services":[{"name":"\ud800"}]}`), "")
	f.Add(uint8(controlstate.OpReplace), int64(1), []byte("{\"revision\":2,\"routes\":[],\"services\":[{\"name\":\"\xff\"}]}"), "")
	f.Add(uint8(controlstate.OpReplace), int64(1),
		[]byte(`{"revision":2,"routes":[],"services":[],"tenants":[{"name":"a\udc00","api_keys":["k\ud83d"],"priority":0}]}`), "")
	f.Add(uint8(controlstate.OpAmend), int64(1), []byte(`{"revision":3,"upsert":{"services":[{"name":"t\u0000"}]}}`), "\xc0")
	f.Add(uint8(controlstate.OpNone), int64(0), []byte("x"), "\xff")
	f.Add(uint8(0), int64(0), []byte(nil), "")
	f.Fuzz(func(t *testing.T, op uint8, base int64, body []byte, zone string) {
		state, err := controlstate.Empty().Apply(controlstate.Record{Seq: 1, Op: controlstate.OpReplace, Body: []byte(fuzzedConfig)})
		if err != nil {
			t.Fatal(err)
		}
		change := controlstate.Change{Op: controlstate.Op(op), Base: base, Body: body, Zone: zone}
		verdict := state.Check(change)
		if change.Unrecordable() != "" {
			requireRefusedAtOnce(t, change)
			return
		}
		requireSendable(t, &replicationpb.Message{Body: &replicationpb.Message_Forward{Forward: &replicationpb.Forward{Change: (&entry{rec: change.Record(0)}).pb()}}})
		if verdict.Kind == controlstate.Accepted {
			requireRecordable(t, state, change.Record(2))
		}
	})
}

// requireRefusedAtOnce submits a change to a node that is alone, which must refuse it without passing it on, and work as before.
func requireRefusedAtOnce(t *testing.T, change controlstate.Change) {
	t.Helper()
	cluster := newScriptedCluster(t)
	cluster.machine = controlMachine{}
	cluster.start(Config{Self: Member{Addr: "k", Zone: "z", Region: "r"}, Seeds: []string{"k"}, Bootstrap: true})
	cluster.until(5*time.Second, "the first view", func() bool { return cluster.complete(1, 1) })
	id := cluster.submit("k", change, time.Second)
	if done := cluster.done[id]; done.Outcome != Answered || done.Verdict.Kind != controlstate.Invalid || done.Verdict.Reason == "" {
		t.Fatalf("the outcome is %+v, want Invalid at once", done)
	}
	id = cluster.submit("k", evacuating("za"), time.Second)
	cluster.until(time.Second, "another change", func() bool { return cluster.answered(id) })
}

// requireSendable checks that a message can be encoded.
func requireSendable(t *testing.T, message *replicationpb.Message) {
	t.Helper()
	if _, err := proto.Marshal(message); err != nil {
		t.Fatalf("the message cannot be encoded: %v", err)
	}
}

// requireRecordable checks that an accepted record and the state after it survive being stored, and that names in it are valid text.
func requireRecordable(t *testing.T, state *controlstate.State, rec controlstate.Record) {
	t.Helper()
	next, err := state.Apply(rec)
	if err != nil {
		t.Fatalf("accepted, and cannot be applied: %v", err)
	}
	e := entry{epoch: 1, rec: rec}
	if got := reread(t, &e); !sameEntry(&got, &e) {
		t.Fatalf("%+v became %+v", e, got)
	}
	decoded, err := controlstate.Decode(next.Encode())
	if err != nil || !bytes.Equal(decoded.Encode(), next.Encode()) {
		t.Fatalf("the state cannot be read again: %v", err)
	}
	for name := range next.Config.Services {
		requireText(t, name)
	}
	for _, tenant := range next.Config.Tenants {
		requireText(t, tenant.Name)
	}
	for _, route := range next.Config.Routes {
		requireText(t, route.Name)
	}
}

func requireText(t *testing.T, text string) {
	t.Helper()
	if !utf8.ValidString(text) {
		t.Fatalf("the name %q is not UTF-8, so no message can hold it", text)
	}
}
