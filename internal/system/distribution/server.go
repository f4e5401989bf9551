package distribution

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/defaults"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// ErrStale marks an error caused by an entry that does not supersede the stored one.
var ErrStale = errors.New("distribution: a newer entry is stored; read the table and write with a higher fence or version")

// Source provides a Server with the control state.
type Source interface {
	// Committed returns the newest state that the chain's tail has acknowledged, or nil if there is none yet, and a channel that is
	// closed at the next one.
	Committed() (*controlstate.State, <-chan struct{})
	// RecordsAfter returns up to maxRecords records after seq. It returns false if they are no longer available or seq is beyond the
	// newest.
	RecordsAfter(seq uint64, maxRecords int) ([]controlstate.Record, bool)
	// Current reports whether the state may be served to proxies as the newest.
	Current() bool
	// Addresses returns the control-plane nodes in the chain's order, as IP or IP:port.
	Addresses() []string
}

// ServerLimits bound a Server's work. Zero values take the defaults, which are given after the semicolons.
type ServerLimits struct {
	LongPollTimeout      time.Duration // longest wait of a poll; 1 s
	LoadReportInterval   time.Duration // between load reports to one subscriber in a fleet of up to 128, longer in larger ones; 100 ms
	SubscriberTimeout    time.Duration // a subscriber without a call for so long is marked down; 1300 ms
	MinSyncInterval      time.Duration // minimum time between synchronisations with one peer; 50 ms
	MaxSyncInterval      time.Duration // maximum time between synchronisations with one peer; 300 ms
	TombstoneTTL         time.Duration // after which a member that is down is deleted; 60 s
	MaxRecordsPerReply   int           // in one reply; 256
	MaxPendingReplyBytes int           // of large replies that have not been read yet, in total; 32 MiB
	TableCompleteAfter   time.Duration // after the start, the table counts as complete even without a peer's complete table; 3 s
}

func (l ServerLimits) withDefaults() ServerLimits {
	l.LongPollTimeout = defaults.IfNotPositive(l.LongPollTimeout, time.Second)
	l.LoadReportInterval = defaults.IfNotPositive(l.LoadReportInterval, 100*time.Millisecond)
	l.SubscriberTimeout = defaults.IfNotPositive(l.SubscriberTimeout, 1300*time.Millisecond)
	l.MinSyncInterval = defaults.IfNotPositive(l.MinSyncInterval, 50*time.Millisecond)
	l.MaxSyncInterval = defaults.IfNotPositive(l.MaxSyncInterval, 300*time.Millisecond)
	l.TombstoneTTL = defaults.IfNotPositive(l.TombstoneTTL, 60*time.Second)
	l.TableCompleteAfter = defaults.IfNotPositive(l.TableCompleteAfter, 3*time.Second)
	l.MaxRecordsPerReply = defaults.IfNotPositive(l.MaxRecordsPerReply, 256)
	l.MaxPendingReplyBytes = defaults.IfNotPositive(l.MaxPendingReplyBytes, 32<<20)
	return l
}

// ServerOptions configure a Server. Source, Self and Log are required.
type ServerOptions struct {
	Source       Source
	Self         string          // this node's address, as its peers know it
	Zone, Region string          // location of this node
	Peers        func() []string // base URLs of the other control-plane nodes; nil: none
	ListLag      time.Duration   // a reading of the platform's list may be this old when the platform returns it
	Transport    http.RoundTripper
	Log          log.Interface
	Limits       ServerLimits
	knobs        TestingKnobs
}

// Server serves the proxies that follow this node and synchronises soft state with its peers.
type Server struct {
	options ServerOptions
	limits  ServerLimits

	replyBudget replyBudget
	snapshot    snapshotCache
	records     recordCache
	callIDs     rpc.CallIDs

	mu               sync.Mutex // guards the fields below
	table            *softstate.Table
	bootID           uint64 // changes once the table is complete, so that subscribers then fetch all of it
	tableComplete    bool   // the table lacks no live proxy
	startedAt        time.Time
	lastTick         time.Time
	lastExpiry       time.Time
	sessions         sessionSet
	peers            peerSet
	loads            loadAggregator
	isolation        isolationTracker
	commits          commitLog
	softStateChanged chan struct{} // closed when subscribers have to check for changes again

	stopped       chan struct{} // closed when Run ends
	wakeRequested chan struct{} // the table or a vector changed
	syncRequested chan struct{}
}

// NewServer returns a Server; call Run to start it.
func NewServer(options ServerOptions) *Server {
	if options.Transport == nil {
		options.Transport = rpc.NewTransport()
	}
	now := time.Now()
	limits := options.Limits.withDefaults()
	return &Server{
		options: options, limits: limits, replyBudget: replyBudget{maxBytes: limits.MaxPendingReplyBytes},
		table: softstate.NewTable(), bootID: newBootID(), startedAt: now, lastTick: now,
		sessions: newSessionSet(), peers: newPeerSet(options.knobs.OwnContactsOnly), loads: newLoadAggregator(),
		isolation:        isolationTracker{skipRejoinDelay: options.knobs.SkipRejoinDelay},
		softStateChanged: make(chan struct{}), stopped: make(chan struct{}),
		wakeRequested: make(chan struct{}, 1), syncRequested: make(chan struct{}, 1),
	}
}

// newBootID returns a random boot id; never 0.
func newBootID() uint64 { return rand.Uint64() | 1 }

// Handler serves the calls of subscribers and of peers, under /twirp/gradeusher.distribution.Distribution/.
func (s *Server) Handler() http.Handler {
	return rpc.BoundedHandler(withReplyBudget(distributionpb.NewDistributionServer(s)))
}

// coalesceDelay is how long the first change waits for others before subscribers are woken.
const coalesceDelay = 5 * time.Millisecond

// Run runs the server until ctx ends, and then ends the polls that are waiting. It is called once.
func (s *Server) Run(ctx context.Context) {
	defer close(s.stopped)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.syncPeers(ctx) })
	tick := time.NewTicker(s.limits.LoadReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.tick(time.Now())
		case <-s.wakeRequested:
			if !sleep(ctx, coalesceDelay) {
				return
			}
			s.mu.Lock()
			s.wakeSubscribers()
			s.mu.Unlock()
			signal(s.syncRequested)
		}
	}
}

// wakeSubscribers makes waiting polls check for changes again. The caller holds mu.
func (s *Server) wakeSubscribers() {
	close(s.softStateChanged)
	s.softStateChanged = make(chan struct{})
}

// signal sends to a channel with a buffer of one, unless a signal is pending there already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d. It returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// tick evaluates the liveness of subscribers, adds up loads and removes expired entries.
func (s *Server) tick(now time.Time) {
	current := s.options.Source.Current()
	state, _ := s.options.Source.Committed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if state != nil {
		s.commits.observe(now, state.Seq)
	}
	s.observeContacts(now)
	s.isolation.mayServe(now, current)
	s.markCompleteAfterStart(now)
	s.evaluateLiveness(now)
	if now.Sub(s.lastExpiry) >= time.Second {
		s.lastExpiry = now
		s.table.Expire(now)
	}
	s.publishLoads(now)
}

// observeContacts detects that this process was paused, or has contact to less than half of its peers. The caller holds mu.
func (s *Server) observeContacts(now time.Time) {
	if pause := now.Sub(s.lastTick); pause > s.limits.SubscriberTimeout/2 {
		// While this process was paused it could receive no calls, so the silence of others does not mean that they are down.
		s.sessions.extendBy(pause)
		s.peers.extendBy(pause)
		s.isolation.observeIsolation(now)
	}
	if 2*len(s.peers.recent(now)) < s.peers.len() {
		s.isolation.observeIsolation(now)
	}
	s.lastTick = now
}

// publishLoads adds up the loads, and notifies subscribers and peers if the sums changed. The caller holds mu.
func (s *Server) publishLoads(now time.Time) {
	localChanged, totalChanged := s.loads.publish(now, &s.sessions, &s.peers)
	if totalChanged {
		s.wakeSubscribers()
	}
	if localChanged {
		signal(s.syncRequested)
	}
}

// markCompleteAfterStart marks the table complete once it has had time to fill. The caller holds mu.
func (s *Server) markCompleteAfterStart(now time.Time) {
	if !s.tableComplete && now.Sub(s.startedAt) > s.limits.TableCompleteAfter {
		s.markComplete()
	}
}

func (s *Server) markComplete() {
	s.tableComplete, s.bootID = true, newBootID()
	s.wakeSubscribers()
}

// SubscriberInfo describes a subscriber to an operator.
type SubscriberInfo struct {
	Node          string
	Seq           uint64        // newest record that it has acknowledged
	SinceLastCall time.Duration // since its last call began or ended; 0: a call is open
}

// Subscribers returns the proxies that follow this node, by name.
func (s *Server) Subscribers() []SubscriberInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions.infos(time.Now())
}

// WaitAcknowledged waits until every connected subscriber, of this node and of the peers in contact, has the control state numbered seq,
// or until ctx ends.
func (s *Server) WaitAcknowledged(ctx context.Context, seq uint64) error {
	for {
		s.mu.Lock()
		acknowledged := s.sessions.allAcknowledged(seq) && s.peers.allAcknowledged(time.Now(), seq)
		ackChanged := s.sessions.ackChanged
		s.mu.Unlock()
		if acknowledged {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "distribution: not every proxy has change %d yet; those left get it as soon as they are reached", seq)
		case <-ackChanged:
		}
	}
}
