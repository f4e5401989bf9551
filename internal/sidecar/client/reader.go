package client

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Doubt says when a whole list is too short to be believed at once.
type Doubt struct {
	Share float64       // of the servers held that may be gone from a whole list; 1: any number
	Least int           // that may be gone in any case
	After time.Duration // from then to the second reading, which may confirm it
	Every time.Duration // without one, at most Share of the servers held are let go that often
}

// DefaultDoubt takes what a deploy does for sound (it drains servers before they go, and deletes them one by one) and has a
// list that lost a room be read twice. Between the readings, servers that live have renewed leases of up to 30 s, and so
// are on the list again where it had lost them.
var DefaultDoubt = Doubt{Share: 0.3, Least: 2, After: 10 * time.Second, Every: 15 * time.Second}

// ErrWentBack is a list of an older revision than the one held, of the same cluster. It is never taken.
var ErrWentBack = errors.New("the revision went back")

// Reader is what a client holds of the list, and the rules by which it takes what keepers say. It has no I/O and no clock.
//
// Invariants: the revision never falls while the cluster stays the same; a server is let go only if a keeper says that it is
// deleted, or if it is missing from a whole list, by the rules of Doubt; a server that was deleted comes back by a change,
// or in a whole list that is not doubted, or by a second reading of one that is.
type Reader struct {
	doubt   Doubt
	cluster string
	rev     int64 // below 0: none is held
	held    map[string]list.Target
	missing map[string]bool  // held, though the last whole list has them no more
	buried  map[string]int64 // servers that a keeper said are deleted, with when they had booted
	doubted bool             // the last whole list was not taken in whole, and no second reading has come
	since   time.Time        // when the first of them was missed
	stepped time.Time        // when some were last let go
}

const mostBuried = 4096

// NewReader holds nothing.
func NewReader(d Doubt) *Reader {
	return &Reader{doubt: d, rev: -1, held: map[string]list.Target{}, missing: map[string]bool{}, buried: map[string]int64{}}
}

// Rev is the revision held; below 0: none is.
func (r *Reader) Rev() int64 { return r.rev }

// Cluster is whose revision that is; "": not known.
func (r *Reader) Cluster() string { return r.cluster }

// Held is what the client goes by, as a whole list.
func (r *Reader) Held() list.List {
	l := list.List{Rev: r.rev, All: true, Cluster: r.cluster, Targets: []list.Target{}}
	for _, uid := range slices.Sorted(maps.Keys(r.held)) {
		l.Targets = append(l.Targets, r.held[uid])
	}
	return l
}

// Missing is how many servers are held that the last whole list has no more.
func (r *Reader) Missing() int { return len(r.missing) }

// Remember takes what was held before, as by the process before this one.
func (r *Reader) Remember(l list.List) {
	r.cluster, r.rev = l.Cluster, l.Rev
	for _, t := range l.Targets {
		r.held[t.UID] = t
	}
}

// Take takes what a keeper says and returns what changes by it, as changes. Errors wrap ErrWentBack, or say what makes no
// sense; nothing of the list was taken then.
func (r *Reader) Take(l list.List, now time.Time) ([]list.Target, error) {
	foreign := r.rev >= 0 && r.cluster != "" && l.Cluster != "" && l.Cluster != r.cluster
	switch {
	case !l.All && (foreign || r.rev < 0):
		return nil, fmt.Errorf("changes of cluster %q came to one who holds no list of it", l.Cluster)
	case l.Rev < r.rev && !foreign:
		return nil, fmt.Errorf("%w: from %d to %d", ErrWentBack, r.rev, l.Rev)
	}
	if l.Cluster != "" {
		r.cluster = l.Cluster
	}
	r.rev = l.Rev
	if !l.All {
		return r.take(l.Targets), nil
	}
	here := uidsOf(l.Targets)
	gone := map[string]bool{}
	for uid := range r.held {
		if !here[uid] {
			gone[uid] = true
		}
	}
	held := len(r.held)
	if len(gone) > r.doubt.Least && float64(len(gone)) > r.doubt.Share*float64(held) {
		if !r.doubted {
			r.since, r.stepped = now, now
		}
		r.missing, r.doubted = gone, true
		// A list that forgot what is there may well remember what is gone.
		sound := slices.DeleteFunc(slices.Clone(l.Targets), func(t list.Target) bool {
			boot, buried := r.buried[t.UID]
			return buried && boot == t.BootMS
		})
		return r.take(sound), nil
	}
	clear(r.missing)
	r.doubted = false
	return append(r.take(l.Targets), r.drop(slices.Sorted(maps.Keys(gone)))...), nil
}

func uidsOf(targets []list.Target) map[string]bool {
	all := make(map[string]bool, len(targets))
	for _, t := range targets {
		all[t.UID] = true
	}
	return all
}

// take takes targets as they are and returns those that change something.
func (r *Reader) take(targets []list.Target) []list.Target {
	var changes []list.Target
	for _, t := range targets {
		old, known := r.held[t.UID]
		delete(r.missing, t.UID)
		delete(r.buried, t.UID)
		switch {
		case t.State == list.Deleted:
			delete(r.held, t.UID)
			if len(r.buried) >= mostBuried {
				clear(r.buried) // who is forgotten is only taken for alive a little sooner
			}
			r.buried[t.UID] = t.BootMS
			if !known {
				continue
			}
		case known && !old.Differs(t):
			continue
		default:
			r.held[t.UID] = t
		}
		changes = append(changes, t)
	}
	return changes
}

// drop lets servers go.
func (r *Reader) drop(uids []string) []list.Target {
	var changes []list.Target
	for _, uid := range uids {
		t := r.held[uid]
		t.State = list.Deleted
		delete(r.held, uid)
		delete(r.missing, uid)
		changes = append(changes, t)
	}
	return changes
}

// Asks tells whether a second reading is due.
func (r *Reader) Asks(now time.Time) bool {
	return r.doubted && now.Sub(r.since) >= r.doubt.After
}

// Confirm takes a second reading of the whole list: what it misses too is let go. One of an older revision confirms nothing.
func (r *Reader) Confirm(l list.List) ([]list.Target, error) {
	if !l.All || l.Cluster != r.cluster || l.Rev < r.rev {
		return nil, fmt.Errorf("%w: a second reading of revision %d confirms nothing of %d", ErrWentBack, l.Rev, r.rev)
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
	r.doubted = false
	back := slices.DeleteFunc(slices.Clone(l.Targets), func(t list.Target) bool {
		_, held := r.held[t.UID]
		return held
	})
	return append(r.take(back), r.drop(gone)...), nil
}

// Step lets some of the missing servers go, where no second reading could be had for a while.
func (r *Reader) Step(now time.Time) []list.Target {
	if len(r.missing) == 0 || now.Sub(r.stepped) < r.doubt.Every {
		return nil
	}
	r.stepped = now
	n := max(1, r.doubt.Least, int(r.doubt.Share*float64(len(r.held))))
	gone := slices.Sorted(maps.Keys(r.missing))
	return r.drop(gone[:min(n, len(gone))])
}
