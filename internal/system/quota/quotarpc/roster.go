package quotarpc

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// Roster lists the nodes at whose limiters leases of an allocator may be outstanding.
type Roster struct {
	Identity string   // of the allocator's node; a node that starts with an empty disk gets a new one
	Epoch    uint64   // epoch in which the allocator had authority
	Nodes    []string // sorted
}

// RosterStore keeps the roster of this node's allocator across restarts of its process.
type RosterStore interface {
	// Load returns the roster that was saved last, and false if there is none.
	Load() (Roster, bool, error)
	// Save makes a roster durable. After an error, either this roster or the previous one may be stored.
	Save(Roster) error
}

// ErrNotRecorded is returned to limiters that get no lease until the stored roster names their node.
var ErrNotRecorded = errors.New("quota: the limiter is being recorded; ask again")

const (
	// rosterRetryInterval is the time after which a failed save of the roster is retried.
	rosterRetryInterval = 200 * time.Millisecond
	// requestedTTL is for how long a node that requested a lease stays in the roster without calling again.
	requestedTTL = 10 * time.Second
)

// rosterRecorder ensures that the stored roster names every node that may hold a lease.
//
// Invariant: a node is covered only while every roster that may be stored names it. So a restarted allocator whose
// previous process was the last to have authority knows from the stored roster at which nodes leases may be outstanding.
type rosterRecorder struct {
	store    RosterStore
	identity string
	log      log.Interface
	wake     chan struct{} // capacity 1; signals that there may be something to save

	mu        sync.Mutex // guards the fields below
	tracking  bool       // a roster of the current term is stored or being stored, and nodes that it does not name get no lease
	covered   map[string]bool
	requested map[string]time.Time // when nodes called while not covered; the roster names them until requestedTTL has passed
	wanted    Roster               // roster to be stored
	stored    Roster               // roster that was stored last
}

func newRosterRecorder(store RosterStore, identity string, logger log.Interface) *rosterRecorder {
	return &rosterRecorder{
		store:     store,
		identity:  identity,
		log:       logger,
		wake:      make(chan struct{}, 1),
		covered:   map[string]bool{},
		requested: map[string]time.Time{},
	}
}

// resume returns the nodes at which leases may be outstanding, and false unless the stored
// roster is that of the last allocator before the given epoch. That is the case if this node was
// the owner in the roster's epoch, and the roster's epoch is the given one or the one before it.
func (r *rosterRecorder) resume(epoch uint64) (nodes []string, known bool) {
	roster, found, err := r.store.Load()
	if err != nil {
		r.log.WithError(err).Warn("quota: cannot read the stored roster; waiting until leases of the former allocator have expired")
		return nil, false
	}
	if !found || roster.Identity != r.identity || epoch < roster.Epoch || epoch > roster.Epoch+1 {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracking, r.stored, r.wanted = true, roster, roster
	for _, node := range roster.Nodes {
		r.covered[node] = true
	}
	return roster.Nodes, true
}

// clearCovered marks all nodes as not covered, because a term begins whose leases the stored roster does not describe.
func (r *rosterRecorder) clearCovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracking, r.covered = false, map[string]bool{}
}

// covers reports whether a node may get a lease. If not, it requests that the node be added to the roster.
func (r *rosterRecorder) covers(now time.Time, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tracking || r.covered[node] {
		return true
	}
	r.requested[node] = now
	r.requestSave()
	return false
}

// record sets the roster to be stored: the nodes at which leases may be outstanding, and those that have requested a lease.
func (r *rosterRecorder) record(now time.Time, epoch uint64, holders []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.requested, func(_ string, at time.Time) bool { return now.Sub(at) > requestedTTL })
	nodes := map[string]bool{}
	for _, node := range holders {
		nodes[node] = true
	}
	for node := range r.requested {
		nodes[node] = true
	}
	r.wanted = Roster{Identity: r.identity, Epoch: epoch, Nodes: slices.Sorted(maps.Keys(nodes))}
	if !r.tracking {
		r.tracking = true
		r.covered = maps.Clone(nodes) // no roster of this term has been stored yet
		return
	}
	// Done here and not when the roster is saved, because the caller's lock prevents a lease from being granted in between.
	maps.DeleteFunc(r.covered, func(node string, _ bool) bool { return !nodes[node] })
}

// requestSave makes run check whether there is something to save.
func (r *rosterRecorder) requestSave() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run saves changes of the roster until ctx ends. It calls refresh before each check, so that refresh can record the newest nodes.
func (r *rosterRecorder) run(ctx context.Context, refresh func()) {
	for {
		refresh()
		failed := !r.save()
		var retry <-chan time.Time
		if failed {
			retry = time.After(rosterRetryInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-retry:
		case <-r.wake:
		}
	}
}

// save stores the wanted roster if it differs from the stored one. It returns false on failure.
func (r *rosterRecorder) save() bool {
	next, changed := r.beginSave()
	if !changed {
		return true
	}
	if err := r.store.Save(next); err != nil {
		r.mu.Lock()
		r.stored = Roster{} // what is stored is not known, so the next wanted roster must be saved
		r.mu.Unlock()
		r.log.WithError(err).Warn("quota: cannot save the roster; new limiters get no lease until it is saved")
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = next
	for _, node := range next.Nodes {
		r.covered[node] = true
	}
	return true
}

// beginSave returns the roster to be saved, and false if there is none. Nodes that this roster does not name are already not covered.
func (r *rosterRecorder) beginSave() (next Roster, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next = r.wanted
	if !r.tracking || next.Epoch == r.stored.Epoch && slices.Equal(next.Nodes, r.stored.Nodes) {
		return Roster{}, false
	}
	return next, true
}
