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
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// ErrNoControlPlane marks the failure to reach any control-plane node.
var ErrNoControlPlane = errors.New("distribution: no control-plane node is reached; check the seeds and the inner port")

// SubscriberOptions are what a Subscriber needs. Seeds, the ports, Self and Log must be given.
type SubscriberOptions struct {
	Seeds                       []string                    // machines that may be control-plane nodes or proxies, as IP or IP:port; never forgotten
	ControlPlanePort, ProxyPort int                         // inner ports
	Self                        softstate.Member            // Incarnation 0: one is drawn
	Loads                       func() map[string]pick.Load // this proxy's own, by server id; called from several goroutines
	OnUpdate                    func(Update)                // called from one goroutine, with the newest only
	OnLoads                     func(map[string]pick.Load)  // what all other proxies have outstanding, by server id; called as OnUpdate
	Transport                   http.RoundTripper
	Log                         log.Interface
	LongPollTimeout             time.Duration // longest wait of a poll; 1 s
	knobs                       TestingKnobs
}

func (o SubscriberOptions) withDefaults() SubscriberOptions {
	if o.Transport == nil {
		o.Transport = rpc.NewTransport()
	}
	o.LongPollTimeout = defaults.IfNotPositive(o.LongPollTimeout, time.Second)
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = rand.Uint64() | 1
	}
	o.Self.Revision = max(1, o.Self.Revision)
	return o
}

// Update is what a proxy has. Nothing in it is changed later.
type Update struct {
	State                *controlstate.State // Seq 0 and no Config until one has come that was the newest a moment ago, or a neighbour's
	Members              []softstate.Member  // the live proxies, this one and those draining included, by name
	Servers              []pick.Server       // by id; times as of AsOf
	HasList              bool                // a complete reading of the platform's list has come
	ListAge              time.Duration       // of the newest complete reading, at most
	ListCoversSeq        uint64              // number of the newest record up to whose commit Servers shows all that happened to servers; see commitLog
	ContactAge           time.Duration       // since the last contact to a node that was current, at most
	AsOf                 time.Time           // when the durations here were right
	Fresh                bool                // a node that is current has just confirmed that there is nothing newer
	MembershipIncomplete bool                // no node that knows all live proxies has sent them in this incarnation of the process
	DownCount            int                 // proxies that are marked down, and may live on
	Stale                bool                // others may take this proxy for lost: it had no contact to a current node lately, or it is marked down
}

// Subscriber is a proxy's end: it polls one control-plane node, and finds another where that one fails.
type Subscriber struct {
	options SubscriberOptions
	client  *http.Client
	callIDs rpc.CallIDs

	mu        sync.Mutex // guards what follows
	announced announcement
	control   stateReplica
	soft      softReplica
	loads     loadExchange
	nodes     nodeSet
	freshness freshnessTracker

	updatePending chan struct{} // something in Update changed
	loadsPending  chan struct{} // the loads of others changed
	callRequested chan struct{} // a node is to be called at once
}

// NewSubscriber makes a Subscriber; Run makes it work.
func NewSubscriber(options SubscriberOptions) *Subscriber {
	options = options.withDefaults()
	return &Subscriber{
		options: options, client: &http.Client{Transport: rpc.BoundedTransport{Next: options.Transport}},
		announced: newAnnouncement(options.Self), control: newStateReplica(), soft: newSoftReplica(options.knobs.ReplaceAlways),
		loads: newLoadExchange(), nodes: newNodeSet(options.Self, options.Seeds),
		updatePending: make(chan struct{}, 1), loadsPending: make(chan struct{}, 1), callRequested: make(chan struct{}, 1),
	}
}

// Run works until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.pollLoop(ctx) })
	wg.Go(func() { s.notifyLoop(ctx) })
	wg.Go(func() { s.immediateCallLoop(ctx) })
	wg.Go(func() { s.neighbourLoop(ctx) })
}

// Incarnation is the number of this process's incarnation.
func (s *Subscriber) Incarnation() uint64 { return s.options.Self.Incarnation }

// NotifyListUpdates says whether OnUpdate is to be called for each newer reading of the platform's list, also for one that changed nothing.
func (s *Subscriber) NotifyListUpdates(notify bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.soft.notifyListUpdates = notify
}

// Refresh calls the node that is followed at once, and has OnUpdate called when a current node has replied to a call from
// after now, also if that brings nothing new.
func (s *Subscriber) Refresh() {
	s.mu.Lock()
	s.freshness.refreshAfter = time.Now()
	s.mu.Unlock()
	signal(s.callRequested)
}

// Current returns what the proxy has now.
func (s *Subscriber) Current() Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentUpdate(time.Now())
}

// StateAge returns how long ago, at most, nothing newer than the state had been acknowledged; an hour where that was never proved or is
// longer ago.
func (s *Subscriber) StateAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.stateAge(time.Now())
}

// currentUpdate returns what the proxy has now. The caller holds mu.
func (s *Subscriber) currentUpdate(now time.Time) Update {
	update := Update{
		State: s.servableState(), Fresh: s.freshness.isFresh(now), MembershipIncomplete: !s.soft.membershipComplete, AsOf: now,
		ContactAge: s.freshness.contactAge(now), Stale: s.mayBeMarkedDown(now), ListCoversSeq: s.soft.table.ListCoversSeq(),
	}
	update.Servers, update.ListAge, update.HasList = s.soft.table.Servers(now)
	update.Members, update.DownCount = s.liveMembers()
	return update
}

// servableState is the state, or an empty one where that came late and so may be old: the next reply will tell. The caller holds mu.
func (s *Subscriber) servableState() *controlstate.State {
	if s.freshness.neverFresh() && !s.control.fromNeighbour && !s.options.knobs.ServeLateState {
		return controlstate.Empty()
	}
	return s.control.state
}

// liveMembers returns the members that are not down, this proxy included, by name, and how many are down. The caller holds mu.
func (s *Subscriber) liveMembers() (live []softstate.Member, down int) {
	self, hasSelf := s.announced.self, false
	for _, member := range s.soft.table.Members() {
		if member.Node == self.Node {
			member, hasSelf = self, true
		}
		if member.Down {
			down++
			continue
		}
		live = append(live, member)
	}
	if hasSelf {
		return live, down
	}
	live = append(live, self)
	for i := len(live) - 1; i > 0 && live[i].Node < live[i-1].Node; i-- {
		live[i], live[i-1] = live[i-1], live[i]
	}
	return live, down
}

// mayBeMarkedDown reports whether others may take this proxy for lost. The caller holds mu.
func (s *Subscriber) mayBeMarkedDown(now time.Time) bool {
	if s.freshness.outOfContact(now) {
		return true
	}
	self := s.announced.self
	stored := s.soft.table.Get(softstate.MemberPrefix + self.Node)
	if stored == nil {
		return false
	}
	member, ok := stored.Member()
	return ok && member.Down && member.Incarnation == self.Incarnation
}
