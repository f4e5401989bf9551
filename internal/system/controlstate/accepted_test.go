package controlstate

import (
	"testing"

	"gradeusher.example/gradeusher/internal/system/config"
)

// TestAcceptedSharedKeyIsRead: an earlier version accepted configurations in which two tenants share a key. States and records that
// it stored can still be read, while a new change of this kind is rejected.
func TestAcceptedSharedKeyIsRead(t *testing.T) {
	const body = `{"revision":1,"routes":[],"services":[],"tenants":[{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}]}`
	stored := &State{Seq: 1, Config: &config.Config{Revision: 1, Raw: []byte(body)}}
	if state, err := Decode(stored.Encode()); err != nil || state.Revision() != 1 {
		t.Errorf("stored state: %v", err)
	}
	change := Change{Op: OpReplace, Body: []byte(body)}
	if verdict := Empty().Check(change); verdict.Kind != Invalid {
		t.Errorf("change: %+v", verdict)
	}
	state, err := Empty().Apply(change.Record(1))
	if err != nil {
		t.Fatalf("record: %v", err)
	}
	amendment := Change{Op: OpAmend, Base: 1, Body: []byte(`{"revision":2,"upsert":{"tenants":[{"name":"c","api_keys":["k"]}]}}`)}
	if verdict := state.Check(amendment); verdict.Kind != Invalid {
		t.Errorf("amendment: %+v", verdict)
	}
	if _, err := state.Apply(amendment.Record(2)); err != nil {
		t.Errorf("record of an amendment: %v", err)
	}
}
