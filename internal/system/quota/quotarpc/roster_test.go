package quotarpc

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
)

var errDiskFull = errors.New("disk full")

// memoryRoster is an in-memory store whose Save can be made to fail.
type memoryRoster struct {
	stored  Roster
	found   bool
	failing bool
}

func (m *memoryRoster) Load() (Roster, bool, error) { return m.stored, m.found, nil }

func (m *memoryRoster) Save(roster Roster) error {
	if m.failing {
		return errDiskFull
	}
	m.stored, m.found = roster, true
	return nil
}

func newTestRecorder(store RosterStore) *rosterRecorder {
	return newRosterRecorder(store, "disk-1", &log.Logger{Handler: discard.New()})
}

// TestRosterCoversBeforeLease checks that once a roster is kept, a node gets a lease only after every roster that may be stored names it.
func TestRosterCoversBeforeLease(t *testing.T) {
	store := &memoryRoster{}
	recorder, now := newTestRecorder(store), time.Now()
	if !recorder.covers(now, "a") {
		t.Error("a node gets no lease although no roster is kept")
	}
	recorder.record(now, 7, []string{"a"})
	if recorder.covers(now, "b") {
		t.Error("a node that is not in the roster may get a lease")
	}
	recorder.record(now, 7, []string{"a"})
	store.failing = true
	if recorder.save() || recorder.covers(now, "b") {
		t.Error("a node counts as recorded although the roster was not stored")
	}
	store.failing = false
	if !recorder.save() || !recorder.covers(now, "b") || !slices.Equal(store.stored.Nodes, []string{"a", "b"}) {
		t.Errorf("stored roster %v after a node had requested a lease", store.stored)
	}
}

// TestRosterForgetsBeforeSaving checks that a node that the next roster does not name gets no lease once that roster may be stored.
func TestRosterForgetsBeforeSaving(t *testing.T) {
	store := &memoryRoster{}
	recorder, now := newTestRecorder(store), time.Now()
	recorder.record(now, 7, []string{"a", "b"})
	recorder.save()
	recorder.record(now, 7, []string{"b"})
	store.failing = true
	recorder.save()
	if recorder.covers(now, "a") || !recorder.covers(now, "b") {
		t.Error("want node a not covered and node b covered while either roster may be stored")
	}
}

// TestRosterOfAnotherTermIsNotResumed guards against resuming from a roster when
// another node may have been the owner between the roster's epoch and the current one.
func TestRosterOfAnotherTermIsNotResumed(t *testing.T) {
	tests := []struct {
		name     string
		identity string
		epoch    uint64
		known    bool
	}{
		{"same epoch", "disk-1", 7, true},
		{"next epoch", "disk-1", 8, true},
		{"an epoch was missed", "disk-1", 9, false},
		{"an epoch of another chain", "disk-1", 6, false},
		{"another disk", "disk-2", 7, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &memoryRoster{stored: Roster{Identity: test.identity, Epoch: 7, Nodes: []string{"a"}}, found: true}
			nodes, known := newTestRecorder(store).resume(test.epoch)
			if known != test.known || known && !slices.Equal(nodes, []string{"a"}) {
				t.Errorf("resumed with nodes %q, known %v", nodes, known)
			}
		})
	}
}

// TestRosterFile checks that Load returns the roster saved last, and distinguishes a missing file from a damaged one.
func TestRosterFile(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "quota")
	file := NewRosterFile(folder)
	if _, found, err := file.Load(); found || err != nil {
		t.Errorf("empty folder: found %v, error %v", found, err)
	}
	for _, nodes := range [][]string{{"a"}, {"a", "b"}} {
		if err := file.Save(Roster{Identity: "disk-1", Epoch: 7, Nodes: nodes}); err != nil {
			t.Fatal(err)
		}
	}
	roster, found, err := file.Load()
	if err != nil || !found || roster.Epoch != 7 || roster.Identity != "disk-1" || !slices.Equal(roster.Nodes, []string{"a", "b"}) {
		t.Errorf("loaded %v, found %v, error %v", roster, found, err)
	}
	if err := os.WriteFile(filepath.Join(folder, rosterName), []byte(`{"version":1`), rosterFileMode); err != nil {
		t.Fatal(err)
	}
	if _, found, err := file.Load(); found || !errors.Is(err, ErrRosterDamaged) {
		t.Errorf("damaged file: found %v, error %v", found, err)
	}
}

// TestNoLeaseBetweenRecordAndSave guards against granting a lease to a node that the roster about to be stored does not name.
func TestNoLeaseBetweenRecordAndSave(t *testing.T) {
	store := &memoryRoster{}
	recorder, now := newTestRecorder(store), time.Now()
	recorder.record(now, 7, []string{"a", "b"})
	recorder.save()
	recorder.record(now, 7, []string{"b"})
	granted := recorder.covers(now, "a")
	recorder.save()
	if granted && !slices.Contains(store.stored.Nodes, "a") {
		t.Errorf("node a may get a lease, but the stored roster is %v", store.stored.Nodes)
	}
}

// TestNodeIsRecordedAfterFailedSave guards against a node that never gets a lease
// because, after a failed save, the roster that names it wrongly counts as stored.
func TestNodeIsRecordedAfterFailedSave(t *testing.T) {
	store := &memoryRoster{}
	recorder, now := newTestRecorder(store), time.Now()
	recorder.record(now, 7, []string{"a", "b"})
	recorder.save()
	recorder.record(now, 7, []string{"b"})
	store.failing = true
	recorder.save()
	store.failing = false
	recorder.covers(now, "a")
	recorder.record(now, 7, []string{"b"})
	recorder.save()
	if !recorder.covers(now, "a") {
		t.Errorf("node a still gets no lease, the stored roster is %v", store.stored.Nodes)
	}
}

// TestRecordedNodeHasTimeToCall guards against removing a node from the roster before it has had time to call again.
func TestRecordedNodeHasTimeToCall(t *testing.T) {
	recorder, now := newTestRecorder(&memoryRoster{}), time.Now()
	recorder.record(now, 7, []string{"a"})
	recorder.covers(now, "b")
	recorder.record(now, 7, []string{"a"})
	recorder.save()
	recorder.record(now.Add(time.Second), 7, []string{"a"})
	if !recorder.covers(now.Add(time.Second), "b") {
		t.Error("a node that was recorded a second ago gets no lease")
	}
}
