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

// published returns the loads as they are published.
func published(loads map[string]pick.Load) map[string]pick.Load {
	out := map[string]pick.Load{}
	for id, load := range loads {
		if load != (pick.Load{}) {
			out[id] = roundUpToUnits(load)
		}
	}
	return out
}

// TestReaderFollowsAVector: a reader follows a vector through lost, duplicated and late messages, and restarts of the writer.
func TestReaderFollowsAVector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		link := &lossyLink{exact: rapid.Bool().Draw(t, "exact"), loads: map[string]pick.Load{}}
		link.vector = NewVector(link.exact)
		now := time.Now()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			link.step(t, now)
		}
		link.vector.Publish(now.Add(minorChangeDelay), link.loads)
		reader := &link.reader
		if reader.Apply(now, link.vector.ChangesSince(reader.Cursor)); !maps.Equal(sumOf(reader, now), published(link.loads)) {
			t.Fatalf("the reader ends with %+v for loads %+v", sumOf(reader, now), link.loads)
		}
		if got := sumOf(reader, now.Add(TTL+1)); len(got) > 0 {
			t.Fatalf("loads are still counted after their TTL: %v", got)
		}
	})
}

// lossyLink is a vector and a reader, with messages between them that are lost, late or duplicated.
type lossyLink struct {
	exact  bool
	vector *Vector
	reader Received
	loads  map[string]pick.Load // as the writer has them
	late   []*distributionpb.Loads
}

// step changes a load and sends a message.
func (l *lossyLink) step(t *rapid.T, now time.Time) {
	id := fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "server"))
	l.loads[id] = pick.Load{Requests: rapid.IntRange(0, 300).Draw(t, "requests"), Prefill: rapid.Int64Range(0, 1e6).Draw(t, "prefill")}
	l.vector.Publish(now, l.loads)
	changes := l.vector.ChangesSince(l.reader.Cursor)
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0: // lost
		return
	case 1:
		l.late = append(l.late, changes)
		return
	case 2: // the writer restarts
		l.vector = NewVector(l.exact)
		l.vector.Publish(now, l.loads)
		changes = l.vector.ChangesSince(l.reader.Cursor)
		l.late = nil // messages of a former incarnation could not be distinguished from new ones
	case 3:
		if len(l.late) > 0 {
			l.reader.Apply(now, l.late[rapid.IntRange(0, len(l.late)-1).Draw(t, "which")])
		}
		changes = l.vector.ChangesSince(l.reader.Cursor)
	}
	if !l.reader.Apply(now, changes) {
		t.Fatalf("the reader rejected %+v at number %d", changes, l.reader.Number)
	}
	l.check(t, now)
}

// check compares the reader's loads with the writer's.
func (l *lossyLink) check(t *rapid.T, now time.Time) {
	received := sumOf(&l.reader, now)
	for id, load := range l.loads {
		got, want := received[id], roundUpToUnits(load)
		if got != want && (l.exact || isMaterial(got, want)) {
			t.Fatalf("server %s: the reader has %+v, the writer %+v", id, got, load)
		}
	}
}

func FuzzReceived(f *testing.F) {
	vector := NewVector(true)
	vector.Publish(time.Now(), map[string]pick.Load{"a": {Requests: 1}, "b": {Tokens: 70000}})
	f.Add(vector.ChangesSince(softstate.Cursor{}).GetBody())
	f.Fuzz(func(_ *testing.T, b []byte) {
		var r Received
		r.Apply(time.Now(), &distributionpb.Loads{Boot: 1, Number: 1, Body: b})
		sumOf(&r, time.Now())
	})
}
