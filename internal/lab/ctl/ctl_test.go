package ctl

import (
	"bytes"
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/model"
)

// TestFormats pins the lines of orders, events and records, which stand-ins and earlier runs have written too.
func TestFormats(t *testing.T) {
	yes := true
	for _, test := range []struct {
		name  string
		value any
		want  string
	}{
		{"order", Order{ID: 1, Do: "link", UID: "s", Cold: true, Fault: &model.Fault{Slow: 2}, By: 3, Nears: []int{4}, State: &link.State{Rate: 5},
			Partitioned: &yes, Group: 6, Front: "f", BySource: true, On: true, Entry: &Entry{UID: "u"}, Mode: "m", Late: 7},
			`{"id":1,"do":"link","uid":"s","cold":true,"wrong":{"slow":2,"stolen":0,"hang":false},"by":3,"nears":[4],` +
				`"state":{"hold":[false,false],"delay":0,"jitter":0,"rate":5,"loss":0},"cut":true,"group":6,"front":"f","by_source":true,"on":true,` +
				`"entry":{"uid":"u","ports":null,"az":"","model":"","state":"","boot_ms":0,"capacity_hint":0},"mode":"m","late":7}`},
		{"order without fields", Order{}, `{"id":0,"do":""}`},
		{"event", Event{ID: 1, At: 2, Error: "e", Kind: "ready", UID: "u", Ports: []int{3}, BootMS: 4},
			`{"id":1,"at":2,"error":"e","kind":"ready","uid":"u","ports":[3],"boot_ms":4}`},
		{"attempt", Attempt{Server: "s", Boot: 1, Near: 2, ID: "i", First: 3, Received: 4, End: 5, Outcome: "served", New: true, Work: 6},
			`{"s":"s","b":1,"n":2,"i":"i","f":3,"w":4,"e":5,"h":"served","c":true,"k":6}`},
		{"list update", ListUpdate{Near: 1, UID: "u", State: "s", At: 2}, `{"n":1,"u":"u","s":"s","t":2}`},
		{"registry update", RegistryUpdate{Near: 1, Node: "k", Conn: 2, Watch: true, KnownRevision: 3, Cluster: "c", Rev: 4, Complete: true, ServerCount: 5, At: 6},
			`{"n":1,"k":"k","c":2,"w":true,"h":3,"l":"c","r":4,"a":true,"x":5,"t":6}`},
		{"route update", RouteUpdate{Near: 1, Node: "k", Conn: 2, Bytes: 3, At: 4, Generation: 5, Complete: true, Hash: "h", Cluster: "c"},
			`{"n":1,"k":"k","c":2,"b":3,"t":4,"gen":5,"all":true,"hash":"h","cluster":"c"}`},
		{"gossip", Gossip{At: 1, Packets: 2, Bytes: 3, Streams: 4, StreamBytes: 5}, `{"t":1,"p":2,"b":3,"s":4,"c":5}`},
		{"registry call", RegistryCall{Client: 1, Key: 2, Write: true, Expect: 3, Value: 4, Rev: 5, Outcome: "ok", Call: 6, Return: 7},
			`{"c":1,"k":2,"w":true,"e":3,"v":4,"r":5,"h":"ok","f":6,"t":7}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if line, err := Marshal(test.value); err != nil || string(line) != test.want+"\n" {
				t.Errorf("%s, %v, want %s", line, err, test.want)
			}
		})
	}
}

// TestRecords reads back what was added, and names the line that cannot be read.
func TestRecords(t *testing.T) {
	path := filepath.Join(t.TempDir(), "records")
	records, err := NewRecords(path)
	if err != nil {
		t.Fatal(err)
	}
	for at := range int64(3) {
		records.Add(Gossip{At: at})
	}
	if err := records.Close(); err != nil {
		t.Fatal(err)
	}
	if all, err := ReadRecords[Gossip](path); err != nil || len(all) != 3 || all[2].At != 2 {
		t.Errorf("%v, %v", all, err)
	}
	if _, err := ReadRecords[Gossip](path + "2"); err == nil {
		t.Error("a missing file was read")
	}
	err = Lines(strings.NewReader("{}\n{\"t\":\n"), func(Gossip) error { return nil })
	if err == nil || !strings.HasPrefix(err.Error(), "line 2: ") {
		t.Errorf("%v, want line 2 named", err)
	}
	refused := errors.New("refused")
	if err := Lines(strings.NewReader("{}\n"), func(Gossip) error { return refused }); !errors.Is(err, refused) {
		t.Errorf("%v, want the handler's error", err)
	}
}

// TestEventWriter writes one line an event.
func TestEventWriter(t *testing.T) {
	var written bytes.Buffer
	writer := NewEventWriter(&written)
	writer.Send(Event{ID: 1, At: 2})
	writer.Send(Event{At: 3, Kind: "fell"})
	if want := "{\"id\":1,\"at\":2}\n{\"at\":3,\"kind\":\"fell\"}\n"; written.String() != want {
		t.Errorf("%q, want %q", written.String(), want)
	}
}
