package client

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// ShrinkLimits says when a whole list is too short to be believed at once.
type ShrinkLimits struct {
	MaxShare        float64       // of the servers held that may be gone from a whole list; 1: any number
	MinCount        int           // that may be gone in any case
	ConfirmAfter    time.Duration // from then to the second reading, which may confirm it
	ReleaseInterval time.Duration // without one, at most Share of the servers held are let go that often
}

// DefaultShrinkLimits takes what a deploy does for sound (it drains servers before they go, and deletes them one by one) and has a
// list that lost a room be read twice. Between the readings, servers that live have renewed leases of up to 30 s, and so
// are on the list again where it had lost them.
var DefaultShrinkLimits = ShrinkLimits{MaxShare: 0.3, MinCount: 2, ConfirmAfter: 10 * time.Second, ReleaseInterval: 15 * time.Second}

// ErrRevisionRegressed is a list of an older revision than the one held, of the same cluster. It is never taken.
var ErrRevisionRegressed = errors.New("the revision went back")

// Reader is what a client holds of the list, and the rules by which it takes what keepers say. It has no I/O and no clock.
//
// Invariants: the revision never falls while the cluster stays the same; a server is let go only if a keeper says that it is
// deleted, or if it is missing from a whole list, by the rules of Doubt; a server that was deleted comes back by a change,
// or in a whole list that is not doubted, or by a second reading of one that is.
type Reader struct {
	limits         ShrinkLimits
	cluster        string
	revision       int64 // below 0: none is held
	targets        map[string]list.Target
	missing        map[string]bool  // held, though the last whole list has them no more
	deletedBootMS  map[string]int64 // servers that a keeper said are deleted, with when they had booted
	suspected      bool             // the last whole list was not taken in whole, and no second reading has come
	suspectedSince time.Time        // when the first of them was missed
	lastRelease    time.Time        // when some were last let go
}

const maxDeleted = 4096

// NewReader holds nothing.
func NewReader(d ShrinkLimits) *Reader {
	return &Reader{limits: d, revision: -1, targets: map[string]list.Target{}, missing: map[string]bool{}, deletedBootMS: map[string]int64{}}
}

// Revision is the revision held; below 0: none is.
func (r *Reader) Revision() int64 { return r.revision }

// Cluster is whose revision that is; "": not known.
func (r *Reader) Cluster() string { return r.cluster }

// List is what the client goes by, as a whole list.
func (r *Reader) List() list.List {
	l := list.List{Rev: r.revision, All: true, Cluster: r.cluster, Targets: []list.Target{}}
	for _, uid := range slices.Sorted(maps.Keys(r.targets)) {
		l.Targets = append(l.Targets, r.targets[uid])
	}
	return l
}

// Missing is how many servers are held that the last whole list has no more.
func (r *Reader) Missing() int { return len(r.missing) }

// Restore takes what was held before, as by the process before this one.
func (r *Reader) Restore(l list.List) {
	r.cluster, r.revision = l.Cluster, l.Rev
	for _, t := range l.Targets {
		r.targets[t.UID] = t
	}
}

// Receive takes what a keeper says and returns what changes by it, as changes. Errors wrap ErrRevisionRegressed, or say what makes no
// sense; nothing of the list was taken then.
func (r *Reader) Receive(l list.List, now time.Time) ([]list.Target, error) {
	foreign := r.revision >= 0 && r.cluster != "" && l.Cluster != "" && l.Cluster != r.cluster
	switch {
	case !l.All && (foreign || r.revision < 0):
		return nil, fmt.Errorf("changes of cluster %q came to one who holds no list of it", l.Cluster)
	case l.Rev < r.revision && !foreign:
		return nil, fmt.Errorf("%w: from %d to %d", ErrRevisionRegressed, r.revision, l.Rev)
	}
	if l.Cluster != "" {
		r.cluster = l.Cluster
	}
	r.revision = l.Rev
	if !l.All {
		return r.applyTargets(l.Targets), nil
	}
	here := uidsOf(l.Targets)
	gone := map[string]bool{}
	for uid := range r.targets {
		if !here[uid] {
			gone[uid] = true
		}
	}
	held := len(r.targets)
	if len(gone) > r.limits.MinCount && float64(len(gone)) > r.limits.MaxShare*float64(held) {
		if !r.suspected {
			r.suspectedSince, r.lastRelease = now, now
		}
		r.missing, r.suspected = gone, true
		// A list that forgot what is there may well remember what is gone.
		sound := slices.DeleteFunc(slices.Clone(l.Targets), func(t list.Target) bool {
			boot, buried := r.deletedBootMS[t.UID]
			return buried && boot == t.BootMS
		})
		return r.applyTargets(sound), nil
	}
	clear(r.missing)
	r.suspected = false
	return append(r.applyTargets(l.Targets), r.removeTargets(slices.Sorted(maps.Keys(gone)))...), nil
}

func uidsOf(targets []list.Target) map[string]bool {
	all := make(map[string]bool, len(targets))
	for _, t := range targets {
		all[t.UID] = true
	}
	return all
}

// applyTargets takes targets as they are and returns those that change something.
func (r *Reader) applyTargets(targets []list.Target) []list.Target {
	var changes []list.Target
	for _, t := range targets {
		old, known := r.targets[t.UID]
		delete(r.missing, t.UID)
		delete(r.deletedBootMS, t.UID)
		switch {
		case t.State == list.Deleted:
			delete(r.targets, t.UID)
			if len(r.deletedBootMS) >= maxDeleted {
				clear(r.deletedBootMS) // who is forgotten is only taken for alive a little sooner
			}
			r.deletedBootMS[t.UID] = t.BootMS
			if !known {
				continue
			}
		case known && !old.Changed(t):
			continue
		default:
			r.targets[t.UID] = t
		}
		changes = append(changes, t)
	}
	return changes
}

// removeTargets lets servers go.
func (r *Reader) removeTargets(uids []string) []list.Target {
	var changes []list.Target
	for _, uid := range uids {
		t := r.targets[uid]
		t.State = list.Deleted
		delete(r.targets, uid)
		delete(r.missing, uid)
		changes = append(changes, t)
	}
	return changes
}

// NeedsConfirmation tells whether a second reading is due.
func (r *Reader) NeedsConfirmation(now time.Time) bool {
	return r.suspected && now.Sub(r.suspectedSince) >= r.limits.ConfirmAfter
}

// Confirm takes a second reading of the whole list: what it misses too is let go. One of an older revision confirms nothing.
func (r *Reader) Confirm(l list.List) ([]list.Target, error) {
	if !l.All || l.Cluster != r.cluster || l.Rev < r.revision {
		return nil, fmt.Errorf("%w: a second reading of revision %d confirms nothing of %d", ErrRevisionRegressed, l.Rev, r.revision)
	}
	// What both readings miss goes, and what is on both though it was deleted once is there. Where this one is newer, the watch
	// tells what lies between all the same, and ends where this one does.
	here := uidsOf(l.Targets)
	var gone []string
	for uid := range r.missing {
		if !here[uid] {
			gone = append(gone, uid)
		}
	}
	slices.Sort(gone)
	clear(r.missing)
	r.suspected = false
	back := slices.DeleteFunc(slices.Clone(l.Targets), func(t list.Target) bool {
		_, held := r.targets[t.UID]
		return held
	})
	return append(r.applyTargets(back), r.removeTargets(gone)...), nil
}

// ReleaseMissing lets some of the missing servers go, where no second reading could be had for a while.
func (r *Reader) ReleaseMissing(now time.Time) []list.Target {
	if len(r.missing) == 0 || now.Sub(r.lastRelease) < r.limits.ReleaseInterval {
		return nil
	}
	r.lastRelease = now
	n := max(1, r.limits.MinCount, int(r.limits.MaxShare*float64(len(r.targets))))
	gone := slices.Sorted(maps.Keys(r.missing))
	return r.removeTargets(gone[:min(n, len(gone))])
}
