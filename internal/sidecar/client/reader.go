package client

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// ShrinkLimits say when a complete list lacks too many servers to be believed at once.
type ShrinkLimits struct {
	MaxShare        float64       // part of the servers that may be missing from a complete list; 1: any number
	MinCount        int           // servers that may be missing however few there are
	ConfirmAfter    time.Duration // from then to the second reading, which may confirm it
	ReleaseInterval time.Duration // without a second reading, up to MaxShare of the servers are removed once in this time
}

// DefaultShrinkLimits accept what a deploy does (it drains servers before they go, and deletes them one by one), and have a list that lost a zone
// be read twice. Between the readings, servers that live have renewed leases of up to 30 s, and so are on the list again where it had lost
// them.
var DefaultShrinkLimits = ShrinkLimits{MaxShare: 0.3, MinCount: 2, ConfirmAfter: 10 * time.Second, ReleaseInterval: 15 * time.Second}

// ErrRevisionRegressed is wrapped where an update is of an older revision than the one before, of the same cluster. It is never applied.
var ErrRevisionRegressed = errors.New("the revision went back")

// Reader is a client's copy of the list, and the rules by which updates change it. It does no I/O and reads no clock.
//
// Invariants: the revision never falls while the cluster stays the same; a server is removed only if a node says that it is deleted, or if it is
// missing from a complete list, within ShrinkLimits; a server that was deleted comes back by a change, in a complete list that is not
// suspected, or by the second reading of one that is.
type Reader struct {
	limits         ShrinkLimits
	cluster        string
	revision       int64 // below 0: there is no list
	targets        map[string]list.Target
	missing        map[string]bool  // servers in targets that the last complete list lacks
	deletedBootMS  map[string]int64 // servers that a node said are deleted, with their boot times
	suspected      bool             // the last complete list lacks too many servers, and no second reading has come
	suspectedSince time.Time
	lastRelease    time.Time // when some of the missing were last removed
}

const maxDeleted = 4096 // servers whose deletion is remembered

// NewReader returns a reader without a list.
func NewReader(limits ShrinkLimits) *Reader {
	return &Reader{limits: limits, revision: -1, targets: map[string]list.Target{}, missing: map[string]bool{}, deletedBootMS: map[string]int64{}}
}

// Revision returns the revision of the list; below 0: there is none.
func (r *Reader) Revision() int64 { return r.revision }

// Cluster returns the cluster whose revision that is; "": it is not known.
func (r *Reader) Cluster() string { return r.cluster }

// List returns the client's copy as a complete list, by uid.
func (r *Reader) List() list.List {
	l := list.List{Rev: r.revision, All: true, Cluster: r.cluster, Targets: []list.Target{}}
	for _, uid := range slices.Sorted(maps.Keys(r.targets)) {
		l.Targets = append(l.Targets, r.targets[uid])
	}
	return l
}

// Missing returns how many servers the copy has that the last complete list lacks.
func (r *Reader) Missing() int { return len(r.missing) }

// Restore sets the copy, as that of the process before this one.
func (r *Reader) Restore(l list.List) {
	r.cluster, r.revision = l.Cluster, l.Rev
	for _, target := range l.Targets {
		r.targets[target.UID] = target
	}
}

// Receive applies what a node says and returns what changes by it, as changes. On an error, which wraps ErrRevisionRegressed or says that changes are
// of a list that the reader does not have, nothing was applied.
func (r *Reader) Receive(update list.List, now time.Time) ([]list.Target, error) {
	if err := r.checkUpdate(update); err != nil {
		return nil, err
	}
	if update.Cluster != "" {
		r.cluster = update.Cluster
	}
	r.revision = update.Rev
	if !update.All {
		return r.applyTargets(update.Targets), nil
	}
	gone := r.lackedBy(update.Targets)
	if r.tooMany(len(gone)) {
		return r.suspect(update.Targets, gone, now), nil
	}
	clear(r.missing)
	r.suspected = false
	return append(r.applyTargets(update.Targets), r.removeTargets(slices.Sorted(maps.Keys(gone)))...), nil
}

func (r *Reader) checkUpdate(update list.List) error {
	isForeign := r.revision >= 0 && r.cluster != "" && update.Cluster != "" && update.Cluster != r.cluster
	switch {
	case !update.All && (isForeign || r.revision < 0):
		return fmt.Errorf("changes of cluster %q came to one who holds no list of it", update.Cluster)
	case update.Rev < r.revision && !isForeign:
		return fmt.Errorf("%w: from %d to %d", ErrRevisionRegressed, r.revision, update.Rev)
	}
	return nil
}

// lackedBy returns the servers of the copy that a complete list lacks.
func (r *Reader) lackedBy(targets []list.Target) map[string]bool {
	present := uidsOf(targets)
	gone := map[string]bool{}
	for uid := range r.targets {
		if !present[uid] {
			gone[uid] = true
		}
	}
	return gone
}

func (r *Reader) tooMany(gone int) bool {
	return gone > r.limits.MinCount && float64(gone) > r.limits.MaxShare*float64(len(r.targets))
}

// suspect applies a complete list that lacks too many servers, without removing them. Servers that were deleted do not come back by it: a list that
// forgot what is there may well have what is gone.
func (r *Reader) suspect(targets []list.Target, gone map[string]bool, now time.Time) []list.Target {
	if !r.suspected {
		r.suspectedSince, r.lastRelease = now, now
	}
	r.missing, r.suspected = gone, true
	return r.applyTargets(slices.DeleteFunc(slices.Clone(targets), func(target list.Target) bool {
		bootMS, deleted := r.deletedBootMS[target.UID]
		return deleted && bootMS == target.BootMS
	}))
}

func uidsOf(targets []list.Target) map[string]bool {
	uids := make(map[string]bool, len(targets))
	for _, target := range targets {
		uids[target.UID] = true
	}
	return uids
}

// applyTargets sets targets as they are and returns those that change something.
func (r *Reader) applyTargets(targets []list.Target) []list.Target {
	var changes []list.Target
	for _, target := range targets {
		if r.applyTarget(target) {
			changes = append(changes, target)
		}
	}
	return changes
}

func (r *Reader) applyTarget(target list.Target) (changed bool) {
	old, known := r.targets[target.UID]
	delete(r.missing, target.UID)
	delete(r.deletedBootMS, target.UID)
	if target.State == list.Deleted {
		delete(r.targets, target.UID)
		if len(r.deletedBootMS) >= maxDeleted {
			clear(r.deletedBootMS) // whose servers may come back a little sooner
		}
		r.deletedBootMS[target.UID] = target.BootMS
		return known
	}
	if known && !old.Differs(target) {
		return false
	}
	r.targets[target.UID] = target
	return true
}

// removeTargets removes servers, and returns that as changes.
func (r *Reader) removeTargets(uids []string) []list.Target {
	var changes []list.Target
	for _, uid := range uids {
		target := r.targets[uid]
		target.State = list.Deleted
		delete(r.targets, uid)
		delete(r.missing, uid)
		changes = append(changes, target)
	}
	return changes
}

// NeedsConfirmation tells whether a second reading is due.
func (r *Reader) NeedsConfirmation(now time.Time) bool {
	return r.suspected && now.Sub(r.suspectedSince) >= r.limits.ConfirmAfter
}

// Confirm applies a second reading, a complete list: servers that both readings lack are removed, and servers that are on both though they were deleted
// once come back. Where the second is newer, the watch brings what lies between all the same, and ends in the same state. A reading of an
// older revision or of another cluster confirms nothing, and is an ErrRevisionRegressed.
func (r *Reader) Confirm(second list.List) ([]list.Target, error) {
	if !second.All || second.Cluster != r.cluster || second.Rev < r.revision {
		return nil, fmt.Errorf("%w: a second reading of revision %d confirms nothing of %d", ErrRevisionRegressed, second.Rev, r.revision)
	}
	present := uidsOf(second.Targets)
	var gone []string
	for uid := range r.missing {
		if !present[uid] {
			gone = append(gone, uid)
		}
	}
	slices.Sort(gone)
	clear(r.missing)
	r.suspected = false
	returned := slices.DeleteFunc(slices.Clone(second.Targets), func(target list.Target) bool {
		_, known := r.targets[target.UID]
		return known
	})
	return append(r.applyTargets(returned), r.removeTargets(gone)...), nil
}

// ReleaseMissing removes some of the missing servers, where no second reading could be had for a while.
func (r *Reader) ReleaseMissing(now time.Time) []list.Target {
	if len(r.missing) == 0 || now.Sub(r.lastRelease) < r.limits.ReleaseInterval {
		return nil
	}
	r.lastRelease = now
	count := max(1, r.limits.MinCount, int(r.limits.MaxShare*float64(len(r.targets))))
	gone := slices.Sorted(maps.Keys(r.missing))
	return r.removeTargets(gone[:min(count, len(gone))])
}
