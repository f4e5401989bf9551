package client

import (
	"errors"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// readerModel is a Reader, the truth that the registry has, and a consumer that applies the changes that the reader returns.
type readerModel struct {
	t         *rapid.T
	reader    *Reader
	now       time.Time
	consumer  map[string]list.Target
	truth     []map[string]list.Target // by revision
	changes   []list.Target            // that of revision i is at i-1
	confirmed int                      // the revision of the last second reading
}

// TestReader applies a random course of lists. The revision never falls, the consumer has what the reader has, and once nothing is suspected the reader
// has the truth.
func TestReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &readerModel{
			t:        t,
			reader:   NewReader(ShrinkLimits{MaxShare: 0.4, MinCount: 1, ConfirmAfter: time.Second, ReleaseInterval: 3 * time.Second}),
			now:      time.Unix(1000, 0),
			consumer: map[string]list.Target{},
			truth:    []map[string]list.Target{{}},
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			model.now = model.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			model.step()
			model.check()
		}
	})
}

func (rm *readerModel) step() {
	switch rapid.IntRange(0, 5).Draw(rm.t, "action") {
	case 0, 1:
		rm.changeFleet()
	case 2:
		rm.receiveChanges()
	case 3:
		rm.receiveComplete()
	case 4:
		rm.confirm()
	case 5:
		rm.apply(rm.reader.ReleaseMissing(rm.now))
	}
}

func (rm *readerModel) last() int { return len(rm.truth) - 1 }

func (rm *readerModel) apply(changes []list.Target) {
	for _, change := range changes {
		applyChange(rm.consumer, change)
	}
}

func applyChange(targets map[string]list.Target, change list.Target) {
	if change.State == list.Deleted {
		delete(targets, change.UID)
	} else {
		targets[change.UID] = change
	}
}

// completeAt returns the complete list of a revision.
func (rm *readerModel) completeAt(revision int) list.List {
	complete := list.List{Rev: int64(revision), All: true, Cluster: "c"}
	for _, target := range rm.truth[revision] {
		complete.Targets = append(complete.Targets, target)
	}
	return complete
}

func (rm *readerModel) changeFleet() {
	next := maps.Clone(rm.truth[rm.last()])
	state := rapid.SampledFrom([]list.State{list.Serving, list.Draining, list.Deleted})
	change := target(rapid.IntRange(0, 8).Draw(rm.t, "server"), state.Draw(rm.t, "state"))
	applyChange(next, change)
	rm.truth, rm.changes = append(rm.truth, next), append(rm.changes, change)
}

// receiveChanges has the reader receive the changes up to some revision.
func (rm *readerModel) receiveChanges() {
	from := rm.reader.Revision()
	if from < 0 {
		return
	}
	to := rapid.IntRange(int(from), rm.last()).Draw(rm.t, "to")
	changes, err := rm.reader.Receive(list.List{Rev: int64(to), Cluster: "c", Targets: rm.changes[from:to]}, rm.now)
	if err != nil {
		rm.t.Fatal(err)
	}
	rm.apply(changes)
}

// receiveComplete has the reader receive a complete list, perhaps an old one. Unless it is suspected, it removes no more servers than the limits allow.
func (rm *readerModel) receiveComplete() {
	revision := rapid.IntRange(0, rm.last()).Draw(rm.t, "revision")
	before := rm.reader.Revision()
	servers, missing := len(rm.reader.List().Targets), rm.reader.Missing()
	changes, err := rm.reader.Receive(rm.completeAt(revision), rm.now)
	regressed := int64(revision) < before
	if (err != nil) != regressed || err != nil && !errors.Is(err, ErrRevisionRegressed) {
		rm.t.Fatalf("revision %d after %d: %v", revision, before, err)
	}
	rm.apply(changes)
	removed := servers - len(rm.reader.List().Targets)
	if err == nil && missing == 0 && rm.reader.Missing() == 0 && removed > max(1, servers*4/10) {
		rm.t.Fatalf("%d of %d servers went at once", removed, servers)
	}
}

func (rm *readerModel) confirm() {
	if !rm.reader.NeedsConfirmation(rm.now) {
		return
	}
	changes, err := rm.reader.Confirm(rm.completeAt(rm.last()))
	if err != nil {
		rm.t.Fatal(err)
	}
	rm.apply(changes)
	rm.confirmed = rm.last()
}

func (rm *readerModel) check() {
	if !maps.Equal(rm.consumer, rm.reader.targets) {
		rm.t.Fatalf("the reader has %v, the consumer %v", rm.reader.targets, rm.consumer)
	}
	revision := rm.reader.Revision()
	settled := rm.reader.Missing() == 0 && !rm.reader.suspected
	if revision >= int64(rm.confirmed) && settled && !maps.Equal(rm.reader.targets, rm.truth[revision]) {
		rm.t.Fatalf("at revision %d the reader has %v, want %v", revision, rm.reader.targets, rm.truth[revision])
	}
}
