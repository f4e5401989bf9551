package platform

import (
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

func instances() *rapid.Generator[[]Instance] {
	name := rapid.SampledFrom([]string{"", "a", "b", "zone-a", "v1"})
	millis := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "ms")) * time.Millisecond
	})
	one := rapid.Custom(func(t *rapid.T) Instance {
		i := Instance{
			ID: rapid.String().Draw(t, "id"), Target: name.Draw(t, "target"), Address: rapid.String().Draw(t, "address"),
			Zone: name.Draw(t, "zone"), Slots: rapid.IntRange(0, 1000).Draw(t, "slots"),
			Phase: Phase(rapid.IntRange(0, 1).Draw(t, "phase")), ColdLeft: millis.Draw(t, "cold"),
			Remaining: millis.Draw(t, "remaining"), Revision: name.Draw(t, "revision"), Stage: name.Draw(t, "stage"),
		}
		for range rapid.IntRange(0, 2).Draw(t, "models") {
			m := Model{Name: name.Draw(t, "model"), Revision: rapid.Int64().Draw(t, "model revision")}
			for range rapid.IntRange(0, 2).Draw(t, "adapters") {
				m.Adapters = append(m.Adapters, name.Draw(t, "adapter"))
			}
			i.Models = append(i.Models, m)
		}
		return i
	})
	return rapid.Custom(func(t *rapid.T) []Instance {
		var list []Instance
		for range rapid.IntRange(0, 5).Draw(t, "n") {
			list = append(list, one.Draw(t, "instance"))
		}
		return list
	})
}

func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instances().Draw(t, "list")
		data := Encode(list)
		got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(got, list) {
			t.Fatalf("Decode(Encode(%+v)) = %+v, %v", list, got, err)
		}
		// What is cut short or followed by more is damaged.
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		if _, err := Decode(data[:cut]); !errors.Is(err, ErrEncoding) {
			t.Fatalf("cut at %d of %d: err = %v", cut, len(data), err)
		}
		if _, err := Decode(append(data, 0)); !errors.Is(err, ErrEncoding) {
			t.Fatalf("one byte more: err = %v", err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode([]Instance{{ID: "i", Target: "a", Address: "h:1", Models: []Model{{Name: "m", Adapters: []string{"x"}}}}}))
	f.Add([]byte{1, 255, 255, 255, 255, 15})
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(Encode(list))
		if err != nil || !reflect.DeepEqual(again, list) {
			t.Fatalf("%+v became %+v, %v", list, again, err)
		}
	})
}

func TestSame(t *testing.T) {
	base := func() []Instance {
		return []Instance{
			{ID: "a", Target: "s", Address: "h:1", Slots: 4, ColdLeft: 2 * time.Second, Models: []Model{{Name: "m", Revision: 1}}},
			{ID: "b", Target: "s", Address: "h:2", Phase: Draining, Remaining: 5 * time.Second},
		}
	}
	tests := map[string]struct {
		change func([]Instance) []Instance
		same   bool
	}{
		"ran down": {func(l []Instance) []Instance {
			l[0].ColdLeft, l[1].Remaining = 1100*time.Millisecond, 3900*time.Millisecond
			return l
		}, true},
		"warm before its time": {func(l []Instance) []Instance { l[0].ColdLeft, l[1].Remaining = 0, 4*time.Second; return l }, false},
		"cold again": {func(l []Instance) []Instance {
			l[0].ColdLeft, l[1].Remaining = 3*time.Second, 4*time.Second
			return l
		}, false},
		"gone":            {func(l []Instance) []Instance { return l[:1] }, false},
		"another address": {func(l []Instance) []Instance { l[0].Address = "h:9"; return l }, false},
		"another phase":   {func(l []Instance) []Instance { l[0].Phase = Draining; return l }, false},
		"model revision":  {func(l []Instance) []Instance { l[0].Models[0].Revision = 2; return l }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Same(base(), tt.change(base()), time.Second); got != tt.same {
				t.Errorf("Same = %v", got)
			}
		})
	}
}

func TestByZone(t *testing.T) {
	zones := ByZone([]Instance{{ID: "a", Zone: "x"}, {ID: "b", Zone: "y"}, {ID: "c", Zone: "x"}})
	if len(zones) != 2 || len(zones["x"]) != 2 || zones["x"][1].ID != "c" || zones["y"][0].ID != "b" {
		t.Errorf("zones = %+v", zones)
	}
}

func BenchmarkEncode(b *testing.B) {
	list := make([]Instance, 300)
	for i := range list {
		list[i] = Instance{ID: "i-7f3a91c2", Target: "huvo11a", Address: "10.128.0.9:8080", Zone: "fukuoka-a", Slots: 64,
			Revision: "v1", Stage: "both", Models: []Model{{Name: "m", Revision: 1}}}
	}
	b.ReportAllocs()
	for b.Loop() {
		b.ReportMetric(float64(len(Encode(list)))/float64(len(list)), "bytes/instance")
	}
}
