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
		var server *Engine
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "server" {
				spec := Spec{Slots: 2, Queue: 2, MemoryTokens: 1000, Stride: 2, Step: time.Millisecond, PrefillRate: 100, Chunk: 100}
				for _, a := range data.CmdArgs {
					switch a.Key {
					case "slots":
						data.ScanArgs(t, a.Key, &spec.Slots)
					case "queue":
						data.ScanArgs(t, a.Key, &spec.Queue)
					case "memory":
						data.ScanArgs(t, a.Key, &spec.MemoryTokens)
					case "stride":
						data.ScanArgs(t, a.Key, &spec.Stride)
					case "chunk":
						data.ScanArgs(t, a.Key, &spec.Chunk)
					}
				}
				server = New(spec, 0)
				return ""
			}
			return play(t, server, data)
		})
	})
}

// play runs one command of a table and returns its output.
func play(t *testing.T, engine *Engine, data *datadriven.TestData) string {
	t.Helper()
	switch data.Cmd {
	case "arrive":
		request, at := parseRequest(t, data)
		if !engine.Submit(max(engine.now, at), request) {
			return "full"
		}
		return "taken"
	case "cancel":
		if engine.Cancel(engine.now, requiredKey(t, data)) {
			return "it had started"
		}
		return "it had not started"
	case "run": // until nothing is left to do, or until a time
		until := time.Hour
		if data.HasArg("until") {
			until = time.Duration(optionalInt(t, data, "until", 0)) * time.Millisecond
		}
		return runUntil(engine, until)
	case "figures":
		f := engine.Figures()
		_, idle := engine.memory()
		return fmt.Sprintf("read %d, preempted %d, handled %d, in use %d, kept idle %d", f.Prefilled, f.Preempted, f.Handled, f.Used, idle)
	}
	t.Fatalf("%s: unknown command %s", data.Pos, data.Cmd)
	return ""
}

func requiredKey(t *testing.T, data *datadriven.TestData) uint64 {
	t.Helper()
	var key int
	data.ScanArgs(t, "key", &key)
	return uint64(key)
}

func optionalInt(t *testing.T, data *datadriven.TestData, name string, value int) int {
	t.Helper()
	if data.HasArg(name) {
		data.ScanArgs(t, name, &value)
	}
	return value
}

// parseRequest reads a request and when it arrives.
func parseRequest(t *testing.T, data *datadriven.TestData) (request Request, at Time) {
	t.Helper()
	request = Request{Key: requiredKey(t, data), AnswerTokens: optionalInt(t, data, "out", 1), ReceivedEvents: optionalInt(t, data, "had", 0),
		Priority: optionalInt(t, data, "priority", 5)}
	for _, arg := range data.CmdArgs {
		if arg.Key != "prompt" {
			continue
		}
		for _, text := range arg.Vals {
			var part PromptPart
			if _, err := fmt.Sscanf(text, "%x:%d", &part.ID, &part.Tokens); err != nil {
				t.Fatalf("%s: %v", data.Pos, err)
			}
			request.Parts = append(request.Parts, part)
		}
	}
	return request, time.Duration(optionalInt(t, data, "at", 0)) * time.Millisecond
}

// runUntil advances the engine from event to event, and returns a line for each output.
func runUntil(engine *Engine, until Time) string {
	var out strings.Builder
	for {
		at, ok := engine.Next()
		if !ok || at > until {
			return out.String()
		}
		for _, output := range engine.Advance(at) {
			switch output.Kind {
			case Started:
				fmt.Fprintf(&out, "%v: %d starts\n", output.At, output.Key)
			case Event:
				fmt.Fprintf(&out, "%v: %d event %d\n", output.At, output.Key, output.Event)
			case Done:
				fmt.Fprintf(&out, "%v: %d done\n", output.At, output.Key)
			}
		}
	}
}

// TestInvariants draws histories, and checks the invariants after each step, above all that memory is neither counted twice nor lost.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: rapid.IntRange(0, 3).Draw(t, "queue"),
			MemoryTokens: rapid.Int64Range(50, 400).Draw(t, "memory"), Stride: rapid.IntRange(1, 5).Draw(t, "stride"), Step: time.Millisecond,
			PerRunning: 10 * time.Microsecond, PrefillRate: 50, Chunk: rapid.IntRange(1, 60).Draw(t, "chunk")}
		engine := New(spec, 0)
		hist := history{T: t, e: engine, taken: map[uint64]Request{}, events: map[uint64]int{}, done: map[uint64]bool{}}
		now := Time(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond
			hist.see(engine.Advance(now))
			if i%7 == 6 && len(hist.taken) > 0 {
				key := uint64(rapid.IntRange(0, i).Draw(t, "cancelled"))
				engine.Cancel(now, key)
				delete(hist.taken, key)
			} else {
				hist.arrive(now, uint64(i))
			}
			hist.invariants()
		}
		for range 1_000_000 { // all that was taken ends
			at, ok := engine.Next()
			if !ok {
				break
			}
			hist.see(engine.Advance(at))
			hist.invariants()
		}
		for key := range hist.taken {
			if !hist.done[key] {
				t.Fatalf("%d was taken and never ended", key)
			}
		}
		if used, _ := engine.memory(); used != 0 || len(engine.running) != 0 || len(engine.waiting) != 0 {
			t.Fatalf("at rest %d tokens are in use, %d run, %d wait", used, len(engine.running), len(engine.waiting))
		}
	})
}

// history is the requests to an engine, and its outputs.
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
	for _, output := range all {
		r, ok := h.taken[output.Key]
		switch {
		case !ok: // cancelled
		case h.done[output.Key]:
			h.Fatalf("%d goes on after its end", output.Key)
		case output.Kind == Event && output.Event != h.events[output.Key]+1:
			h.Fatalf("%d: event %d follows event %d", output.Key, output.Event, h.events[output.Key])
		case output.Kind == Event:
			h.events[output.Key] = output.Event
		case output.Kind == Done && h.events[output.Key] != EventsOf(r.AnswerTokens, h.e.Stride):
			h.Fatalf("%d ended after event %d of %d", output.Key, h.events[output.Key], EventsOf(r.AnswerTokens, h.e.Stride))
		case output.Kind == Done:
			h.done[output.Key] = true
		}
	}
}

func (h *history) invariants() {
	engine := h.e
	if len(engine.running) > engine.Slots {
		h.Fatalf("%d run in %d slots", len(engine.running), engine.Slots)
	}
	if used, idle := engine.memory(); used < 0 || idle < 0 || used+idle > engine.MemoryTokens {
		h.Fatalf("%d in use and %d idle of %d tokens", used, idle, engine.MemoryTokens)
	}
	var own, held, idle int64
	for _, j := range engine.running {
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
	for _, p := range engine.cache.parts {
		count(p)
	}
	for _, j := range engine.running {
		for _, p := range j.pinned {
			count(p)
		}
	}
	if own != engine.ownTokens || held != engine.cache.cachedTokens || idle != engine.cache.idleTokens {
		h.Fatalf("own %d counted as %d, kept %d as %d, idle %d as %d", own, engine.ownTokens, held, engine.cache.cachedTokens, idle, engine.cache.idleTokens)
	}
}

// TestReadmittedJobIsNotInTheStep: a job that is preempted and admitted again while a step is under way has no part in that step, which was planned
// for what it lacked before. Otherwise its prompt counts as prefilled too early, or by more than it lacks, and the job never ends.
func TestReadmittedJobIsNotInTheStep(t *testing.T) {
	const preempted, urgent = 1, 2
	engine := New(Spec{Slots: 1, Queue: 1, MemoryTokens: 100, Stride: 1, Step: time.Millisecond, PrefillRate: 10, Chunk: 60}, 0)
	engine.Submit(0, Request{Key: preempted, AnswerTokens: 1, Priority: 1, Parts: []PromptPart{{ID: 1, Tokens: 50}}})
	stepEnds, _ := engine.Next()
	engine.Submit(time.Millisecond, Request{Key: urgent, AnswerTokens: 1, Parts: []PromptPart{{ID: 2, Tokens: 50}}})
	engine.Cancel(2*time.Millisecond, urgent)
	if outputs := engine.Advance(stepEnds); len(outputs) > 0 || engine.Figures().Prefilled != 0 {
		t.Errorf("at the end of the step in which it was preempted: %+v, %d tokens prefilled", outputs, engine.Figures().Prefilled)
	}
	if got := runUntil(engine, time.Second); !strings.Contains(got, "1 done") {
		t.Errorf("it does not end: %q", got)
	}
}
