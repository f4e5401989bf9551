package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestConformance plays tables taken from PROTOCOL.md "Requests" in virtual time.
func TestConformance(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var e *Engine
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "server" {
				s := Spec{Slots: 2, Queue: 2, MemoryTokens: 1000, Stride: 2, Step: time.Millisecond, PrefillRate: 100, Chunk: 100}
				for _, a := range d.CmdArgs {
					switch a.Key {
					case "slots":
						d.ScanArgs(t, a.Key, &s.Slots)
					case "queue":
						d.ScanArgs(t, a.Key, &s.Queue)
					case "memory":
						d.ScanArgs(t, a.Key, &s.MemoryTokens)
					case "stride":
						d.ScanArgs(t, a.Key, &s.Stride)
					case "chunk":
						d.ScanArgs(t, a.Key, &s.Chunk)
					}
				}
				e = New(s, 0)
				return ""
			}
			return play(t, e, d)
		})
	})
}

func play(t *testing.T, e *Engine, d *datadriven.TestData) string {
	var out strings.Builder
	switch d.Cmd {
	case "arrive":
		r := Request{Priority: 5, AnswerTokens: 1}
		var key, out, had, at int
		d.ScanArgs(t, "key", &key)
		if d.HasArg("out") {
			d.ScanArgs(t, "out", &out)
			r.AnswerTokens = out
		}
		if d.HasArg("had") {
			d.ScanArgs(t, "had", &had)
			r.ReceivedEvents = had
		}
		if d.HasArg("priority") {
			d.ScanArgs(t, "priority", &r.Priority)
		}
		if d.HasArg("at") {
			d.ScanArgs(t, "at", &at)
		}
		r.Key = uint64(key)
		for _, a := range d.CmdArgs {
			if a.Key == "prompt" {
				for _, v := range a.Vals {
					var p PromptPart
					if _, err := fmt.Sscanf(v, "%x:%d", &p.ID, &p.Tokens); err != nil {
						t.Fatalf("%s: %v", d.Pos, err)
					}
					r.Parts = append(r.Parts, p)
				}
			}
		}
		if !e.Submit(max(e.now, time.Duration(at)*time.Millisecond), r) {
			return "full"
		}
		return "taken"
	case "cancel":
		var key int
		d.ScanArgs(t, "key", &key)
		if e.Cancel(e.now, uint64(key)) {
			return "it had started"
		}
		return "it had not started"
	case "run": // until nothing is left to do, or until a time
		until := time.Hour
		if d.HasArg("until") {
			var ms int
			d.ScanArgs(t, "until", &ms)
			until = time.Duration(ms) * time.Millisecond
		}
		for {
			at, ok := e.Next()
			if !ok || at > until {
				break
			}
			for _, o := range e.Advance(at) {
				switch o.Kind {
				case Started:
					fmt.Fprintf(&out, "%v: %d starts\n", o.At, o.Key)
				case Event:
					fmt.Fprintf(&out, "%v: %d event %d\n", o.At, o.Key, o.Event)
				case Done:
					fmt.Fprintf(&out, "%v: %d done\n", o.At, o.Key)
				}
			}
		}
	case "figures":
		f := e.Figures()
		_, idle := e.memory()
		fmt.Fprintf(&out, "read %d, preempted %d, handled %d, in use %d, kept idle %d", f.Prefilled, f.Preempted, f.Handled, f.Used, idle)
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return out.String()
}

// TestInvariants draws histories. Danger: memory that is counted twice or never given back.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: rapid.IntRange(0, 3).Draw(t, "queue"),
			MemoryTokens: rapid.Int64Range(50, 400).Draw(t, "memory"), Stride: rapid.IntRange(1, 5).Draw(t, "stride"), Step: time.Millisecond,
			PerRunning: 10 * time.Microsecond, PrefillRate: 50, Chunk: rapid.IntRange(1, 60).Draw(t, "chunk")}
		e := New(spec, 0)
		h := history{T: t, e: e, taken: map[uint64]Request{}, events: map[uint64]int{}, done: map[uint64]bool{}}
		now := Time(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond
			h.see(e.Advance(now))
			if i%7 == 6 && len(h.taken) > 0 {
				key := uint64(rapid.IntRange(0, i).Draw(t, "cancelled"))
				e.Cancel(now, key)
				delete(h.taken, key)
			} else {
				h.arrive(now, uint64(i))
			}
			h.invariants()
		}
		for range 1_000_000 { // all that was taken ends
			at, ok := e.Next()
			if !ok {
				break
			}
			h.see(e.Advance(at))
			h.invariants()
		}
		for key := range h.taken {
			if !h.done[key] {
				t.Fatalf("%d was taken and never ended", key)
			}
		}
		if used, _ := e.memory(); used != 0 || len(e.running) != 0 || len(e.waiting) != 0 {
			t.Fatalf("at rest %d tokens are in use, %d run, %d wait", used, len(e.running), len(e.waiting))
		}
	})
}

// history is what was asked of an engine, and what it gave.
type history struct {
	*rapid.T
	e      *Engine
	taken  map[uint64]Request
	events map[uint64]int
	done   map[uint64]bool
}

func (h *history) arrive(now Time, key uint64) {
	r := Request{Key: key, AnswerTokens: rapid.IntRange(1, 30).Draw(h.T, "out"), Priority: rapid.IntRange(0, 3).Draw(h.T, "priority")}
	for range rapid.IntRange(1, 3).Draw(h.T, "parts") {
		id := rapid.Uint64Range(1, 8).Draw(h.T, "part")
		r.Parts = append(r.Parts, PromptPart{id, int(10 * id)})
	}
	r.ReceivedEvents = rapid.IntRange(0, (r.AnswerTokens-1)/h.e.Stride).Draw(h.T, "had")
	if h.e.Submit(now, r) {
		h.taken[key] = r
		h.events[key] = r.ReceivedEvents
	}
}

func (h *history) see(all []Output) {
	for _, o := range all {
		r, ok := h.taken[o.Key]
		switch {
		case !ok: // cancelled
		case h.done[o.Key]:
			h.Fatalf("%d goes on after its end", o.Key)
		case o.Kind == Event && o.Event != h.events[o.Key]+1:
			h.Fatalf("%d: event %d follows event %d", o.Key, o.Event, h.events[o.Key])
		case o.Kind == Event:
			h.events[o.Key] = o.Event
		case o.Kind == Done && h.events[o.Key] != EventsOf(r.AnswerTokens, h.e.Stride):
			h.Fatalf("%d ended after event %d of %d", o.Key, h.events[o.Key], EventsOf(r.AnswerTokens, h.e.Stride))
		case o.Kind == Done:
			h.done[o.Key] = true
		}
	}
}

func (h *history) invariants() {
	e := h.e
	if len(e.running) > e.Slots {
		h.Fatalf("%d run in %d slots", len(e.running), e.Slots)
	}
	if used, idle := e.memory(); used < 0 || idle < 0 || used+idle > e.MemoryTokens {
		h.Fatalf("%d in use and %d idle of %d tokens", used, idle, e.MemoryTokens)
	}
	var own, held, idle int64
	for _, j := range e.running {
		own += j.ownTokens
	}
	counted := map[*cachedPart]bool{}
	count := func(p *cachedPart) {
		if !counted[p] {
			counted[p] = true
			held += int64(p.tokens)
			if p.users == 0 {
				idle += int64(p.tokens)
			}
		}
	}
	for _, p := range e.cache.parts {
		count(p)
	}
	for _, j := range e.running {
		for _, p := range j.pinned {
			count(p)
		}
	}
	if own != e.ownTokens || held != e.cache.cachedTokens || idle != e.cache.idleTokens {
		h.Fatalf("own %d counted as %d, kept %d as %d, idle %d as %d", own, e.ownTokens, held, e.cache.cachedTokens, idle, e.cache.idleTokens)
	}
}
