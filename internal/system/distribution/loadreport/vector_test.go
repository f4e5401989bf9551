package loadreport

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

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
			w := v.ChangesSince(r.Cursor)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0: // lost
				continue
			case 1: // late
				old = append(old, w)
				continue
			case 2:
				v = NewVector(exact)
				v.Publish(now, loads)
				w = v.ChangesSince(r.Cursor)
				old = nil // those of a former life could not be told from news
			case 3:
				if len(old) > 0 {
					r.Apply(now, old[rapid.IntRange(0, len(old)-1).Draw(t, "which")])
				}
				w = v.ChangesSince(r.Cursor)
			}
			if !r.Apply(now, w) {
				t.Fatalf("refused %+v at %d", w, r.Number)
			}
			got := sumOf(r, now)
			for id, l := range loads {
				if g := got[id]; g != roundUpToUnits(l) && (exact || isMaterial(g, roundUpToUnits(l))) {
					t.Fatalf("%s: %+v for %+v", id, g, l)
				}
			}
		}
		v.Publish(now.Add(minorChangeDelay), loads)
		if r.Apply(now, v.ChangesSince(r.Cursor)); !maps.Equal(sumOf(r, now), told(loads)) {
			t.Fatalf("in the end %+v for %+v", sumOf(r, now), loads)
		}
		if got := sumOf(r, now.Add(TTL+1)); len(got) > 0 {
			t.Fatalf("counts after its life: %v", got)
		}
	})
}

func FuzzReceived(f *testing.F) {
	v := NewVector(true)
	v.Publish(time.Now(), map[string]pick.Load{"a": {Requests: 1}, "b": {Tokens: 70000}})
	f.Add(v.ChangesSince(softstate.Cursor{}).GetBody())
	f.Fuzz(func(_ *testing.T, b []byte) {
		var r Received
		r.Apply(time.Now(), &distributionpb.Loads{Boot: 1, Number: 1, Body: b})
		sumOf(&r, time.Now())
	})
}
