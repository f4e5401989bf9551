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

// observeInterval is how often the view is checked while no calls arrive, so that a term begins soon after its epoch does.
const observeInterval = 250 * time.Millisecond

const (
	// authorityTail is for how long a node may still act as the owner after the view that ends its ownership.
	authorityTail = 600 * time.Millisecond
	// maxInterruption is how long after it last had authority a node that becomes the owner again may continue its term.
	//
	// Proof that no other node granted anything in between: a term that another node began in between started no earlier
	// than authorityTail before this node last had authority, and ended no later than authorityTail after the current
	// view. So it lasted less than quota.HandoverTime, during which an allocator grants nothing. A term that another
	// node continued would have been interrupted by this node's own term. That lasted longer than maxInterruption if
	// this node knows what is outstanding; if it does not, it is learning for longer than such grants last.
	maxInterruption = quota.HandoverTime - 2*authorityTail
)

// ErrNoAllocator is returned for calls to a node that is not the allocator and does not know which node is.
var ErrNoAllocator = errors.New("quota: this node is not the allocator and knows of none; ask again, or another node")

// Chain is the part of its node's replica that an AllocationServer uses.
type Chain interface {
	// ChainAddresses returns the epoch of the newest view known, and the addresses of the chain's replicas.
	ChainAddresses() (epoch uint64, addresses []string)
	// Current reports whether a majority of the voters confirmed within the last 600 ms that there is no later view.
	Current() bool
	// Committed returns the newest known control state, nil if there is none yet.
	Committed() (*controlstate.State, <-chan struct{})
}

// AllocationOptions configure an AllocationServer. Self, Chain and Log are required.
type AllocationOptions struct {
	Self   string // this node's address, as views name it
	Chain  Chain
	Bounds quota.Bounds
	Log    log.Interface
	Knobs  TestingKnobs

	// Roster stores across restarts at which nodes leases may be outstanding. Identity identifies the node's disk: a node that starts with
	// an empty disk has another identity. With a nil Roster, each new process waits until the leases of the previous one have expired.
	Roster   RosterStore
	Identity string
}

// AllocationServer is the control-plane side. While its node owns Role, it answers lease calls as the allocator, according to
// the limits of the newest committed configuration. At other times, and always at an observer, it refers callers to the owner.
//
// Authority: the view of an epoch names one owner. The former owner continues until it knows of the next view. Therefore, after
// a call has arrived, the server asks its replica of the chain whether it is Current: if so, a majority of the voters knew of
// no later view 600 ms ago, which means that the authority of a former owner ends 600 ms after the next view. This uses the
// chain's Current and not that of the distribution server. The latter is stricter by a delay during which soft state is brought
// up to date; leases do not depend on soft state, and the delay would only keep the allocator from answering. The epoch is read
// before and after Current, so that both answers refer to the same view even if the process was paused in between.
type AllocationServer struct {
	options    AllocationOptions
	startedAt  time.Time
	assignment *ownership.Assignment
	limits     limitTable
	counters   allocationCounters
	roster     *rosterRecorder // nil if no roster is kept

	mu        sync.Mutex // guards the fields below
	allocator *quota.Allocator
	epoch     uint64        // epoch of the current term, the newest in which this node was the owner; 0 if none yet
	ownedAt   time.Duration // when this node last had authority; read before the check
	resumed   bool          // the current term continues that of the previous process
	learning  bool          // the end of learning in the current term has not been logged yet
}

// NewAllocationServer returns a server. Run must be called for its terms to begin promptly.
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

// Handler returns the handler for lease calls, under /twirp/gradeusher.quota.Allocation/.
func (s *AllocationServer) Handler() http.Handler {
	return rpc.BoundedHandler(quotapb.NewAllocationServer(s))
}

// Run checks until ctx ends whether this node has become the allocator, and begins a term as soon as
// it has. Compared to waiting for a call, this makes the allocator learn earlier what is outstanding.
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

// observe begins a term if this node has become the allocator, and logs when learning ends.
func (s *AllocationServer) observe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.hasAuthority(now) && s.learning && !s.allocator.Learning(now) {
		s.learning = false
		s.options.Log.WithField("epoch", s.epoch).WithField("limiters", len(s.allocator.HolderNodes())).
			Info("quota: the allocator has learned all outstanding leases")
	}
	if s.roster != nil {
		s.roster.requestSave()
	}
}

// recordHolders records in the roster the nodes at which leases may be outstanding, provided that the allocator knows all of them.
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
	now := s.now() // read before the check of authority: leases count from this time, even if the process pauses after the check
	if !s.hasAuthority(now) {
		return s.refer(message)
	}
	if s.roster != nil && !s.roster.covers(time.Now(), message.GetNode()) {
		return nil, twirp.Unavailable.Error(ErrNotRecorded.Error())
	}
	s.counters.leases.Add(1)
	if state, _ := s.options.Chain.Committed(); state != nil {
		s.limits.update(state.Config)
	}
	reply := s.allocator.Receive(now, leaseRequestFromProto(message), s.limits.limit)
	return leaseReplyToProto(message.GetCall(), reply), nil
}

// refer answers a call for which this node has no authority. It names the owner, and fails if that is unknown or this node itself.
func (s *AllocationServer) refer(message *quotapb.LeaseRequest) (*quotapb.LeaseReply, error) {
	s.counters.referrals.Add(1)
	owner, _ := s.assignment.Owner(Role)
	if owner == "" || owner == s.options.Self {
		return nil, twirp.Unavailable.Error(ErrNoAllocator.Error())
	}
	return &quotapb.LeaseReply{Call: message.GetCall(), Sequence: message.GetSequence(), Owner: owner}, nil
}

// hasAuthority reports whether this node may, as the allocator, answer a call that arrived
// before now. It begins a new term if the last one has ended. The caller must hold mu.
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

// isConfirmed reports whether the replica is Current and its newest view is still that of the epoch.
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

// enterEpoch continues the current term if this node was the owner in this epoch or the one before it, or had authority within the last
// maxInterruption. Otherwise it begins a new term, because another node may have granted leases in between. The caller must hold mu.
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
	s.options.Log.WithField("epoch", epoch).Info("quota: this node is now the allocator; learning which leases are outstanding")
	if s.roster != nil {
		s.roster.clearCovered()
	}
	s.resumed = false
	s.allocator.Begin(now)
}

// resume continues the term of this node's previous process if the stored roster shows that
// no other node has had authority since. It reports whether it did. The caller must hold mu.
func (s *AllocationServer) resume(now time.Duration, epoch uint64) bool {
	if s.roster == nil {
		return false
	}
	nodes, known := s.roster.resume(epoch)
	if !known {
		return false
	}
	s.options.Log.WithField("epoch", epoch).WithField("limiters", len(nodes)).
		Info("quota: this node resumes as the allocator; waiting for limiters that may hold leases")
	s.resumed = true
	s.allocator.Resume(now, nodes)
	return true
}

// now returns the time on the allocator's clock, which starts with the process.
func (s *AllocationServer) now() time.Duration { return time.Since(s.startedAt) }
