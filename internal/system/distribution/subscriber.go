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
	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/loadreport"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// ErrNoControlPlane marks the failure to reach any keeper.
var ErrNoControlPlane = errors.New("distribution: no keeper is reached; check the seeds and the inner port")

// SubscriberOptions are what a Follower needs. Seeds, the ports, Self and Log must be given.
type SubscriberOptions struct {
	Seeds                       []string                    // machines that may be keepers or proxies, as IP or IP:port; always kept as a fallback
	ControlPlanePort, ProxyPort int                         // inner ports
	Self                        softstate.Member            // Incarnation 0: one is drawn
	Loads                       func() map[string]pick.Load // this proxy's own, by server id; called from several goroutines
	OnUpdate                    func(Update)                // called from one goroutine, with the newest only
	OnLoads                     func(map[string]pick.Load)  // what all other proxies bring, by server id; called as OnUpdate
	Transport                   http.RoundTripper
	Log                         log.Interface
	LongPollTimeout             time.Duration // longest wait of a poll; 1 s

	Knobs TestingKnobs
}

// Update is what a proxy holds. Nothing in it is changed later.
type Update struct {
	State                *controlstate.State // Seq 0 and no Config until one has come that was the newest a moment ago, or a neighbour's
	Members              []softstate.Member  // the live proxies, this one and those leaving included, by name
	Servers              []pick.Server       // by id; times as of now
	HasList              bool                // a whole reading of the platform's list has come
	ListAge              time.Duration       // of the newest whole reading, at most
	ListCoversSeq        uint64              // the number of the newest record of the control state before which all that happened shows in Servers
	ContactAge           time.Duration       // of the last word of a keeper that was current, at most
	AsOf                 time.Time           // when the durations here were right
	Fresh                bool                // a keeper that is current has just told that there is nothing newer
	MembershipIncomplete bool                // no keeper that knows all live proxies has told of them in this life of the process
	DownCount            int                 // proxies that are marked down, and may live on
	Stale                bool                // others may have given this proxy up: no current keeper was heard lately, or it is marked down
}

// Subscriber is a proxy's end.
type Subscriber struct {
	options   SubscriberOptions
	client    *http.Client
	callIDs   rpc.CallIDs
	startedAt time.Time

	mu                 sync.Mutex
	self               softstate.Member
	ackedRevision      uint64 // revision of self that a keeper has taken in
	revisionAcked      chan struct{}
	pendingVerdicts    map[string]uint64 // verdicts to pass on: node to incarnation
	state              *controlstate.State
	resync             bool // the records do not apply: ask for a snapshot
	stateFromNeighbour bool // the state is a neighbour's, since no keeper could be reached
	table              *softstate.Table
	unconfirmedServers map[string]bool // keys of servers that no keeper has told since all lost their tables
	membershipComplete bool            // a table that misses no live proxy has been taken in
	skippedOldList     bool            // a list was not taken, as it looked older than the one held: a whole table is to be told again
	tableCursor        distributionpb.Cursor
	totalLoads         loadreport.Received
	ownLoads           *loadreport.Vector
	sentLoads          []sentLoads // as told, newest last
	ackedLoads         softstate.Cursor
	otherLoads         map[string]pick.Load
	nodes              map[string]*controlPlaneNode
	nodesDigest        uint64
	servingNode        string // the keeper that is followed; empty: none
	servingNodeStale   bool   // it is not current
	lastContact        time.Time
	freshAt            time.Time // when it was certainly so that nothing newer than state had been acknowledged; zero: never yet
	lastCurrentContact time.Time // when a keeper that was current certainly still answered
	refreshAfter       time.Time // the owner is to be told of a current keeper's word from after it; zero: of none in particular
	loadReportInterval time.Duration

	notifyListUpdates bool
	updatePending     chan struct{} // something in Update
	loadsPending      chan struct{}
	callRequested     chan struct{}
}

type sentLoads struct {
	number uint64
	loads  map[string]pick.Load
}

// NewSubscriber makes a Follower; Run makes it work.
func NewSubscriber(opt SubscriberOptions) *Subscriber {
	if opt.Transport == nil {
		opt.Transport = rpc.NewTransport()
	}
	if opt.LongPollTimeout <= 0 {
		opt.LongPollTimeout = time.Second
	}
	if opt.Self.Incarnation == 0 {
		opt.Self.Incarnation = rand.Uint64() | 1
	}
	opt.Self.Revision = max(1, opt.Self.Revision)
	f := &Subscriber{options: opt, client: &http.Client{Transport: rpc.BoundedTransport{Next: opt.Transport}}, startedAt: time.Now(), self: opt.Self,
		revisionAcked: make(chan struct{}), pendingVerdicts: map[string]uint64{}, state: controlstate.Empty().WithoutHistory(), table: softstate.NewTable(), ownLoads: loadreport.NewVector(true),
		nodes: map[string]*controlPlaneNode{}, loadReportInterval: 100 * time.Millisecond,
		updatePending: make(chan struct{}, 1), loadsPending: make(chan struct{}, 1), callRequested: make(chan struct{}, 1)}
	for _, s := range opt.Seeds {
		f.nodes[s] = &controlPlaneNode{address: s, seed: true}
	}
	return f
}

// Run works until ctx ends.
func (f *Subscriber) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.pollLoop(ctx) })
	wg.Go(func() { f.notifyLoop(ctx) })
	wg.Go(func() { f.promptCallLoop(ctx) })
	wg.Go(func() { f.neighbourLoop(ctx) })
}

// Incarnation is the number of this process's life.
func (f *Subscriber) Incarnation() uint64 { return f.options.Self.Incarnation }

// SetReady says whether this proxy serves clients.
func (f *Subscriber) SetReady(ready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.self.Ready != ready {
		f.self.Ready = ready
		f.self.Revision++
		signal(f.callRequested)
		signal(f.updatePending)
	}
}

// leaveTimeout bounds Leave.
const leaveTimeout = 300 * time.Millisecond

// Leave says that this proxy is about to stop, and waits up to 300 ms until a keeper has heard it.
func (f *Subscriber) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	f.mu.Lock()
	if !f.self.Draining {
		f.self.Draining, f.self.Ready = true, false
		f.self.Revision++
		signal(f.updatePending)
	}
	want := f.self.Revision
	f.mu.Unlock()
	signal(f.callRequested)
	for {
		f.mu.Lock()
		told, done := f.ackedRevision, f.revisionAcked
		f.mu.Unlock()
		if told >= want {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(ctx.Err(), "distribution: no keeper has heard that this proxy leaves; it will be found silent instead"), ErrNoControlPlane)
		case <-done:
		}
	}
}

// Report passes on the verdict that the given life of a proxy is silent.
func (f *Subscriber) Report(node string, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pendingVerdicts) < 256 {
		f.pendingVerdicts[node] = incarnation
		signal(f.callRequested)
	}
}

// NotifyListUpdates says whether the owner is to be told of each newer reading of the platform's list, also of one that changed nothing.
func (f *Subscriber) NotifyListUpdates(await bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notifyListUpdates = await
}

// Refresh asks the keeper that is followed at once, and has OnUpdate called when a current keeper has answered to a call from
// after now, also if it tells nothing new.
func (f *Subscriber) Refresh() {
	f.mu.Lock()
	f.refreshAfter = time.Now()
	f.mu.Unlock()
	signal(f.callRequested)
}

// Current gives what is held now.
func (f *Subscriber) Current() Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentUpdate(time.Now())
}

func (f *Subscriber) currentUpdate(now time.Time) Update {
	u := Update{State: f.state, Fresh: f.isFresh(now), MembershipIncomplete: !f.membershipComplete, AsOf: now, ContactAge: min(now.Sub(f.lastCurrentContact), unknownAge)}
	u.Stale = f.mayBeMarkedDown(now)
	if f.freshAt.IsZero() && !f.stateFromNeighbour && !f.options.Knobs.ServeLateState {
		u.State = controlstate.Empty() // it came late, so it may be old: the next answer tells
	}
	u.Servers, u.ListAge, u.HasList = f.table.Servers(now)
	u.ListCoversSeq = f.table.ListCoversSeq()
	seen := false
	for _, m := range f.table.Members() {
		if m.Node == f.self.Node {
			m, seen = f.self, true
		}
		if m.Down {
			u.DownCount++
			continue
		}
		u.Members = append(u.Members, m)
	}
	if !seen {
		u.Members = append(u.Members, f.self)
		for i := len(u.Members) - 1; i > 0 && u.Members[i].Node < u.Members[i-1].Node; i-- {
			u.Members[i], u.Members[i-1] = u.Members[i-1], u.Members[i]
		}
	}
	return u
}

// unknownAge is the age of what has never come.
const unknownAge = time.Hour

func (f *Subscriber) isFresh(now time.Time) bool {
	return !f.freshAt.IsZero() && now.Sub(f.freshAt) <= catchup.FreshnessTTL
}

// mayBeMarkedDown tells whether others may have given this proxy up.
func (f *Subscriber) mayBeMarkedDown(now time.Time) bool {
	if now.Sub(f.lastCurrentContact) > catchup.FreshnessTTL {
		return true
	}
	held := f.table.Get(softstate.MemberPrefix + f.self.Node)
	if held == nil {
		return false
	}
	m, ok := held.Member()
	return ok && m.Down && m.Incarnation == f.self.Incarnation
}

// minNotifyInterval is the least time between two calls of the owner.
const minNotifyInterval = 15 * time.Millisecond

// notifyLoop calls the owner back, and notices what only time brings about.
func (f *Subscriber) notifyLoop(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	fresh, stale := false, true
	var expired time.Time
	for {
		update, loads := false, false
		select {
		case <-ctx.Done():
			return
		case <-f.updatePending:
			update = true
		case <-f.loadsPending:
			loads = true
		case <-tick.C:
			f.reportFirstLoad()
		}
		now := time.Now()
		f.mu.Lock()
		if now.Sub(expired) >= time.Second {
			expired = now
			f.table.Expire(now)
		}
		if f.isFresh(now) != fresh {
			fresh, update = !fresh, true
		}
		if f.mayBeMarkedDown(now) != stale {
			stale, update = !stale, true
		}
		if len(f.otherLoads) > 0 && now.Sub(f.lastContact) > loadreport.TTL+f.options.LongPollTimeout {
			f.otherLoads, loads = nil, true
		}
		var u Update
		if update {
			u = f.currentUpdate(now)
		}
		others := f.otherLoads
		f.mu.Unlock()
		if loads && f.options.OnLoads != nil {
			f.options.OnLoads(others)
		}
		if update && f.options.OnUpdate != nil {
			f.options.OnUpdate(u)
		}
		// Changes that come together are to be told together: what an owner makes of an update costs more than the update.
		if (update || loads) && !sleep(ctx, minNotifyInterval) {
			return
		}
	}
}

// reportFirstLoad tells a keeper at once where load begins during a long wait.
func (f *Subscriber) reportFirstLoad() {
	if f.options.Loads == nil {
		return
	}
	f.mu.Lock()
	idle := len(f.sentLoads) == 0 || len(f.sentLoads[len(f.sentLoads)-1].loads) == 0
	f.mu.Unlock()
	if idle && len(f.options.Loads()) > 0 {
		signal(f.callRequested)
	}
}

// promptCallLoop makes short calls beside the held one, for what is not to wait.
func (f *Subscriber) promptCallLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.callRequested:
		}
		f.mu.Lock()
		keeper := f.servingNode
		f.mu.Unlock()
		if keeper != "" {
			_, _ = f.call(ctx, keeper, 0, replyIdleTimeout, true)
		}
		if !sleep(ctx, 20*time.Millisecond) {
			return
		}
	}
}
