package controlstate

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// configBody returns a complete configuration; mark distinguishes configurations of the same revision.
func configBody(revision int64, mark string) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"routes":[{"name":"r","hostname":"h","path_prefix":"/","timeout_ms":1,"target":"s"}],`+
		`"services":[{"name":"s"}],"mark":%q}`, revision, mark)
}

func amendmentBody(revision int64, mark string) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"upsert":{"routes":[{"name":%q,"hostname":"h","path_prefix":"/%s/","timeout_ms":1,"target":"s"}]}}`,
		revision, mark, mark)
}

// requireAccepted checks that a change is accepted, and returns the state after it.
func requireAccepted(t testing.TB, s *State, c Change) *State {
	t.Helper()
	v := s.Check(c)
	if v.Kind != Accepted || v.Seq != s.Seq+1 || v.Reason != "" {
		t.Fatalf("verdict %+v, want Accepted", v)
	}
	next, err := s.Apply(c.Record(v.Seq))
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestExamples(t *testing.T) {
	read := func(name string) []byte {
		b, err := os.ReadFile("../config/testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	state := requireAccepted(t, Empty(), Change{Op: OpReplace, Body: read("replace.json")})
	state = requireAccepted(t, state, Change{Op: OpAmend, Base: 7, Body: read("amend.json")})
	if state.Seq != 2 || state.Revision() != 9 || state.Config.Match("ficu95.example:80", "/lohu930/2f") == nil {
		t.Errorf("unexpected state after the examples: %+v", state)
	}
}

func TestCheck(t *testing.T) {
	state := requireAccepted(t, Empty(), Change{Op: OpReplace, Body: configBody(5, "a")})             // record 1
	state = requireAccepted(t, state, Change{Op: OpEvacuate, Zone: "z"})                              // record 2
	state = requireAccepted(t, state, Change{Op: OpAmend, Base: 5, Body: amendmentBody(8, "b")})      // record 3
	state = requireAccepted(t, state, Change{Op: OpNone})                                             // record 4
	state = requireAccepted(t, state, Change{Op: OpReplace, Base: 8, Body: configBody(9, "c")})       // record 5
	state = requireAccepted(t, state, Change{Op: OpEvacuate, Zone: strings.Repeat("y", 255)})         // record 6
	state = requireAccepted(t, state, Change{Op: OpReadmit, Base: 6, Zone: strings.Repeat("y", 255)}) // record 7
	for _, test := range []struct {
		name   string
		change Change
		kind   Kind
		seq    uint64
	}{
		{"the next", Change{Op: OpReplace, Base: 9, Body: configBody(10, "")}, Accepted, 8},
		{"in uneven steps", Change{Op: OpReplace, Base: 9, Body: configBody(1<<40, "")}, Accepted, 8},
		{"sent again", Change{Op: OpReplace, Base: 8, Body: configBody(9, "c")}, AlreadyApplied, 5},
		{"an older one sent again", Change{Op: OpReplace, Base: 0, Body: configBody(5, "a")}, AlreadyApplied, 1},
		{"an older amendment sent again", Change{Op: OpAmend, Base: 5, Body: amendmentBody(8, "b")}, AlreadyApplied, 3},
		{"sent again on another base", Change{Op: OpReplace, Base: 7, Body: configBody(9, "c")}, Stale, 5},
		{"sent again as another operation", Change{Op: OpAmend, Base: 0, Body: configBody(5, "a")}, Stale, 5},
		{"another of the same number", Change{Op: OpReplace, Base: 8, Body: configBody(9, "d")}, Stale, 5},
		{"on no version", Change{Op: OpReplace, Base: 0, Body: configBody(10, "")}, Stale, 5},
		{"on a version to come", Change{Op: OpReplace, Base: 12, Body: configBody(13, "")}, Stale, 5},
		{"stale and invalid", Change{Op: OpReplace, Base: 8, Body: []byte("{")}, Stale, 5},
		{"the current number", Change{Op: OpReplace, Base: 9, Body: configBody(9, "e")}, Invalid, 5},
		{"a lower number", Change{Op: OpReplace, Base: 9, Body: configBody(8, "")}, Invalid, 5},
		{"an amendment with the current number", Change{Op: OpAmend, Base: 9, Body: amendmentBody(9, "b")}, Invalid, 5},
		{"not complete", Change{Op: OpReplace, Base: 9, Body: []byte("{")}, Invalid, 5},
		{"an evacuation", Change{Op: OpEvacuate, Zone: "x"}, Accepted, 8},
		{"an evacuation applied meanwhile", Change{Op: OpEvacuate, Base: 1, Zone: "z"}, AlreadyApplied, 7},
		{"an evacuation in force", Change{Op: OpEvacuate, Base: 2, Zone: "z"}, Accepted, 8},
		{"the end of one", Change{Op: OpReadmit, Base: 2, Zone: "z"}, Accepted, 8},
		{"the end of one, from before it", Change{Op: OpReadmit, Base: 1, Zone: "z"}, Superseded, 7},
		{"the end of one, from before it all", Change{Op: OpReadmit, Zone: "z"}, Superseded, 7},
		{"an evacuation from before its end", Change{Op: OpEvacuate, Base: 6, Zone: strings.Repeat("y", 255)}, Superseded, 7},
		{"the end of none", Change{Op: OpReadmit, Zone: "x"}, Accepted, 8},
		{"no zone", Change{Op: OpEvacuate}, Invalid, 0},
		{"no zone to readmit", Change{Op: OpReadmit}, Invalid, 0},
		{"a name too long", Change{Op: OpEvacuate, Zone: strings.Repeat("y", 256)}, Invalid, 0},
		{"an unknown operation", Change{Op: 99}, Invalid, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if v := state.Check(test.change); v.Kind != test.kind || v.Seq != test.seq || (v.Reason == "") != (test.kind == Accepted) {
				t.Errorf("verdict %+v, want kind %d and record %d", v, test.kind, test.seq)
			}
		})
	}
	first := Empty()
	if v := first.Check(Change{Op: OpAmend, Body: amendmentBody(1, "a")}); v.Kind != Invalid {
		t.Errorf("amendment of the empty state: %+v", v)
	}
	if v := first.Check(Change{Op: OpReplace, Base: 3, Body: configBody(5, "")}); v.Kind != Stale || v.Seq != 0 {
		t.Errorf("first change with a base version: %+v", v)
	}
}

func TestApplyRejects(t *testing.T) {
	state := requireAccepted(t, Empty(), Change{Op: OpReplace, Body: configBody(5, "a")})
	for _, test := range []struct {
		record Record
		want   error
	}{
		{Record{Seq: 1, Op: OpNone}, ErrOutOfOrder},
		{Record{Seq: 3, Op: OpNone}, ErrOutOfOrder},
		{Record{Seq: 2, Op: OpReplace, Base: 4, Body: configBody(6, "")}, ErrRefused},
		{Record{Seq: 2, Op: OpReplace, Base: 5, Body: configBody(5, "")}, ErrRefused},
		{Record{Seq: 2, Op: OpAmend, Base: 5, Body: []byte("{")}, ErrRefused},
		{Record{Seq: 2, Op: OpEvacuate}, ErrRefused},
		{Record{Seq: 2, Op: 77}, ErrRefused},
	} {
		if _, err := state.Apply(test.record); !errors.Is(err, test.want) {
			t.Errorf("%+v: %v", test.record, err)
		}
	}
}

// TestApplyReusesCheckedConfig: Apply reuses the configuration that Check has parsed, but only for the same change.
func TestApplyReusesCheckedConfig(t *testing.T) {
	s := requireAccepted(t, Empty(), Change{Op: OpReplace, Body: configBody(5, "a")})
	c := Change{Op: OpReplace, Base: 5, Body: configBody(6, "b")}
	s.Check(c)
	s.Check(Change{Op: OpReplace, Base: 5, Body: []byte("{")})
	checked := s.lastChecked.Load().config
	if next, err := s.Apply(c.Record(2)); err != nil || next.Config != checked {
		t.Errorf("%v", err)
	}
	other := Change{Op: OpReplace, Base: 5, Body: configBody(7, "c")}
	if next, err := s.Apply(other.Record(2)); err != nil || next.Revision() != 7 {
		t.Errorf("%v", err)
	}
}

// TestConcurrentUse uses one state from several goroutines.
func TestConcurrentUse(t *testing.T) {
	state := requireAccepted(t, Empty(), Change{Op: OpReplace, Body: configBody(5, "a")})
	var wg sync.WaitGroup
	for i := range int64(8) {
		wg.Go(func() {
			c := Change{Op: OpReplace, Base: 5, Body: configBody(6+i, "")}
			for range 50 {
				if v := state.Check(c); v.Kind != Accepted {
					t.Errorf("%+v", v)
				}
				next, err := state.Apply(c.Record(2))
				if err != nil || next.Revision() != 6+i {
					t.Errorf("%v", err)
				}
				_ = state.Encode()
			}
		})
	}
	wg.Wait()
}

// TestConcurrentOperatorsModel sends changes as two operators would, and checks every verdict against a simple model. A follower
// that receives only the records, and one that restores snapshots, have the same state.
func TestConcurrentOperatorsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newOperatorsModel()
		replicas := newReplicas()
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			change := model.drawChange(t, replicas.head.Seq)
			want := model.verdict(t, change, replicas.head.Seq)
			got := replicas.head.Check(change)
			if got.Kind != want {
				t.Fatalf("%+v: got %+v, want %d", change, got, want)
			}
			if want != Accepted {
				continue
			}
			replicas.apply(t, change.Record(got.Seq))
			if replicas.head.Revision() != model.revision {
				t.Fatalf("version %d, want %d", replicas.head.Revision(), model.revision)
			}
		}
		replicas.checkOldStates(t)
	})
}

// sentChange is a change that an operator has sent.
type sentChange struct {
	change  Change
	applied bool // whether it is an applied configuration change
}

// operatorsModel is a simple model of the state, with all changes that were sent.
type operatorsModel struct {
	sent      []sentChange
	evacuated map[string]bool
	changed   map[string]uint64 // by zone, the number of the record that last changed it
	revision  int64
}

func newOperatorsModel() *operatorsModel {
	return &operatorsModel{evacuated: map[string]bool{}, changed: map[string]uint64{}}
}

// drawChange draws a new change on the current or an older version, or a change that was sent before.
func (m *operatorsModel) drawChange(t *rapid.T, newest uint64) Change {
	base := m.revision - rapid.Int64Range(0, 1).Draw(t, "back")*rapid.Int64Range(0, 1).Draw(t, "back more")
	number := m.revision + rapid.Int64Range(-1, 3).Draw(t, "step")
	zoneChange := func(op Op) Change {
		return Change{Op: op, Base: rapid.Int64Range(0, int64(newest)).Draw(t, "known"),
			Zone: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "zone")}
	}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1:
		return Change{Op: OpReplace, Base: base, Body: configBody(number, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "mark"))}
	case 2:
		return Change{Op: OpAmend, Base: base, Body: amendmentBody(number, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"))}
	case 3:
		if len(m.sent) > 0 {
			return rapid.SampledFrom(m.sent).Draw(t, "again").change
		}
	case 5:
		return zoneChange(OpReadmit)
	}
	return zoneChange(OpEvacuate)
}

// verdict returns the verdict that a change must get, and applies the change to the model if it is accepted.
func (m *operatorsModel) verdict(t *rapid.T, change Change, newest uint64) Kind {
	isConfig := change.Op == OpReplace || change.Op == OpAmend
	var want Kind
	if isConfig {
		want = m.configVerdict(t, change)
	} else {
		want = m.zoneVerdict(change, newest)
	}
	m.sent = append(m.sent, sentChange{change, want == Accepted && isConfig})
	return want
}

func (m *operatorsModel) configVerdict(t *rapid.T, change Change) Kind {
	wasApplied := func(s sentChange) bool { return s.applied && reflect.DeepEqual(s.change, change) }
	if slices.ContainsFunc(m.sent, wasApplied) {
		return AlreadyApplied
	}
	if change.Base != m.revision {
		return Stale
	}
	var revision int64
	if _, err := fmt.Sscanf(string(change.Body), `{"revision":%d`, &revision); err != nil {
		t.Fatal(err)
	}
	amendsNothing := change.Op == OpAmend && m.revision == 0
	if revision <= max(0, m.revision) || amendsNothing {
		return Invalid
	}
	m.revision = revision
	return Accepted
}

func (m *operatorsModel) zoneVerdict(change Change, newest uint64) Kind {
	isLate := m.changed[change.Zone] > uint64(change.Base)
	inForce := m.evacuated[change.Zone] == (change.Op == OpEvacuate)
	switch {
	case change.Zone == "":
		return Invalid
	case isLate && inForce:
		return AlreadyApplied
	case isLate:
		return Superseded
	}
	m.evacuated[change.Zone], m.changed[change.Zone] = change.Op == OpEvacuate, newest+1
	return Accepted
}

// replicas holds the head, a follower, and a replica that restores a snapshot after each record.
type replicas struct {
	head, follower, restored *State
	states                   []*State // states of the head after each record
	encoded                  [][]byte // encodings of states at the time they were created
}

func newReplicas() *replicas { return &replicas{head: Empty(), follower: Empty(), restored: Empty()} }

func (r *replicas) apply(t *rapid.T, record Record) {
	var err error
	for _, replica := range []**State{&r.head, &r.follower, &r.restored} {
		if *replica, err = (*replica).Apply(record); err != nil {
			t.Fatal(err)
		}
	}
	r.encoded, r.states = append(r.encoded, r.head.Encode()), append(r.states, r.head)
	if r.restored, err = Decode(r.restored.Encode()); err != nil {
		t.Fatal(err)
	}
	for _, replica := range []*State{r.follower, r.restored} {
		if !bytes.Equal(replica.Encode(), r.head.Encode()) {
			t.Fatal("a replica differs from the head")
		}
	}
}

// checkOldStates checks that no state was modified after it was created.
func (r *replicas) checkOldStates(t *rapid.T) {
	for i, state := range r.states {
		if !bytes.Equal(state.Encode(), r.encoded[i]) {
			t.Fatalf("state %d was modified after it was created", state.Seq)
		}
	}
}

func TestDecodeRejectsDamage(t *testing.T) {
	s := requireAccepted(t, Empty(), Change{Op: OpReplace, Body: configBody(5, "a")})
	encoded := requireAccepted(t, s, Change{Op: OpEvacuate, Zone: "z"}).Encode()
	for i := range encoded {
		other := slices.Clone(encoded)
		other[i] ^= 4
		if _, err := Decode(other); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("byte %d changed: %v", i, err)
		}
		if _, err := Decode(encoded[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
}

// FuzzDecode: for any bytes with a valid checksum, Decode either returns ErrCorrupt or a state that survives encoding and decoding
// unchanged.
func FuzzDecode(f *testing.F) {
	s := requireAccepted(f, Empty(), Change{Op: OpReplace, Body: configBody(5, "a")})
	s = requireAccepted(f, s, Change{Op: OpEvacuate, Zone: "z"})
	s = requireAccepted(f, s, Change{Op: OpAmend, Base: 5, Body: amendmentBody(1<<40, "b")})
	for _, s := range []*State{Empty(), s, s.WithoutHistory()} {
		encodedSeed := s.Encode()
		f.Add(encodedSeed[:len(encodedSeed)-8])
	}
	f.Add(binary.AppendUvarint([]byte{legacyStateFormat}, 1<<60))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(binary.LittleEndian.AppendUint64(slices.Clip(b), xxhash.Sum64(b)))
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatal(err)
			}
			return
		}
		encoded := s.Encode()
		again, err := Decode(encoded)
		if err != nil || !bytes.Equal(again.Encode(), encoded) || again.Seq != s.Seq || again.Revision() != s.Revision() ||
			!maps.Equal(again.Evacuated, s.Evacuated) || !reflect.DeepEqual(again.history, s.history) || !reflect.DeepEqual(again.zoneChanges, s.zoneChanges) {
			t.Fatalf("%+v became %+v: %v", s, again, err)
		}
	})
}
