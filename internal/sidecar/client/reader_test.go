package client

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

func target(i int, state list.State) list.Target {
	return list.Target{UID: fmt.Sprintf("s-%d", i), Endpoint: fmt.Sprintf("10.0.0.%d:80", i+1), State: state}
}

func completeList(rev int64, n ...int) list.List {
	l := list.List{Rev: rev, All: true, Cluster: "c"}
	for _, i := range n {
		l.Targets = append(l.Targets, target(i, list.Serving))
	}
	return l
}

func uids(all []list.Target) string {
	s := ""
	for _, t := range all {
		s += t.UID + " " + string(t.State) + "; "
	}
	return s
}

// TestReader takes a random course of lists. The revision never falls, whoever applies the changes holds what the reader
// holds, and once nothing is doubted it holds the truth.
func TestReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReader(ShrinkLimits{MaxShare: 0.4, MinCount: 1, ConfirmAfter: time.Second, ReleaseInterval: 3 * time.Second})
		consumer := map[string]list.Target{}
		apply := func(changes []list.Target) {
			for _, c := range changes {
				if c.State == list.Deleted {
					delete(consumer, c.UID)
				} else {
					consumer[c.UID] = c
				}
			}
		}
		truth := []map[string]list.Target{{}} // by revision
		var changes []list.Target             // that of revision i is at i-1
		now, ahead := time.Unix(1000, 0), 0   // a second reading of this revision was taken
		at := func(rev int) list.List {
			l := list.List{Rev: int64(rev), All: true, Cluster: "c"}
			for _, t := range truth[rev] {
				l.Targets = append(l.Targets, t)
			}
			return l
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			last := len(truth) - 1
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1: // the fleet changes
				next := maps.Clone(truth[last])
				c := target(rapid.IntRange(0, 8).Draw(t, "server"), rapid.SampledFrom([]list.State{list.Serving, list.Draining, list.Deleted}).Draw(t, "state"))
				if c.State == list.Deleted {
					delete(next, c.UID)
				} else {
					next[c.UID] = c
				}
				truth, changes = append(truth, next), append(changes, c)
			case 2: // what changed since, up to some revision
				if r.Revision() < 0 {
					continue
				}
				to := rapid.IntRange(int(r.Revision()), last).Draw(t, "to")
				got, err := r.Receive(list.List{Rev: int64(to), Cluster: "c", Targets: changes[r.Revision():to]}, now)
				if err != nil {
					t.Fatal(err)
				}
				apply(got)
			case 3: // a whole list, perhaps an old one
				rev := rapid.IntRange(0, last).Draw(t, "rev")
				before := r.Revision()
				held, missing := len(r.List().Targets), r.Missing()
				got, err := r.Receive(at(rev), now)
				if (err != nil) != (int64(rev) < before) || err != nil && !errors.Is(err, ErrRevisionRegressed) {
					t.Fatalf("revision %d after %d: %v", rev, before, err)
				}
				apply(got)
				if err == nil && missing == 0 && r.Missing() == 0 && held-len(r.List().Targets) > max(1, held*4/10) {
					t.Fatalf("%d of %d servers went at once", held-len(r.List().Targets), held)
				}
			case 4:
				if r.NeedsConfirmation(now) {
					got, err := r.Confirm(at(last))
					if err != nil {
						t.Fatal(err)
					}
					apply(got)
					ahead = last
				}
			case 5:
				apply(r.ReleaseMissing(now))
			}
			if !maps.Equal(consumer, r.targets) {
				t.Fatalf("held %v, told %v", r.targets, consumer)
			}
			if r.Revision() >= int64(ahead) && r.Missing() == 0 && !r.suspected && !maps.Equal(r.targets, truth[r.Revision()]) {
				t.Fatalf("at revision %d held %v, want %v", r.Revision(), r.targets, truth[r.Revision()])
			}
		}
	})
}

// TestShrunkenList takes a list that lost most of its servers: they stay until a second reading, or go in steps.
func TestShrunkenList(t *testing.T) {
	now := time.Unix(1000, 0)
	doubted := func() *Reader {
		r := NewReader(DefaultShrinkLimits)
		if _, err := r.Receive(completeList(5, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9), now); err != nil {
			t.Fatal(err)
		}
		got, err := r.Receive(completeList(9, 0, 1, 10), now)
		if err != nil || uids(got) != "s-10 SERVING; " || r.Missing() != 8 {
			t.Fatalf("took %s, %v, missing %d", uids(got), err, r.Missing())
		}
		return r
	}
	r := doubted()
	if r.NeedsConfirmation(now) || !r.NeedsConfirmation(now.Add(DefaultShrinkLimits.ConfirmAfter)) {
		t.Error("the second reading is not asked for in its time")
	}
	if got, err := r.Confirm(completeList(9, 0, 1, 2, 10)); err != nil || len(got) != 7 || r.Missing() != 0 || r.NeedsConfirmation(now.Add(time.Hour)) {
		t.Errorf("confirmed %s, %v", uids(got), err)
	}
	r = doubted()
	if _, err := r.Confirm(completeList(4, 0)); !errors.Is(err, ErrRevisionRegressed) {
		t.Errorf("an older reading confirmed it: %v", err)
	}
	var sizes []int
	for i := 1; r.Missing() > 0; i++ {
		sizes = append(sizes, len(r.ReleaseMissing(now.Add(time.Duration(i)*DefaultShrinkLimits.ReleaseInterval))))
	}
	if fmt.Sprint(sizes) != "[3 2 2 1]" {
		t.Errorf("went in steps of %v", sizes)
	}
	// What a keeper says is deleted goes at once, and what comes back is no longer missed.
	r = doubted()
	got, err := r.Receive(list.List{Rev: 11, Cluster: "c", Targets: []list.Target{target(2, list.Deleted), target(3, list.Draining)}}, now)
	if err != nil || uids(got) != "s-2 DELETED; s-3 DRAINING; " || r.Missing() != 6 {
		t.Errorf("took %s, %v, missing %d", uids(got), err, r.Missing())
	}
}

// TestRestoredList takes a list from a backup, which lacks what is there and has what is gone: what is gone comes back only when it
// says something, or stands on a second reading too.
func TestRestoredList(t *testing.T) {
	now := time.Unix(1000, 0)
	restored := func() *Reader {
		r := NewReader(DefaultShrinkLimits)
		if _, err := r.Receive(completeList(5, 0, 1, 2, 3, 4, 5), now); err != nil {
			t.Fatal(err)
		}
		deleted := list.List{Rev: 7, Cluster: "c", Targets: []list.Target{target(0, list.Deleted), target(1, list.Deleted)}}
		if _, err := r.Receive(deleted, now); err != nil {
			t.Fatal(err)
		}
		if got, err := r.Receive(completeList(99, 0, 1, 2), now); err != nil || len(got) != 0 || r.Missing() != 3 {
			t.Fatalf("took %s, %v", uids(got), err)
		}
		return r
	}
	r := restored()
	got, err := r.Receive(list.List{Rev: 101, Cluster: "c", Targets: []list.Target{target(1, list.Serving), target(4, list.Serving)}}, now)
	if err != nil || uids(got) != "s-1 SERVING; " || r.Missing() != 2 {
		t.Errorf("took %s, %v, missing %d", uids(got), err, r.Missing())
	}
	if got, err := r.Confirm(completeList(101, 1, 2, 4)); err != nil || uids(got) != "s-3 DELETED; s-5 DELETED; " {
		t.Errorf("confirmed %s, %v", uids(got), err)
	}
	r = restored()
	if got, err := r.Confirm(completeList(99, 0, 1, 2)); err != nil || uids(got) != "s-0 SERVING; s-1 SERVING; s-3 DELETED; s-4 DELETED; s-5 DELETED; " {
		t.Errorf("confirmed %s, %v", uids(got), err)
	}
}

// TestForeignCluster takes another cluster's list, whose revisions count from elsewhere, but no changes of it.
func TestForeignCluster(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewReader(DefaultShrinkLimits)
	r.Restore(completeList(500, 0, 1, 2, 3, 4, 5))
	other := completeList(3, 0, 1, 2, 3, 4)
	other.Cluster = "d"
	changes := list.List{Rev: 501, Cluster: "d", Targets: []list.Target{target(9, list.Serving)}}
	if _, err := r.Receive(changes, now); err == nil {
		t.Error("changes of another cluster were taken")
	}
	if got, err := r.Receive(other, now); err != nil || uids(got) != "s-5 DELETED; " || r.Revision() != 3 || r.Cluster() != "d" {
		t.Errorf("took %s, %v", uids(got), err)
	}
}
