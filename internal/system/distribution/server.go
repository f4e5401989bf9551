package distribution

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/loadreport"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// ErrStale marks the refusal of an entry that is not after the one that is held.
var ErrStale = errors.New("distribution: a newer entry is held; read the table and write with a higher fence or version")

// Source is where a Hub takes the control state from.
type Source interface {
	// Committed gives the newest state that the chain's tail has acknowledged, and a channel that is closed at the next.
	Committed() (*controlstate.State, <-chan struct{})
	// Since gives up to most records after seq, and false where they are gone or seq is beyond.
	RecordsAfter(seq uint64, most int) ([]controlstate.Record, bool)
	// Current tells whether the state may be given to proxies as the newest.
	Current() bool
	// Addresses gives the keepers in the chain's order, as IP or IP:port.
	Addresses() []string
}

// ServerLimits bound a Hub's work. Zero values take the defaults.
type ServerLimits struct {
	LongPollTimeout      time.Duration // longest wait of a poll; 1 s
	LoadReportInterval   time.Duration // between load reports to one follower in a fleet of up to 128; 100 ms, longer in larger ones
	SubscriberTimeout    time.Duration // without a call until a follower is marked down; 1300 ms
	MinSyncInterval      time.Duration // between shares with one keeper at the least; 50 ms
	MaxSyncInterval      time.Duration // between shares with one keeper at the most; 300 ms
	TombstoneTTL         time.Duration // after which a member that is down is deleted; 60 s
	MaxRecordsPerReply   int           // in one answer; 256
	MaxPendingReplyBytes int           // of large answers that have not been taken yet, together; 32 MiB
	TableCompleteAfter   time.Duration // after the start, until the table counts as whole without another keeper's; 3 s
}

func (l ServerLimits) withDefaults() ServerLimits {
	def := func(d *time.Duration, to time.Duration) {
		if *d <= 0 {
			*d = to
		}
	}
	def(&l.LongPollTimeout, time.Second)
	def(&l.LoadReportInterval, 100*time.Millisecond)
	def(&l.SubscriberTimeout, 1300*time.Millisecond)
	def(&l.MinSyncInterval, 50*time.Millisecond)
	def(&l.MaxSyncInterval, 300*time.Millisecond)
	def(&l.TombstoneTTL, 60*time.Second)
	def(&l.TableCompleteAfter, 3*time.Second)
	if l.MaxRecordsPerReply <= 0 {
		l.MaxRecordsPerReply = 256
	}
	if l.MaxPendingReplyBytes <= 0 {
		l.MaxPendingReplyBytes = 32 << 20
	}
	return l
}

// ServerOptions are what a Hub needs. Source, Self and Log must be given.
type ServerOptions struct {
	Source       Source
	Self         string          // this keeper's address, as the others know it
	Zone, Region string          // where it is
	Peers        func() []string // base URLs of the other keepers; nil: none
	ListLag      time.Duration   // a reading of the platform's list may show what was so long before
	Transport    http.RoundTripper
	Log          log.Interface
	Limits       ServerLimits

	Knobs TestingKnobs
}

// Server is a keeper's end: it feeds the proxies that follow it and shares soft state with the other keepers.
type Server struct {
	options ServerOptions
	limits  ServerLimits

	mu          sync.Mutex
	table       *softstate.Table
	bootID      uint64 // drawn anew once the table is complete, so that followers then take it whole
	complete    bool
	startedAt   time.Time
	lastTick    time.Time
	lastExpiry  time.Time
	changed     chan struct{} // closed when followers are to look again
	ackChanged  chan struct{} // closed when an acknowledgement may have risen
	subscribers map[string]*subscriberSession
	peers       map[string]*peer   // by address
	totalLoads  *loadreport.Vector // of all proxies
	localLoads  *loadreport.Vector // of the followers here
	minAckedSeq uint64
	lastCurrent time.Time // when this keeper was last seen to be current; zero: never yet
	rejoinedAt  time.Time // when it was so again after isolationThreshold
	isolatedAt  time.Time // when it last heard less than half of the other keepers, or stood still
	snapshot    snapshotCache
	records     recordCache
	commits     commitLog
	replyBudget replyBudget
	callIDs     rpc.CallIDs

	done          chan struct{} // closed when Run ends
	wakeRequested chan struct{} // the table or a vector changed
	syncRequested chan struct{}
}

// subscriberSession is a proxy that calls this hub.
type subscriberSession struct {
	member           softstate.Member
	lastCall         time.Time // start or end of its last call
	openCalls        int       // calls that are held
	connectionLostAt time.Time // when a held call's connection ended, and no call has come since; zero: it has not
	ackedSeq         uint64
	totalsSentAt     time.Time // last answer with totals
	entriesSentAt    time.Time // last answer with entries
	loads            loadreport.Received
	loadsInTotals    uint64 // number of its loads in the totals
}

// peer is another keeper.
type peer struct {
	location        *distributionpb.Keeper
	bootID          uint64
	lastContact     time.Time
	minAckedSeq     uint64
	subscriberCount uint64
	reachablePeers  []string // keepers that have shared with it of late, by its own word
	loads           loadreport.Received
}

// NewServer makes a Hub; Run makes it work.
func NewServer(opt ServerOptions) *Server {
	if opt.Transport == nil {
		opt.Transport = rpc.NewTransport()
	}
	now := time.Now()
	limits := opt.Limits.withDefaults()
	return &Server{options: opt, limits: limits, replyBudget: replyBudget{maxBytes: limits.MaxPendingReplyBytes}, table: softstate.NewTable(), bootID: rand.Uint64() | 1, startedAt: now, lastTick: now,
		changed: make(chan struct{}), ackChanged: make(chan struct{}), subscribers: map[string]*subscriberSession{}, peers: map[string]*peer{},
		totalLoads: loadreport.NewVector(false), localLoads: loadreport.NewVector(false), minAckedSeq: math.MaxUint64,
		done: make(chan struct{}), wakeRequested: make(chan struct{}, 1), syncRequested: make(chan struct{}, 1)}
}

// Handler serves the calls of followers and of other keepers, under /twirp/gradeusher.distribution.Distribution/.
func (h *Server) Handler() http.Handler {
	return rpc.BoundedHandler(withReplyBudget(distributionpb.NewDistributionServer(h)))
}

// coalesceDelay is how long the first change waits for others before followers are woken.
const coalesceDelay = 5 * time.Millisecond

// Run works until ctx ends, and then ends the polls that are held. It is called once.
func (h *Server) Run(ctx context.Context) {
	defer close(h.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.syncPeers(ctx) })
	tick := time.NewTicker(h.limits.LoadReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.tick(time.Now())
		case <-h.wakeRequested:
			if !sleep(ctx, coalesceDelay) {
				return
			}
			h.mu.Lock()
			h.wakeSubscribers()
			h.mu.Unlock()
			signal(h.syncRequested)
		}
	}
}

// wakeSubscribers makes held polls look again. The caller holds mu.
func (h *Server) wakeSubscribers() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// tick judges followers, adds up loads and forgets what is over.
func (h *Server) tick(now time.Time) {
	current := h.options.Source.Current()
	state, _ := h.options.Source.Committed()
	h.mu.Lock()
	defer h.mu.Unlock()
	if state != nil {
		h.commits.observe(now, state.Seq)
	}
	if gap := now.Sub(h.lastTick); gap > h.limits.SubscriberTimeout/2 {
		// This process stood still, so the silence of others says nothing.
		for _, f := range h.subscribers {
			f.lastCall, f.connectionLostAt = f.lastCall.Add(gap), time.Time{}
		}
		for _, p := range h.peers {
			p.lastContact = p.lastContact.Add(gap)
		}
		h.isolatedAt = now
	}
	if 2*len(h.recentPeers(now)) < len(h.peers) {
		h.isolatedAt = now
	}
	h.lastTick = now
	h.mayServe(now, current)
	h.completeAfterStart(now)
	h.evaluateLiveness(now)
	if now.Sub(h.lastExpiry) >= time.Second {
		h.lastExpiry = now
		h.table.Expire(now)
	}

	sum := map[string]pick.Load{}
	for _, f := range h.subscribers {
		f.loads.AddTo(now, sum)
		f.loadsInTotals = f.loads.Number
	}
	changed := h.localLoads.Publish(now, sum)
	for _, p := range h.peers {
		p.loads.AddTo(now, sum)
	}
	if h.totalLoads.Publish(now, sum) {
		h.wakeSubscribers()
	}
	if changed {
		signal(h.syncRequested)
	}
}

// completeAfterStart declares the table complete once it has had the time to fill.
func (h *Server) completeAfterStart(now time.Time) {
	if !h.complete && now.Sub(h.startedAt) > h.limits.TableCompleteAfter {
		h.markComplete()
	}
}

func (h *Server) markComplete() {
	h.complete, h.bootID = true, rand.Uint64()|1
	h.wakeSubscribers()
}

// loadReportInterval is the time between load reports to one follower: it grows with the fleet, so that the bytes that one proxy and
// the work that one keeper spends on them stay level.
func (h *Server) loadReportInterval() time.Duration {
	n := len(h.subscribers)
	for _, p := range h.peers {
		n += int(min(p.subscriberCount, 1<<16))
	}
	return h.limits.LoadReportInterval * time.Duration(max(1, (n+127)/128))
}

// SubscriberInfo is what an operator may want to know of a follower.
type SubscriberInfo struct {
	Node          string
	Seq           uint64        // acknowledged
	SinceLastCall time.Duration // since its last call began or ended; 0: one is held
}

// Subscribers gives the proxies that follow this keeper, by name.
func (h *Server) Subscribers() []SubscriberInfo {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	out := make([]SubscriberInfo, 0, len(h.subscribers))
	for node, f := range h.subscribers {
		info := SubscriberInfo{Node: node, Seq: f.ackedSeq}
		if f.openCalls == 0 {
			info.SinceLastCall = now.Sub(f.lastCall)
		}
		out = append(out, info)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// WaitAcknowledged waits until every connected follower, of this keeper and of those that it hears from, holds the control
// state numbered seq, or until ctx ends.
func (h *Server) WaitAcknowledged(ctx context.Context, seq uint64) error {
	for {
		h.mu.Lock()
		ok := h.allAcknowledged(time.Now(), seq)
		acked := h.ackChanged
		h.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "distribution: not every proxy holds change %d yet; those left get it as soon as they are reached", seq)
		case <-acked:
		}
	}
}

func (h *Server) allAcknowledged(now time.Time, seq uint64) bool {
	for _, f := range h.subscribers {
		if f.ackedSeq < seq {
			return false
		}
	}
	for _, p := range h.peers {
		if now.Sub(p.lastContact) <= peerTTL && p.minAckedSeq < seq {
			return false
		}
	}
	return true
}
