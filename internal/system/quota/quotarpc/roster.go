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

// Roster names the nodes at whose limiters leases of an allocator may be outstanding.
type Roster struct {
	Identity string   // of the allocator's node, which a node with an empty disk has anew
	Epoch    uint64   // in which the allocator had authority
	Nodes    []string // sorted
}

// RosterStore keeps the roster of this node's allocator over a restart of its process.
type RosterStore interface {
	// Load returns the roster that was saved last; false: there is none.
	Load() (Roster, bool, error)
	// Save makes a roster durable. After an error either this one or the one before may be stored.
	Save(Roster) error
}

// ErrNotRecorded marks calls of limiters that get no lease until they are in the stored roster.
var ErrNotRecorded = errors.New("quota: the limiter is being recorded; ask again")

const (
	// rosterRetryInterval is the time until a roster that could not be saved is tried again.
	rosterRetryInterval = 200 * time.Millisecond
	// requestedTTL is how long a node that asked for a lease is recorded without having called again.
	requestedTTL = 10 * time.Second
)

// rosterRecorder has the stored roster cover every node that may hold a lease.
//
// Invariant: a node is covered only while every roster that may be stored names it. So an allocator that is started anew, and whose
// former process was the last to have authority, knows from the stored roster at which nodes leases may be outstanding.
type rosterRecorder struct {
	store    RosterStore
	identity string
	log      log.Interface
	wake     chan struct{} // room for one: there may be something to save

	mu        sync.Mutex // guards what follows
	tracking  bool       // a roster of the present term is stored or being stored: nodes that it does not name get no lease
	covered   map[string]bool
	requested map[string]time.Time // nodes that asked while they were not covered, and when; they are named until requestedTTL has passed
	wanted    Roster               // what is to be stored
	stored    Roster               // what was stored last
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

// resume returns the nodes at which leases may be outstanding, where the stored roster is that of the last allocator before an
// epoch: this node was the owner in the roster's epoch and is so in the next one or in the same one still.
func (k *rosterRecorder) resume(epoch uint64) (nodes []string, known bool) {
	roster, found, err := k.store.Load()
	if err != nil {
		k.log.WithError(err).Warn("quota: the roster cannot be read; leases of the former allocator are waited for")
		return nil, false
	}
	if !found || roster.Identity != k.identity || epoch < roster.Epoch || epoch > roster.Epoch+1 {
		return nil, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tracking, k.stored, k.wanted = true, roster, roster
	for _, node := range roster.Nodes {
		k.covered[node] = true
	}
	return roster.Nodes, true
}

// forget has no node covered: a term begins about whose leases the stored roster says nothing.
func (k *rosterRecorder) forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tracking, k.covered = false, map[string]bool{}
}

// covers reports whether a node may get a lease, and has it recorded otherwise.
func (k *rosterRecorder) covers(now time.Time, node string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.tracking || k.covered[node] {
		return true
	}
	k.requested[node] = now
	k.requestSave()
	return false
}

// record has the roster name the nodes at which leases may be outstanding, and those that asked.
func (k *rosterRecorder) record(now time.Time, epoch uint64, holders []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	maps.DeleteFunc(k.requested, func(_ string, at time.Time) bool { return now.Sub(at) > requestedTTL })
	nodes := map[string]bool{}
	for _, node := range holders {
		nodes[node] = true
	}
	for node := range k.requested {
		nodes[node] = true
	}
	k.wanted = Roster{Identity: k.identity, Epoch: epoch, Nodes: slices.Sorted(maps.Keys(nodes))}
	if !k.tracking {
		k.tracking = true
		k.covered = maps.Clone(nodes) // nothing that is stored is of this term yet
		return
	}
	// Here and not when it is saved: the caller's lock keeps a lease from being given between.
	maps.DeleteFunc(k.covered, func(node string, _ bool) bool { return !nodes[node] })
}

// requestSave has run look for something to save.
func (k *rosterRecorder) requestSave() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run saves what changes until ctx ends. refresh is called before each look, so that it may record the newest nodes.
func (k *rosterRecorder) run(ctx context.Context, refresh func()) {
	for {
		refresh()
		failed := !k.save()
		var retry <-chan time.Time
		if failed {
			retry = time.After(rosterRetryInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-retry:
		case <-k.wake:
		}
	}
}

// save stores the roster that is wanted, if another one is stored; false: it could not.
func (k *rosterRecorder) save() bool {
	next, changed := k.beginSave()
	if !changed {
		return true
	}
	if err := k.store.Save(next); err != nil {
		k.mu.Lock()
		k.stored = Roster{} // not known: whatever is wanted next is to be saved
		k.mu.Unlock()
		k.log.WithError(err).Warn("quota: the roster cannot be saved; limiters that are new get no lease until it can")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stored = next
	for _, node := range next.Nodes {
		k.covered[node] = true
	}
	return true
}

// beginSave returns what is to be saved. A node that it lacks is covered no longer.
func (k *rosterRecorder) beginSave() (next Roster, changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next = k.wanted
	if !k.tracking || next.Epoch == k.stored.Epoch && slices.Equal(next.Nodes, k.stored.Nodes) {
		return Roster{}, false
	}
	return next, true
}
