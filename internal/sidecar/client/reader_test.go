package client

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

func target(i int, state list.State) list.Target {
	return list.Target{UID: fmt.Sprintf("s-%d", i), Endpoint: fmt.Sprintf("10.0.0.%d:80", i+1), State: state}
}

// completeList is a complete list of serving servers.
func completeList(revision int64, servers ...int) list.List {
	complete := list.List{Rev: revision, All: true, Cluster: "c"}
	for _, i := range servers {
		complete.Targets = append(complete.Targets, target(i, list.Serving))
	}
	return complete
}

// changesText names the servers of changes with their states.
func changesText(changes []list.Target) string {
	text := ""
	for _, change := range changes {
		text += change.UID + " " + string(change.State) + "; "
	}
	return text
}

// shrunkenReader has a list that lost most of its servers.
func shrunkenReader(t *testing.T, now time.Time) *Reader {
	t.Helper()
	r := NewReader(DefaultShrinkLimits)
	if _, err := r.Receive(completeList(5, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9), now); err != nil {
		t.Fatal(err)
	}
	changes, err := r.Receive(completeList(9, 0, 1, 10), now)
	if err != nil || changesText(changes) != "s-10 SERVING; " || r.Missing() != 8 {
		t.Fatalf("changes %s, %v, missing %d", changesText(changes), err, r.Missing())
	}
	return r
}

// TestShrunkenList receives a list that lost most of its servers: they stay until a second reading, or go in steps.
func TestShrunkenList(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("a second reading", func(t *testing.T) {
		r := shrunkenReader(t, now)
		if r.NeedsConfirmation(now) || !r.NeedsConfirmation(now.Add(DefaultShrinkLimits.ConfirmAfter)) {
			t.Error("the second reading is not asked for in its time")
		}
		changes, err := r.Confirm(completeList(9, 0, 1, 2, 10))
		if err != nil || len(changes) != 7 || r.Missing() != 0 || r.NeedsConfirmation(now.Add(time.Hour)) {
			t.Errorf("confirmed %s, %v", changesText(changes), err)
		}
	})
	t.Run("an older second reading, and steps", func(t *testing.T) {
		r := shrunkenReader(t, now)
		if _, err := r.Confirm(completeList(4, 0)); !errors.Is(err, ErrRevisionRegressed) {
			t.Errorf("an older reading confirmed it: %v", err)
		}
		var sizes []int
		for i := 1; r.Missing() > 0; i++ {
			sizes = append(sizes, len(r.ReleaseMissing(now.Add(time.Duration(i)*DefaultShrinkLimits.ReleaseInterval))))
		}
		if !slices.Equal(sizes, []int{3, 2, 2, 1}) {
			t.Errorf("went in steps of %v", sizes)
		}
	})
	t.Run("changes", func(t *testing.T) { // a deleted server goes at once, and one that changes is not missing any more
		r := shrunkenReader(t, now)
		changes, err := r.Receive(list.List{Rev: 11, Cluster: "c", Targets: []list.Target{target(2, list.Deleted), target(3, list.Draining)}}, now)
		if err != nil || changesText(changes) != "s-2 DELETED; s-3 DRAINING; " || r.Missing() != 6 {
			t.Errorf("changes %s, %v, missing %d", changesText(changes), err, r.Missing())
		}
	})
}

// restoredReader has a list from a backup, which lacks servers that are there and has two that were deleted.
func restoredReader(t *testing.T, now time.Time) *Reader {
	t.Helper()
	r := NewReader(DefaultShrinkLimits)
	if _, err := r.Receive(completeList(5, 0, 1, 2, 3, 4, 5), now); err != nil {
		t.Fatal(err)
	}
	deleted := list.List{Rev: 7, Cluster: "c", Targets: []list.Target{target(0, list.Deleted), target(1, list.Deleted)}}
	if _, err := r.Receive(deleted, now); err != nil {
		t.Fatal(err)
	}
	if changes, err := r.Receive(completeList(99, 0, 1, 2), now); err != nil || len(changes) != 0 || r.Missing() != 3 {
		t.Fatalf("changes %s, %v", changesText(changes), err)
	}
	return r
}

// TestRestoredList receives a list from a backup: a server that was deleted comes back only when it changes, or is on a second reading too.
func TestRestoredList(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("changes", func(t *testing.T) {
		r := restoredReader(t, now)
		changes, err := r.Receive(list.List{Rev: 101, Cluster: "c", Targets: []list.Target{target(1, list.Serving), target(4, list.Serving)}}, now)
		if err != nil || changesText(changes) != "s-1 SERVING; " || r.Missing() != 2 {
			t.Errorf("changes %s, %v, missing %d", changesText(changes), err, r.Missing())
		}
		if changes, err := r.Confirm(completeList(101, 1, 2, 4)); err != nil || changesText(changes) != "s-3 DELETED; s-5 DELETED; " {
			t.Errorf("confirmed %s, %v", changesText(changes), err)
		}
	})
	t.Run("a second reading", func(t *testing.T) {
		r := restoredReader(t, now)
		changes, err := r.Confirm(completeList(99, 0, 1, 2))
		if err != nil || changesText(changes) != "s-0 SERVING; s-1 SERVING; s-3 DELETED; s-4 DELETED; s-5 DELETED; " {
			t.Errorf("confirmed %s, %v", changesText(changes), err)
		}
	})
}

// TestForeignCluster receives another cluster's list, whose revisions count from elsewhere, but no changes of it.
func TestForeignCluster(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewReader(DefaultShrinkLimits)
	r.Restore(completeList(500, 0, 1, 2, 3, 4, 5))
	other := completeList(3, 0, 1, 2, 3, 4)
	other.Cluster = "d"
	if _, err := r.Receive(list.List{Rev: 501, Cluster: "d", Targets: []list.Target{target(9, list.Serving)}}, now); err == nil {
		t.Error("changes of another cluster were applied")
	}
	changes, err := r.Receive(other, now)
	if err != nil || changesText(changes) != "s-5 DELETED; " || r.Revision() != 3 || r.Cluster() != "d" {
		t.Errorf("changes %s, %v", changesText(changes), err)
	}
}
