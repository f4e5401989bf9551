package failuredetector

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

func TestMessageCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9.:-]{1,128}`)
		m := Message{Kind: Kind(rapid.IntRange(1, 7).Draw(t, "kind")), From: name.Draw(t, "from"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"), Nonce: rapid.Uint64().Draw(t, "nonce")}
		if m.Kind.isIndirect() {
			m.Node, m.NodeIncarnation = name.Draw(t, "node"), rapid.Uint64().Draw(t, "node incarnation")
			m.Age = time.Duration(rapid.IntRange(0, 100_000).Draw(t, "age")) * time.Millisecond
		}
		data := m.Append(nil)
		if len(data) > MaxDatagramBytes {
			t.Fatalf("encoding has %d bytes", len(data))
		}
		if got, err := Decode(data); err != nil || got != m {
			t.Fatalf("%+v became %+v, %v", m, got, err)
		}
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		if _, err := Decode(data[:cut]); !errors.Is(err, ErrMalformedMessage) {
			t.Fatalf("truncated at byte %d: %v", cut, err)
		}
		if _, err := Decode(append(data, 0)); !errors.Is(err, ErrMalformedMessage) {
			t.Fatalf("with a surplus byte: %v", err)
		}
	})
}

func TestMessageOfAnother(t *testing.T) {
	good := Message{Kind: Heartbeat, From: "a"}.Append(nil)
	for name, change := range map[string]func([]byte) []byte{
		"magic":     func(b []byte) []byte { b[0]++; return b },
		"version":   func(b []byte) []byte { b[2]++; return b },
		"kind 0":    func(b []byte) []byte { b[3] = 0; return b },
		"kind 8":    func(b []byte) []byte { b[3] = 8; return b },
		"long name": func(b []byte) []byte { b[4] = 200; return b },
		"no name":   func([]byte) []byte { return Message{Kind: Heartbeat}.Append(nil) },
		"too long":  func(b []byte) []byte { return append(b, make([]byte, MaxDatagramBytes)...) },
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode(change(append([]byte(nil), good...))); !errors.Is(err, ErrMalformedMessage) {
				t.Errorf("%s: %v", name, err)
			}
		})
	}
	long := Message{Kind: IndirectPing, From: strings.Repeat("f", 300), Node: strings.Repeat("n", 300)}.Append(nil)
	if _, err := Decode(long); err != nil || len(long) > MaxDatagramBytes {
		t.Errorf("message with long names: %d bytes, %v", len(long), err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Message{Kind: IndirectAck, From: "a", Node: "b", Age: time.Second}.Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		if again, err := Decode(m.Append(nil)); err != nil || again != m {
			t.Fatalf("%+v became %+v, %v", m, again, err)
		}
	})
}
