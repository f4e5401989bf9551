package list

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// TestParse reads lists as PROTOCOL shows them, and refuses what is wrong in one entry.
func TestParse(t *testing.T) {
	good := `{"rev":41,"all":true,"later":1,"targets":[{"uid":"s-5be2a07c","endpoint":"10.1.0.18:8080","az":"a","model":"m2","pod_group":3,"state":"SERVING","capacity_hint":0.5,"boot_ms":7,"new":{}}]}`
	l, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	half := 0.5
	want := Target{"s-5be2a07c", "10.1.0.18:8080", "a", "m2", 3, Serving, &half, 7}
	if l.Rev != 41 || !l.All || len(l.Targets) != 1 || !reflect.DeepEqual(l.Targets[0], want) {
		t.Errorf("%+v", l)
	}
	one := 1.0
	if same := want; !want.Differs(Target{UID: want.UID}) || want.Differs(same) || (Target{}).Differs(Target{Capacity: &one}) {
		t.Error("changes are not told from none")
	}
	for bad, change := range map[string][2]string{
		"no revision":       {`"rev":41,`, ""},
		"unknown state":     {"SERVING", "serving"},
		"capacity_hint":     {"0.5", "-0.5"},
		"is no address":     {":8080", ""},
		"is no IP":          {"10.1.0.18", "host"},
		"uid is missing":    {"s-5be2a07c", ""},
		"letters, digits":   {"s-5be2a07c", "s 1"},
		"boot_ms":           {`"boot_ms":7`, `"boot_ms":-7`},
		"pod_group":         {`"pod_group":3`, `"pod_group":-3`},
		"hold 128 bytes":    {`"az":"a"`, `"az":"` + strings.Repeat("a", 129) + `"`},
		"invalid character": {"{", "<"},
	} {
		if _, err := Parse([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil || !strings.Contains(err.Error(), bad) {
			t.Errorf("%v: %v, want %q", change, err, bad)
		}
	}
	entry := good[strings.Index(good, "[")+1 : strings.LastIndex(good, "]")]
	if _, err := Parse([]byte(strings.Replace(good, entry, entry+","+entry, 1))); err == nil {
		t.Error("one server twice in a whole list was taken")
	}
}

// FuzzParse reads anything that a watch may say: what is taken can be written and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"10.1.0.18:8080","state":"DRAINING"}],"age_ms":3,"cluster":"c"}`))
	f.Add([]byte(`{"rev":9223372036854775807,"targets":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse(text)
		if err != nil {
			return
		}
		again, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		if same, err := Parse(again); err != nil || !reflect.DeepEqual(l, same) {
			t.Errorf("%s became %s: %v", text, again, err)
		}
	})
}
