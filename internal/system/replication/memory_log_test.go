package replication

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// reread returns e as decoded from the log on disk or from another node.
func reread(t rapid.TB, e *entry) entry {
	t.Helper()
	data, err := proto.Marshal(e.pb())
	if err != nil {
		t.Fatal(err)
	}
	var p replicationpb.Entry
	if err := proto.Unmarshal(data, &p); err != nil {
		t.Fatal(err)
	}
	return entryOf(&p)
}

func sameEntry(a, b *entry) bool {
	return a.epoch == b.epoch && a.rec.Seq == b.rec.Seq && a.rec.Op == b.rec.Op && a.rec.Base == b.rec.Base &&
		a.rec.Zone == b.rec.Zone && bytes.Equal(a.rec.Body, b.rec.Body)
}

// TestEntryEncoding checks that a record with arbitrary field values is decoded as it was encoded.
func TestEntryEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := entry{epoch: rapid.Uint64().Draw(t, "epoch"), rec: controlstate.Record{Seq: rapid.Uint64().Draw(t, "seq"),
			Op: controlstate.Op(rapid.Uint8().Draw(t, "op")), Base: rapid.Int64().Draw(t, "base"),
			Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"), Zone: rapid.String().Draw(t, "zone")}}
		if got := reread(t, &e); !sameEntry(&got, &e) {
			t.Fatalf("%+v became %+v", e, got)
		}
	})
}

// FuzzEntry checks that arbitrary bytes are either rejected, or decode to a record that survives another encoding.
func FuzzEntry(f *testing.F) {
	for _, e := range []entry{
		{epoch: 7, rec: controlstate.Record{Seq: 1 << 60, Op: controlstate.OpAmend, Base: 1 << 40, Body: []byte("body"), Zone: "zone"}},
		{},
		{rec: controlstate.Record{Seq: 3, Base: -1}},
	} {
		data, err := proto.Marshal(e.pb())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var p replicationpb.Entry
		if proto.Unmarshal(b, &p) != nil {
			return
		}
		e := entryOf(&p)
		if got := reread(t, &e); !sameEntry(&got, &e) {
			t.Fatalf("%+v became %+v", e, got)
		}
	})
}
