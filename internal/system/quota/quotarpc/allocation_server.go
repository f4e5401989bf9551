package quotarpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/ownership"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
)

// Role is the singleton role of the node that is the allocator.
const Role = "quota"

// observeInterval is the time between looks at the view while no call comes, so that a term begins when its epoch does.
const observeInterval = 250 * time.Millisecond

const (
	// authorityTail is for how long after the view that ends it a node may still act as the owner.
	authorityTail = 600 * time.Millisecond
	// maxInterruption is how long after its last moment of authority a node that is the owner again goes on with its term.
	//
	// Proof that nobody else granted anything meanwhile: a term that another node began between lasted from authorityTail before that
	// moment, at the earliest, until authorityTail after the present view, at the latest, so for less than quota.HandoverTime, in which
	// an allocator grants nothing. A term that another node went on with would have been interrupted by this node's own, which lasted
	// longer than that if this node knows what is outstanding; if it does not, it learns for longer than such grants last.
	maxInterruption = quota.HandoverTime - 2*authorityTail
)

// ErrNoAllocator marks calls to a node that is not the allocator and does not know which one is.
var ErrNoAllocator = errors.New("quota: this node is not the allocator and knows of none; ask again, or another node")

// Chain is what an AllocationServer needs of its node's replica.
type Chain interface {
	// ChainAddresses returns the epoch of the newest view known, and the addresses of the chain's replicas.
	ChainAddresses() (epoch uint64, addresses []string)
	// Current reports whether a majority of the voters confirmed within the last 600 ms that there is no later view.
	Current() bool
	// Committed returns the newest control state known; nil: none yet.
	Committed() (*controlstate.State, <-chan struct{})
}

// AllocationOptions are what an AllocationServer needs. Self, Chain and Log must be given.
type AllocationOptions struct {
	Self   string // this node's address, as views name it
	Chain  Chain
	Bounds quota.Bounds
	Log    log.Interface
	Knobs  TestingKnobs

	// Roster keeps over a restart where leases may be outstanding, and Identity names the node's disk: a node with an empty one has
	// another identity. With a nil Roster each new process waits until the leases of the former one have ended.
	Roster   RosterStore
	Identity string
}

// AllocationServer is the end of a control-plane node. While the node owns Role it answers lease calls as the allocator, by the limits
// of the newest committed configuration. At other times, and at an observer always, it names the owner.
//
// Authority: the view of an epoch names one owner. The former owner goes on until it knows of the next view, so it asks its replica of the
// chain whether it is Current, after the call has come: a majority of the voters then knew of no later view 600 ms ago, so that the
// authority of the former owner ends 600 ms after the next view. That is the chain's Current and not the distribution server's, which
// is stricter by a delay in which soft state is brought up to date: leases do not rest on soft state, and the delay would only keep the
// allocator silent. The epoch is read before and after Current, so that one view is asked about even where the process was paused
// between.
type AllocationServer struct {
	options    AllocationOptions
	startedAt  time.Time
	assignment *ownership.Assignment
	limits     limitTable
	counters   allocationCounters
	roster     *rosterRecorder // nil: none is kept

	mu        sync.Mutex // guards what follows
	allocator *quota.Allocator
	epoch     uint64        // of the present term, the newest in which this node was the owner; 0: none yet
	ownedAt   time.Duration // when this node last had authority; before the check
	resumed   bool          // the present term goes on from that of the former process
	learning  bool          // the end of learning in the present term has not been logged
}

// NewAllocationServer returns a server; Run makes it begin its terms in time.
func NewAllocationServer(options AllocationOptions) *AllocationServer {
	created := &AllocationServer{
		options:    options,
		startedAt:  time.Now(),
		assignment: ownership.NewAssignment(options.Self),
		allocator:  quota.NewAllocator(quota.AllocatorOptions{Bounds: options.Bounds}),
	}
	if options.Roster != nil {
		created.roster = newRosterRecorder(options.Roster, options.Identity, options.Log)
	}
	return created
}

// Handler serves lease calls, under /twirp/gradeusher.quota.Allocation/.
func (s *AllocationServer) Handler() http.Handler {
	return rpc.BoundedHandler(quotapb.NewAllocationServer(s))
}

// Run begins a term as soon as this node becomes the allocator, until ctx ends: what is outstanding is known the earlier.
func (s *AllocationServer) Run(ctx context.Context) {
	var saving sync.WaitGroup
	defer saving.Wait()
	if s.roster != nil {
		saving.Go(func() { s.roster.run(ctx, s.recordHolders) })
	}
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		s.observe()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// observe begins a term if this node has become the allocator.
func (s *AllocationServer) observe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.hasAuthority(now) && s.learning && !s.allocator.Learning(now) {
		s.learning = false
		s.options.Log.WithField("epoch", s.epoch).WithField("limiters", len(s.allocator.HolderNodes())).Info("quota: this node knows what is leased")
	}
	if s.roster != nil {
		s.roster.requestSave()
	}
}

// recordHolders has the roster name the nodes at which leases may be outstanding, as far as the allocator knows all of them.
func (s *AllocationServer) recordHolders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.hasAuthority(now) || s.allocator.Learning(now) && !s.resumed {
		return
	}
	s.roster.record(time.Now(), s.epoch, s.allocator.HolderNodes())
}

// Lease implements quotapb.Allocation.
func (s *AllocationServer) Lease(_ context.Context, message *quotapb.LeaseRequest) (*quotapb.LeaseReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now() // before the check of authority: a lease is counted from here, however long the process pauses after it
	if !s.hasAuthority(now) {
		return s.refer(message)
	}
	if s.roster != nil && !s.roster.covers(time.Now(), message.GetNode()) {
		return nil, twirp.Unavailable.Error(ErrNotRecorded.Error())
	}
	s.counters.leases.Add(1)
	if state, _ := s.options.Chain.Committed(); state != nil {
		s.limits.use(state.Config)
	}
	reply := s.allocator.Receive(now, leaseRequestFromProto(message), s.limits.limit)
	return leaseReplyToProto(message.GetCall(), reply), nil
}

// refer answers a call for which this node has no authority. It names the owner, unless that is this node.
func (s *AllocationServer) refer(message *quotapb.LeaseRequest) (*quotapb.LeaseReply, error) {
	s.counters.referrals.Add(1)
	owner, _ := s.assignment.Owner(Role)
	if owner == "" || owner == s.options.Self {
		return nil, twirp.Unavailable.Error(ErrNoAllocator.Error())
	}
	return &quotapb.LeaseReply{Call: message.GetCall(), Sequence: message.GetSequence(), Owner: owner}, nil
}

// hasAuthority reports whether this node may answer as the allocator a call that came before now, and begins a new term where the last
// one has ended. The caller holds mu.
func (s *AllocationServer) hasAuthority(now time.Duration) bool {
	s.assignment.Update(s.options.Chain.ChainAddresses())
	epoch, owns := s.assignment.Owns(Role)
	if !owns || !s.isConfirmed(epoch) {
		return false
	}
	s.enterEpoch(now, epoch)
	s.ownedAt = now
	return true
}

// isConfirmed reports whether the node is current in the epoch.
func (s *AllocationServer) isConfirmed(epoch uint64) bool {
	if s.options.Knobs.SkipCurrent {
		return true
	}
	if !s.options.Chain.Current() {
		return false
	}
	newest, _ := s.options.Chain.ChainAddresses()
	return newest == epoch
}

// enterEpoch begins a new term unless this node was the owner in this epoch or the one before, or a moment ago: another may have granted
// something between. The caller holds mu.
func (s *AllocationServer) enterEpoch(now time.Duration, epoch uint64) {
	isFirst := s.epoch == 0
	continues := !isFirst && (epoch == s.epoch || epoch == s.epoch+1 || s.options.Knobs.KeepTerm ||
		epoch > s.epoch && now-s.ownedAt <= maxInterruption)
	s.epoch = epoch
	if continues {
		return
	}
	s.counters.terms.Add(1)
	s.learning = true
	if isFirst && s.resume(now, epoch) {
		return
	}
	s.options.Log.WithField("epoch", epoch).Info("quota: this node is the allocator; learning what is leased")
	if s.roster != nil {
		s.roster.forget()
	}
	s.resumed = false
	s.allocator.Begin(now)
}

// resume goes on from the term of this node's former process, where the stored roster says that no other node had authority since. The
// caller holds mu.
func (s *AllocationServer) resume(now time.Duration, epoch uint64) bool {
	if s.roster == nil {
		return false
	}
	nodes, known := s.roster.resume(epoch)
	if !known {
		return false
	}
	s.options.Log.WithField("epoch", epoch).WithField("limiters", len(nodes)).Info("quota: this node is the allocator again; asking who holds leases")
	s.resumed = true
	s.allocator.Resume(now, nodes)
	return true
}

// now is the time on the clock of the allocator, which starts with the process.
func (s *AllocationServer) now() time.Duration { return time.Since(s.startedAt) }
