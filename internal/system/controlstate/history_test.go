package controlstate

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/fields"
)

// applyMany applies count configuration changes, each with a revision three above its predecessor's.
func applyMany(t testing.TB, count int) (*State, []Change) {
	t.Helper()
	s := Empty()
	var all []Change
	for i := range int64(count) {
		c := Change{Op: OpReplace, Base: s.Revision(), Body: configBody(i*3+1, "")}
		if i%5 == 4 {
			c = Change{Op: OpAmend, Base: s.Revision(), Body: amendmentBody(i*3+1, "a")}
		}
		s = requireAccepted(t, s, c)
		all = append(all, c)
	}
	return s, all
}

// roundTrip returns the state after encoding and decoding it, as on a node that restored a snapshot.
func roundTrip(t testing.TB, s *State) *State {
	t.Helper()
	out, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestRetriedChange: an applied change that is retried is confirmed as long as it is remembered, and is never refused after that. A
// different change on the same version is refused as long as the history still covers that version.
func TestRetriedChange(t *testing.T) {
	const forgotten = 30
	applied, all := applyMany(t, MaxHistory+forgotten)
	for name, state := range map[string]*State{"as it is": applied, "after a snapshot": roundTrip(t, applied)} {
		t.Run(name, func(t *testing.T) {
			for index, change := range all[:forgotten] {
				requireVerdict(t, state, change, Verdict{Kind: Uncertain, Seq: uint64(len(all))})
				requireKind(t, state, withOtherBody(change), Uncertain, "another change on the version of forgotten change", index)
			}
			for index, change := range all[forgotten:] {
				requireVerdict(t, state, change, Verdict{Kind: AlreadyApplied, Seq: uint64(forgotten + index + 1)})
				requireKind(t, state, withOtherBody(change), Stale, "another change on the version of change", forgotten+index)
			}
			for _, base := range []int64{state.history.baseRevision + 1, state.Revision() + 1, -1} {
				if v := state.Check(Change{Op: OpReplace, Base: base, Body: all[0].Body}); v.Kind != Stale {
					t.Fatalf("change on version %d, which never existed: %+v", base, v)
				}
			}
		})
	}
}

func withOtherBody(change Change) Change {
	change.Body = append([]byte(" "), change.Body...)
	return change
}

// requireVerdict checks the kind and the sequence number of the verdict on a change, and that it gives a reason.
func requireVerdict(t *testing.T, state *State, change Change, want Verdict) {
	t.Helper()
	if got := state.Check(change); got.Kind != want.Kind || got.Seq != want.Seq || got.Reason == "" {
		t.Fatalf("change on version %d: %+v, want %+v", change.Base, got, want)
	}
}

// requireKind checks the kind of the verdict on a change, and that it gives a reason.
func requireKind(t *testing.T, state *State, change Change, want Kind, what string, index int) {
	t.Helper()
	if got := state.Check(change); got.Kind != want || got.Reason == "" {
		t.Fatalf("%s %d: %+v, want %d", what, index, got, want)
	}
}

// TestDigestIdentifiesChange: two changes have the same digest if and only if operation, base revision, body and zone are the same.
func TestDigestIdentifiesChange(t *testing.T) {
	c := Change{Op: OpReplace, Base: 5, Body: configBody(6, "a")}
	for what, other := range map[string]Change{
		"operation": {Op: OpAmend, Base: 5, Body: c.Body}, "base": {Op: OpReplace, Base: 4, Body: c.Body},
		"body": {Op: OpReplace, Base: 5, Body: configBody(6, "b")}, "length": {Op: OpReplace, Base: 5, Body: append(configBody(6, "a"), ' ')},
		"zone": {Op: OpReplace, Base: 5, Body: c.Body[:len(c.Body)-1], Zone: "}"},
	} {
		if other.digest() == c.digest() {
			t.Errorf("a change with a different %s has the same digest", what)
		}
	}
	same := Change{Op: OpReplace, Base: 5, Body: slices.Clone(c.Body)}
	if same.digest() != c.digest() {
		t.Error("two equal changes have different digests")
	}
}

// TestCollisionOnAnotherVersion: a digest is compared only with that of the change on the same revision, so an equal digest on
// another revision never confirms a change.
func TestCollisionOnAnotherVersion(t *testing.T) {
	s, all := applyMany(t, 10)
	c := Change{Op: OpReplace, Base: all[4].Base, Body: configBody(1000, "")}
	s.history.changes[7].Digest = c.digest()
	if v := s.Check(c); v.Kind != Stale {
		t.Errorf("verdict on a change whose digest is that of a change on another revision: %+v, want Stale", v)
	}
}

// TestHistoryIsBounded: the number of changes in the history and their size in an encoding are bounded.
func TestHistoryIsBounded(t *testing.T) {
	s, _ := applyMany(t, MaxHistory+10)
	if n := len(s.history.changes); n != MaxHistory {
		t.Errorf("%d changes remembered, want %d", n, MaxHistory)
	}
	added := len(s.Encode()) - len(s.Config.Raw)
	t.Logf("%d changes add %d bytes to an encoding", MaxHistory, added)
	if limit := 18*MaxHistory + 64; added > limit {
		t.Errorf("the encoding takes %d bytes besides the configuration, want at most %d", added, limit)
	}
	if added := len(s.WithoutHistory().Encode()) - len(s.Config.Raw); added > 64 {
		t.Errorf("the encoding of a state without history takes %d bytes besides the configuration, want at most 64", added)
	}
}

// TestWithoutHistory: a state without history applies records like any other state, and does not refuse a change that may have been
// applied.
func TestWithoutHistory(t *testing.T) {
	full, all := applyMany(t, 20)
	full = requireAccepted(t, full, Change{Op: OpEvacuate, Base: int64(full.Seq), Zone: "z"})
	withoutHistory := roundTrip(t, full.WithoutHistory())
	for _, c := range all {
		if v := withoutHistory.Check(c); v.Kind != Uncertain {
			t.Fatalf("verdict of a state without history on an applied change: %+v, want Uncertain", v)
		}
	}
	if v := withoutHistory.Check(Change{Op: OpReadmit, Base: int64(withoutHistory.Seq) - 1, Zone: "z"}); v.Kind != Superseded {
		t.Errorf("verdict on a readmission sent before the evacuation: %+v, want Superseded", v)
	}
	for _, c := range []Change{
		{Op: OpAmend, Base: full.Revision(), Body: amendmentBody(100, "b")}, {Op: OpReplace, Base: 100, Body: configBody(101, "")},
		{Op: OpReadmit, Base: 21, Zone: "z"}, {Op: OpEvacuate, Base: 21, Zone: "y"},
	} {
		r := c.Record(full.Seq + 1)
		full = requireAccepted(t, full, c)
		next, err := withoutHistory.Apply(r)
		if err != nil {
			t.Fatal(err)
		}
		withoutHistory = next
	}
	if string(withoutHistory.Encode()) != string(full.WithoutHistory().Encode()) || len(withoutHistory.history.changes) > 0 {
		t.Error("the state without history differs from the full one, or remembers configuration changes")
	}
	for zone, want := range map[string]uint64{"z": 24, "y": 25, "x": 0} {
		if a, b := withoutHistory.ZoneChangeSeq(zone), full.ZoneChangeSeq(zone); a != want || b != want {
			t.Errorf("zone %s was last changed by record %d, or by %d according to the state without history; want %d", zone, b, a, want)
		}
	}
}

// legacyEncoding encodes a state as earlier versions of the software did.
func legacyEncoding(state *State, all []Change) []byte {
	b := binary.AppendUvarint([]byte{1}, state.Seq)
	b = binary.AppendUvarint(b, uint64(len(state.Evacuated)))
	for zone := range state.Evacuated {
		b = fields.AppendBytes(b, zone)
	}
	first := max(0, len(all)-256)
	b = binary.AppendUvarint(b, uint64(len(all)-first))
	for i, c := range all[first:] {
		b = binary.AppendVarint(b, int64(first+i)*3+1)
		sum := c.legacyDigest()
		b = append(b, sum[:8]...)
		b = binary.AppendUvarint(b, uint64(first+i+1))
	}
	b = fields.AppendBytes(append(b, 1), state.Config.Raw)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// TestDecodeLegacy: a snapshot of an earlier version of the software is decoded, and its history recognises retries, also after this
// version has encoded it again and applied further changes.
func TestDecodeLegacy(t *testing.T) {
	for _, count := range []int{1, 255, 256, 300} {
		state, all := applyMany(t, count)
		state = requireAccepted(t, state, Change{Op: OpEvacuate, Zone: "z"})
		old, err := Decode(legacyEncoding(state, all))
		if err != nil {
			t.Fatal(err)
		}
		old = roundTrip(t, old)
		next := Change{Op: OpReplace, Base: old.Revision(), Body: configBody(10_000, "")}
		old = requireAccepted(t, old, next)
		old = requireAccepted(t, roundTrip(t, old), Change{Op: OpReplace, Base: 10_000, Body: configBody(10_001, "")})
		for i, c := range append(slices.Clone(all), next) {
			want := AlreadyApplied
			if count >= 256 && i < count-255 {
				want = Uncertain
			}
			if v := old.Check(c); v.Kind != want {
				t.Fatalf("%d changes: change %d: %+v", count, i, v)
			}
			c.Body = append([]byte(" "), c.Body...)
			if v := old.Check(c); v.Kind == AlreadyApplied || v.Kind == Accepted {
				t.Fatalf("%d changes: another change on the version of change %d: %+v", count, i, v)
			}
		}
		if !old.Evacuated["z"] {
			t.Error("the evacuation of zone z is lost")
		}
		if v := old.Check(Change{Op: OpReadmit, Base: int64(state.Seq) - 1, Zone: "z"}); v.Kind != Superseded {
			t.Errorf("verdict on a readmission sent before the evacuation: %+v, want Superseded", v)
		}
		requireAccepted(t, old, Change{Op: OpReadmit, Base: int64(state.Seq), Zone: "z"})
	}
}

func TestDecodeRejectsUnknownFormat(t *testing.T) {
	b := Empty().Encode()
	b[0] = stateFormat + 1
	b = binary.LittleEndian.AppendUint64(b[:len(b)-8], xxhash.Sum64(b[:len(b)-8]))
	if _, err := Decode(b); !errors.Is(err, ErrCorrupt) {
		t.Errorf("decoding an unknown format: %v, want ErrCorrupt", err)
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{10 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := Change{Op: OpReplace, Base: 5, Body: make([]byte, size)}
			b.SetBytes(int64(size))
			for b.Loop() {
				c.digest()
			}
		})
	}
}
