package distribution

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

func contents(tb *Table) map[string]string {
	out := map[string]string{}
	for k, it := range tb.entries {
		out[k] = fmt.Sprint(it.Fence, it.Version, it.Deleted, string(it.Value))
	}
	return out
}

// Merging is commutative, associative and idempotent: any order, with repeats, ends in the same.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) Entry {
			return Entry{Key: rapid.SampledFrom([]string{"a", "b", "list"}).Draw(t, "key"), Fence: rapid.Uint64Range(0, 2).Draw(t, "fence"),
				Version: rapid.Uint64Range(0, 2).Draw(t, "version"), Deleted: rapid.Bool().Draw(t, "deleted"),
				Value: []byte(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value"))}
		})
		entries := rapid.SliceOfN(entry, 1, 12).Draw(t, "entries")
		again := rapid.Permutation(append(entries, entries[:len(entries)/2]...)).Draw(t, "again")
		now := time.Now()
		one, two := NewTable(), NewTable()
		for _, e := range entries {
			one.Merge(now, e, Age{})
		}
		for _, e := range again {
			two.Merge(now, e, Age{})
		}
		if !maps.Equal(contents(one), contents(two)) {
			t.Fatalf("%v, then %v", contents(one), contents(two))
		}
	})
}

// A reader that merges what came since its number holds what the table holds, whatever was forgotten in between.
func TestDeltasAddUpToTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		tb, reader, at := NewTable(), NewTable(), uint64(0)
		n := rapid.IntRange(1, 200).Draw(t, "steps")
		for i := range n {
			e := Entry{Key: fmt.Sprint("k", rapid.IntRange(0, 6).Draw(t, "key")), Version: uint64(i), Deleted: rapid.IntRange(0, 3).Draw(t, "deleted") == 0}
			tb.Merge(now, e, Age{})
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, 40 * time.Second}).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				tb.Expire(now)
			case 1:
				tb.compact()
			case 2:
				items, full := tb.ChangesSince(at)
				if full {
					reader = NewTable()
				}
				for _, w := range EncodeEntries(now, items) {
					e, age := DecodeEntry(w)
					reader.Merge(now, e, age)
				}
				at = tb.lastNumber
				tb.Expire(now)
				reader.Expire(now)
				if !maps.Equal(contents(tb), contents(reader)) {
					t.Fatalf("%v, the reader %v", contents(tb), contents(reader))
				}
			}
		}
	})
}

func sumOf(r *Received, now time.Time) map[string]pick.Load {
	out := map[string]pick.Load{}
	r.AddTo(now, out)
	return out
}

// told gives loads as they are told.
func told(loads map[string]pick.Load) map[string]pick.Load {
	out := map[string]pick.Load{}
	for id, l := range loads {
		if l != (pick.Load{}) {
			out[id] = roundUpToUnits(l)
		}
	}
	return out
}

// A reader follows a vector through lost, repeated and late answers, and lives of the writer.
func TestReaderFollowsAVector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		exact := rapid.Bool().Draw(t, "exact")
		v, r := NewVector(exact), &Received{}
		loads := map[string]pick.Load{}
		var old []*distributionpb.Loads
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			id := fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "server"))
			loads[id] = pick.Load{Requests: rapid.IntRange(0, 300).Draw(t, "requests"), Prefill: rapid.Int64Range(0, 1e6).Draw(t, "prefill")}
			v.Publish(now, loads)
			w := v.ChangesSince(r.bootID, r.number)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0: // lost
				continue
			case 1: // late
				old = append(old, w)
				continue
			case 2:
				v = NewVector(exact)
				v.Publish(now, loads)
				w = v.ChangesSince(r.bootID, r.number)
				old = nil // those of a former life could not be told from news
			case 3:
				if len(old) > 0 {
					r.Apply(now, old[rapid.IntRange(0, len(old)-1).Draw(t, "which")])
				}
				w = v.ChangesSince(r.bootID, r.number)
			}
			if !r.Apply(now, w) {
				t.Fatalf("refused %+v at %d", w, r.number)
			}
			got := sumOf(r, now)
			for id, l := range loads {
				if g := got[id]; g != roundUpToUnits(l) && (exact || isMaterial(g, roundUpToUnits(l))) {
					t.Fatalf("%s: %+v for %+v", id, g, l)
				}
			}
		}
		v.Publish(now.Add(minorChangeDelay), loads)
		if r.Apply(now, v.ChangesSince(r.bootID, r.number)); !maps.Equal(sumOf(r, now), told(loads)) {
			t.Fatalf("in the end %+v for %+v", sumOf(r, now), loads)
		}
		if got := sumOf(r, now.Add(LoadTTL+1)); len(got) > 0 {
			t.Fatalf("counts after its life: %v", got)
		}
	})
}

func FuzzReading(f *testing.F) {
	v := NewVector(true)
	v.Publish(time.Now(), map[string]pick.Load{"a": {Requests: 1}, "b": {Tokens: 70000}})
	f.Add(v.ChangesSince(0, 0).GetBody())
	f.Fuzz(func(_ *testing.T, b []byte) {
		var r Received
		r.Apply(time.Now(), &distributionpb.Loads{Boot: 1, Number: 1, Body: b})
		sumOf(&r, time.Now())
	})
}

func newIdleHub() *Server {
	return NewServer(ServerOptions{Source: &source{chain: newChain(), keepers: []string{"k"}}, Self: "k", Log: quiet()})
}

func TestListWritesOnlyWhatDiffers(t *testing.T) {
	h := newIdleHub()
	list := []pick.Server{{ID: "a", Service: "x", WarmUpMax: 3 * time.Second}, {ID: "b", Service: "x"}}
	put := func(fence, version uint64, age time.Duration, want uint64) {
		t.Helper()
		before := h.table.lastUrgent
		if err := h.PutList(fence, version, list, madeAgo(exactAge(age))); err != nil {
			t.Fatal(err)
		}
		if h.table.lastUrgent-before > 0 != (want > 0) {
			t.Errorf("%d urgent changes", h.table.lastUrgent-before)
		}
	}
	put(1, 1, 0, 1)
	put(1, 2, 0, 0)
	list[0].WarmUpMax = 2800 * time.Millisecond
	put(1, 3, 0, 0)
	list[0].WarmUpMax = time.Second
	put(1, 4, 0, 1)
	list[1].Draining = true
	put(1, 5, 0, 1)
	put(2, 1, 0, 1) // another poller takes over: others may hold more of what the former one told than it knows of
	put(2, 2, 0, 0)
	list = list[1:]
	put(2, 3, 0, 1)
	if err := h.PutList(1, 99, nil, madeAgo(Age{})); !errors.Is(err, ErrStale) {
		t.Errorf("a poller that lost its duty: %v", err)
	}
	got, age, ok := h.List()
	if !ok || age > time.Minute || len(got) != 1 || !got[0].Draining {
		t.Errorf("holds %+v, %v, %v", got, age, ok)
	}
	list = nil
	put(2, 0, 0, 1) // it started anew
	list = []pick.Server{{ID: "a"}}
	put(2, 1, 0, 1) // the same server is back
	if got, _, _ := h.List(); len(got) != 1 {
		t.Errorf("holds %+v", got)
	}
}

func TestPutRejectsStaleEntry(t *testing.T) {
	h := newIdleHub()
	if err := h.Put("hint/x", 2, 1, []byte("1")); err != nil {
		t.Fatal(err)
	}
	for _, e := range [][2]uint64{{1, 9}, {2, 0}, {2, 1}} {
		if err := h.Put("hint/x", e[0], e[1], []byte("1")); !errors.Is(err, ErrStale) {
			t.Errorf("%v: %v", e, err)
		}
	}
	if err := h.Remove("hint/x", 2, 2); err != nil || len(h.Table()) != 0 {
		t.Errorf("%v, %v", err, h.Table())
	}
}

func TestServerTimesCountDown(t *testing.T) {
	in := pick.Server{ID: "a", Service: "s", Address: "h:1", Zone: "z", Region: "r", Slots: 4, Draining: true,
		Remaining: 2 * time.Second, WarmUpMax: 3 * time.Second}
	told, ok := decodeServer("a", EncodeServer(in))
	if !ok || told != in {
		t.Errorf("told %+v", told)
	}
	// What forbids ends late and what permits ends early, as far as the age is known. What is least left lacks the margin that
	// was added to the end, and what was rounded up.
	got := CountDown(told, Age{Min: 300 * time.Millisecond, Max: 500 * time.Millisecond})
	in.Remaining, in.WarmUpMax, in.WarmUpMin = 1500*time.Millisecond, 2700*time.Millisecond, 2478*time.Millisecond
	if got != in {
		t.Errorf("got %+v", got)
	}
	if got = CountDown(told, exactAge(time.Minute)); got.WarmUpMax != 0 || got.WarmUpMin != 0 || got.Remaining != time.Millisecond {
		t.Errorf("after all: %+v", got)
	}
}

// A keeper that stood still must not take the silence of all for theirs.
func TestPausedNodeMarksNobodyDown(t *testing.T) {
	h := newIdleHub()
	now := time.Now()
	m := Member{Node: "p", Incarnation: 5}
	h.endCall(h.beginCall(m, &distributionpb.FollowRequest{Member: m.ToProto()}))
	down := func() bool { return h.Members()[0].Down }
	h.tick(now.Add(100 * time.Millisecond))
	h.tick(now.Add(20 * time.Second))
	if down() {
		t.Error("down after a freeze")
	}
	for i := range 30 {
		h.tick(now.Add(20*time.Second + time.Duration(i)*100*time.Millisecond))
	}
	if !down() {
		t.Error("not down though silent")
	}
	h.endCall(h.beginCall(m, &distributionpb.FollowRequest{Member: m.ToProto()}))
	if down() {
		t.Error("its call does not refute")
	}
}

func TestVerdictsOfOthers(t *testing.T) {
	h := newIdleHub()
	now := time.Now()
	m := Member{Node: "p", Incarnation: 5}
	h.endCall(h.beginCall(m, &distributionpb.FollowRequest{Member: m.ToProto()}))
	other := Member{Node: "q", Incarnation: 6}
	say := func(incarnation uint64) bool {
		h.endCall(h.beginCall(other, &distributionpb.FollowRequest{Member: other.ToProto(), Down: []*distributionpb.Verdict{{Node: "p", Incarnation: incarnation}}}))
		return h.Members()[0].Down
	}
	if say(5) {
		t.Error("a proxy that just called is down")
	}
	h.subscribers["p"].lastCall = now.Add(-time.Second)
	if say(4) {
		t.Error("a verdict on another life counts")
	}
	if !say(5) {
		t.Error("a verdict on a silent proxy does not count")
	}
}

// TestEndedConnectionMarksDown: a process that ends takes its held call with it, and is down soon; one that calls again, as
// after a reset, stays. Danger: clients are sent to proxies that are gone for as long as silence takes to tell.
func TestEndedConnectionMarksDown(t *testing.T) {
	h := newIdleHub()
	now := time.Now()
	h.lastTick = now
	down := func(node string) bool {
		t.Helper()
		for _, m := range h.Members() {
			if m.Node == node {
				return m.Down
			}
		}
		t.Fatalf("%s is no member", node)
		return false
	}
	for _, node := range []string{"ended", "reset", "held"} {
		f := h.beginCall(Member{Node: node, Incarnation: 7, Revision: 1}, &distributionpb.FollowRequest{})
		if node != "held" {
			h.recordLostConnection(f)
			h.endCall(f)
		}
	}
	h.endCall(h.beginCall(Member{Node: "reset", Incarnation: 7, Revision: 1}, &distributionpb.FollowRequest{}))
	for i := range 6 {
		h.tick(now.Add(time.Duration(i+1) * 100 * time.Millisecond))
	}
	if !down("ended") || down("reset") || down("held") {
		t.Errorf("after 600 ms: ended %v, reset %v, held %v", down("ended"), down("reset"), down("held"))
	}
	h.endCall(h.beginCall(Member{Node: "ended", Incarnation: 8, Revision: 1}, &distributionpb.FollowRequest{}))
	if down("ended") {
		t.Error("its next life is still down")
	}
}

// madeAgo is when something was made that is so old now.
func madeAgo(age Age) TimeBounds { return age.madeBetween(time.Now()) }

// exactAge is the age of what is known to be d old.
func exactAge(d time.Duration) Age { return Age{d, d} }
