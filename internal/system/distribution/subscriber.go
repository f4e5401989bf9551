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

// ErrNoControlPlane marks an error of a call that reached no control-plane node.
var ErrNoControlPlane = errors.New("distribution: no control-plane node is reached; check the seeds and the inner port")

// SubscriberOptions configure a Subscriber. Seeds, the ports, Self and Log are required.
type SubscriberOptions struct {
	Seeds                       []string                    // possible control-plane nodes or proxies, as IP or IP:port; SetSeeds replaces them
	ControlPlanePort, ProxyPort int                         // inner ports
	Self                        softstate.Member            // Incarnation 0: a random one is chosen
	Loads                       func() map[string]pick.Load // this proxy's own, by server id; called from several goroutines
	OnUpdate                    func(Update)                // called from one goroutine, with the newest update only
	OnLoads                     func(map[string]pick.Load)  // outstanding loads of all other proxies, by server id; called like OnUpdate
	Transport                   http.RoundTripper
	Log                         log.Interface
	LongPollTimeout             time.Duration // longest wait of a poll; default 1 s
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

// Update is a snapshot of what a proxy has. It is not modified later.
type Update struct {
	State                *controlstate.State // empty (Seq 0, no Config) until a state arrives that is proved newest or is a neighbour's
	Members              []softstate.Member  // the live proxies, including this one and draining ones, by name
	Servers              []pick.Server       // by id; times as of AsOf
	HasList              bool                // a complete reading of the platform's list has been received
	ListAge              time.Duration       // maximum age of the newest complete reading
	ListCoversSeq        uint64              // Servers shows everything that happened up to the commit of this record; see commitLog
	ContactAge           time.Duration       // maximum time since the last contact to a current node
	AsOf                 time.Time           // time to which the durations here refer
	Fresh                bool                // a current node has recently confirmed that there is nothing newer
	MembershipIncomplete bool                // no node that knows all live proxies has sent them yet to this incarnation of the process
	DownCount            int                 // proxies that are marked down, and may still be alive
	Stale                bool                // others may consider this proxy lost: no recent contact to a current node, or marked down
}

// Subscriber runs on a proxy: it polls one control-plane node, and switches to another if that one fails.
type Subscriber struct {
	options SubscriberOptions
	client  *http.Client
	callIDs rpc.CallIDs

	mu        sync.Mutex // guards the fields below
	announced announcement
	control   stateReplica
	soft      softReplica
	loads     loadExchange
	nodes     nodeSet
	freshness freshnessTracker

	updatePending chan struct{} // something in Update changed
	loadsPending  chan struct{} // the loads of others changed
	callRequested chan struct{} // a node is to be called immediately
}

// NewSubscriber returns a Subscriber; call Run to start it.
func NewSubscriber(options SubscriberOptions) *Subscriber {
	options = options.withDefaults()
	return &Subscriber{
		options: options, client: &http.Client{Transport: rpc.BoundedTransport{Next: options.Transport}},
		announced: newAnnouncement(options.Self), control: newStateReplica(), soft: newSoftReplica(options.knobs.AlwaysReplaceTable),
		loads: newLoadExchange(), nodes: newNodeSet(options.Self, options.Seeds),
		updatePending: make(chan struct{}, 1), loadsPending: make(chan struct{}, 1), callRequested: make(chan struct{}, 1),
	}
}

// Run runs the subscriber until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.pollLoop(ctx) })
	wg.Go(func() { s.notifyLoop(ctx) })
	wg.Go(func() { s.immediateCallLoop(ctx) })
	wg.Go(func() { s.neighbourLoop(ctx) })
}

// Incarnation returns the number of this process's incarnation.
func (s *Subscriber) Incarnation() uint64 { return s.options.Self.Incarnation }

// NotifyListUpdates sets whether OnUpdate is called for each newer reading of the platform's list, even if it changed nothing.
func (s *Subscriber) NotifyListUpdates(notify bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.soft.notifyListUpdates = notify
}

// Refresh immediately calls the node that is followed, and causes a call of OnUpdate when a current node has replied to a call made after
// now, even if the reply brings nothing new.
func (s *Subscriber) Refresh() {
	s.mu.Lock()
	s.freshness.refreshAfter = time.Now()
	s.mu.Unlock()
	signal(s.callRequested)
}

// Current returns the proxy's present Update.
func (s *Subscriber) Current() Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentUpdate(time.Now())
}

// StateAge returns how long ago, at most, nothing newer than the state had been acknowledged. It returns one hour if that was never
// proved or is longer ago.
func (s *Subscriber) StateAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.stateAge(time.Now())
}

// currentUpdate returns the present Update. The caller holds mu.
func (s *Subscriber) currentUpdate(now time.Time) Update {
	update := Update{
		State: s.servableState(), Fresh: s.freshness.isFresh(now), MembershipIncomplete: !s.soft.membershipComplete, AsOf: now,
		ContactAge: s.freshness.contactAge(now), Stale: s.mayBeMarkedDown(now), ListCoversSeq: s.soft.table.ListCoversSeq(),
	}
	update.Servers, update.ListAge, update.HasList = s.soft.table.Servers(now)
	update.Members, update.DownCount = s.liveMembers()
	return update
}

// servableState returns the state, or an empty one while no reply has proved the state fresh since the start: it may be old, and the next
// reply will show whether it is. The caller holds mu.
func (s *Subscriber) servableState() *controlstate.State {
	if s.freshness.neverFresh() && !s.control.fromNeighbour && !s.options.knobs.ServeLateState {
		return controlstate.Empty()
	}
	return s.control.state
}

// liveMembers returns the members that are not down, including this proxy, by name, and the number of those that are down. The caller
// holds mu.
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

// mayBeMarkedDown reports whether others may consider this proxy lost. The caller holds mu.
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
