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

func (l ServerLimits) filled() ServerLimits {
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

	hooks hubHooks
}

// hubHooks take protections out, so that tests show what each is for.
type hubHooks struct {
	believeDown bool // what another keeper marks down is down
	ownEarsOnly bool // a keeper that does not share with this one is silent, whatever others say
	fromArrival bool // a share counts from when it arrived and not from when it was sent
	noRejoin    bool // a keeper that was cut off feeds proxies as soon as it is current
}

// Server is a keeper's end: it feeds the proxies that follow it and shares soft state with the other keepers.
type Server struct {
	opt    ServerOptions
	limits ServerLimits

	mu          sync.Mutex
	table       *table
	boot        uint64 // drawn anew once the table is complete, so that followers then take it whole
	complete    bool
	started     time.Time
	ticked      time.Time
	expired     time.Time
	news        chan struct{} // closed when followers are to look again
	acked       chan struct{} // closed when an acknowledgement may have risen
	followers   map[string]*follower
	peers       map[string]*peer // by address
	totals      *vector          // of all proxies
	sums        *vector          // of the followers here
	lowest      uint64
	lastCurrent time.Time // when this keeper was last seen to be current; zero: never yet
	rejoined    time.Time // when it was so again after isolatedAfter
	deaf        time.Time // when it last heard less than half of the other keepers, or stood still
	snapshots   snapshots
	compressed  recordCache
	commits     commitLog
	room        room
	calls       calls

	done  chan struct{} // closed when Run ends
	kick  chan struct{} // the table or a vector changed
	share chan struct{}
}

// follower is a proxy that calls this hub.
type follower struct {
	member   Member
	seen     time.Time // start or end of its last call
	open     int       // calls that are held
	broken   time.Time // when a held call's connection ended, and no call has come since; zero: it has not
	seq      uint64
	reported time.Time // last answer with totals
	changed  time.Time // last answer with entries
	loads    reading
	included uint64 // number of its loads in the totals
}

// peer is another keeper.
type peer struct {
	keeper    *distributionpb.Keeper
	boot      uint64
	heard     time.Time
	lowest    uint64
	followers uint64
	hears     []string // keepers that have shared with it of late, by its own word
	loads     reading
}

// NewServer makes a Hub; Run makes it work.
func NewServer(opt ServerOptions) *Server {
	if opt.Transport == nil {
		opt.Transport = NewTransport()
	}
	now := time.Now()
	limits := opt.Limits.filled()
	return &Server{opt: opt, limits: limits, room: room{most: limits.MaxPendingReplyBytes}, table: newTable(), boot: rand.Uint64() | 1, started: now, ticked: now,
		news: make(chan struct{}), acked: make(chan struct{}), followers: map[string]*follower{}, peers: map[string]*peer{},
		totals: newVector(false), sums: newVector(false), lowest: math.MaxUint64,
		done: make(chan struct{}), kick: make(chan struct{}, 1), share: make(chan struct{}, 1)}
}

// Handler serves the calls of followers and of other keepers, under /twirp/gradeusher.distribution.Distribution/.
func (h *Server) Handler() http.Handler {
	return bounded(leasing(distributionpb.NewDistributionServer(h)))
}

// coalesce is how long the first change waits for others before followers are woken.
const coalesce = 5 * time.Millisecond

// Run works until ctx ends, and then ends the polls that are held. It is called once.
func (h *Server) Run(ctx context.Context) {
	defer close(h.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.shareAll(ctx) })
	tick := time.NewTicker(h.limits.LoadReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.tick(time.Now())
		case <-h.kick:
			if !sleep(ctx, coalesce) {
				return
			}
			h.mu.Lock()
			h.wake()
			h.mu.Unlock()
			poke(h.share)
		}
	}
}

// wake makes held polls look again. The caller holds mu.
func (h *Server) wake() {
	close(h.news)
	h.news = make(chan struct{})
}

func poke(c chan struct{}) {
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
	current := h.opt.Source.Current()
	state, _ := h.opt.Source.Committed()
	h.mu.Lock()
	defer h.mu.Unlock()
	if state != nil {
		h.commits.note(now, state.Seq)
	}
	if gap := now.Sub(h.ticked); gap > h.limits.SubscriberTimeout/2 {
		// This process stood still, so the silence of others says nothing.
		for _, f := range h.followers {
			f.seen, f.broken = f.seen.Add(gap), time.Time{}
		}
		for _, p := range h.peers {
			p.heard = p.heard.Add(gap)
		}
		h.deaf = now
	}
	if 2*len(h.heard(now)) < len(h.peers) {
		h.deaf = now
	}
	h.ticked = now
	h.feeds(now, current)
	h.settle(now)
	h.judge(now)
	if now.Sub(h.expired) >= time.Second {
		h.expired = now
		h.table.expire(now)
	}

	sum := map[string]pick.Load{}
	for _, f := range h.followers {
		f.loads.add(now, sum)
		f.included = f.loads.number
	}
	changed := h.sums.publish(now, sum)
	for _, p := range h.peers {
		p.loads.add(now, sum)
	}
	if h.totals.publish(now, sum) {
		h.wake()
	}
	if changed {
		poke(h.share)
	}
}

// settle declares the table complete once it has had the time to fill.
func (h *Server) settle(now time.Time) {
	if !h.complete && now.Sub(h.started) > h.limits.TableCompleteAfter {
		h.markComplete()
	}
}

func (h *Server) markComplete() {
	h.complete, h.boot = true, rand.Uint64()|1
	h.wake()
}

// pace is the time between load reports to one follower: it grows with the fleet, so that the bytes that one proxy and
// the work that one keeper spends on them stay level.
func (h *Server) pace() time.Duration {
	n := len(h.followers)
	for _, p := range h.peers {
		n += int(min(p.followers, 1<<16))
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
	out := make([]SubscriberInfo, 0, len(h.followers))
	for node, f := range h.followers {
		info := SubscriberInfo{Node: node, Seq: f.seq}
		if f.open == 0 {
			info.SinceLastCall = now.Sub(f.seen)
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
		ok := h.level(time.Now(), seq)
		acked := h.acked
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

func (h *Server) level(now time.Time, seq uint64) bool {
	for _, f := range h.followers {
		if f.seq < seq {
			return false
		}
	}
	for _, p := range h.peers {
		if now.Sub(p.heard) <= peerLife && p.lowest < seq {
			return false
		}
	}
	return true
}
