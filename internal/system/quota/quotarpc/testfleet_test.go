package quotarpc

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
	"gradeusher.example/gradeusher/internal/testsupport/memorynet"
)

// testBounds are the bounds used in deployments.
var testBounds = quota.Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// learningTime is longer than the learning phase of an allocator after the start of its term.
const learningTime = 7 * time.Second

func discardLogger() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel} }

func limitedTenant(name string, rate, burst float64) *config.Tenant {
	return &config.Tenant{Name: name, RatePerSecond: rate, Burst: burst}
}

// fakeChain implements Chain with a view and a control state that tests set.
type fakeChain struct {
	mu        sync.Mutex
	epoch     uint64
	addresses []string
	stale     bool   // the node is not current
	onCurrent func() // runs during Current
	state     *controlstate.State
}

func newFakeChain(tenants []*config.Tenant, addresses ...string) *fakeChain {
	state := &controlstate.State{Seq: 1, Config: &config.Config{Revision: 1, Tenants: tenants, HasTenants: true}}
	return &fakeChain{epoch: 1, addresses: addresses, state: state}
}

func (c *fakeChain) ChainAddresses() (uint64, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.addresses
}

func (c *fakeChain) Current() bool {
	c.mu.Lock()
	stale, onCurrent := c.stale, c.onCurrent
	c.mu.Unlock()
	if onCurrent != nil {
		onCurrent()
	}
	return !stale
}

func (c *fakeChain) Committed() (*controlstate.State, <-chan struct{}) { return c.state, nil }

// enter sets the current view.
func (c *fakeChain) enter(epoch uint64, addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch, c.addresses = epoch, addresses
}

// fleetProxy is a proxy of a testFleet.
type fleetProxy struct {
	limiter *LimiterServer
	client  *Client
	stop    context.CancelFunc
}

// testFleet is one zone of proxies and one control-plane node that is the allocator, all in one bubble.
type testFleet struct {
	network   *memorynet.Network
	chain     *fakeChain
	allocator *AllocationServer
	proxies   map[string]*fleetProxy
	running   sync.WaitGroup
	knobs     TestingKnobs // knobs of the limiters
}

const allocatorHost = "10.0.0.1"

// newTestFleet starts the proxies, each with its name as its host. When it returns, the allocator has learned what is outstanding.
func newTestFleet(t *testing.T, tenants []*config.Tenant, names ...string) *testFleet {
	t.Helper()
	return newTestFleetWith(t, TestingKnobs{}, tenants, names...)
}

// newTestFleetWith starts a fleet whose limiters use the given knobs.
func newTestFleetWith(t *testing.T, knobs TestingKnobs, tenants []*config.Tenant, names ...string) *testFleet {
	t.Helper()
	fleet := &testFleet{knobs: knobs, network: memorynet.New(nil), chain: newFakeChain(tenants, allocatorHost), proxies: map[string]*fleetProxy{}}
	fleet.network.Delay = time.Millisecond
	fleet.allocator = NewAllocationServer(AllocationOptions{Self: allocatorHost, Chain: fleet.chain, Bounds: testBounds, Log: discardLogger()})
	fleet.network.Set(allocatorHost, fleet.allocator.Handler())
	ctx, cancel := context.WithCancel(t.Context())
	fleet.running.Go(func() { fleet.allocator.Run(ctx) })
	for _, name := range names {
		fleet.addProxy(ctx, name)
	}
	for _, proxy := range fleet.proxies {
		proxy.client.SetPeers(fleet.peers(names...))
	}
	t.Cleanup(func() {
		cancel()
		for _, proxy := range fleet.proxies {
			proxy.client.Close()
		}
		fleet.running.Wait()
	})
	time.Sleep(learningTime)
	return fleet
}

func (f *testFleet) addProxy(ctx context.Context, name string) {
	limiter := NewLimiterServer(LimiterOptions{
		ID:               quota.LimiterID{Node: name, Incarnation: 1},
		Bounds:           testBounds,
		Followed:         func() string { return allocatorHost },
		ControlPlanePort: 1,
		Transport:        f.network,
		Log:              discardLogger(),
		Knobs:            f.knobs,
	})
	limiter.SetConfig(f.chain.state.Config)
	client := NewClient(ClientOptions{Self: name, Limiter: limiter, Transport: f.network, Log: discardLogger()})
	f.network.Set(name, limiter.Handler())
	ctx, stop := context.WithCancel(ctx)
	f.running.Go(func() { limiter.Run(ctx) })
	f.proxies[name] = &fleetProxy{limiter: limiter, client: client, stop: stop}
}

// peers returns the proxies with the given names as peers.
func (f *testFleet) peers(names ...string) []Peer {
	var peers []Peer
	for _, name := range names {
		peers = append(peers, Peer{Node: name, Address: name + ":1"})
	}
	return peers
}

// verdicts counts the verdicts on requests. It is safe for concurrent use.
type verdicts struct {
	mu     sync.Mutex
	counts map[quota.Verdict]int
}

func (v *verdicts) add(verdict quota.Verdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.counts == nil {
		v.counts = map[quota.Verdict]int{}
	}
	v.counts[verdict]++
}

func (v *verdicts) String() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("%d admitted, %d over the limit, %d unavailable", v.counts[quota.Admitted], v.counts[quota.OverLimit], v.counts[quota.Unavailable])
}

// count returns how often a verdict was given.
func (v *verdicts) count(verdict quota.Verdict) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts[verdict]
}

// sendRequests sends requests of a tenant to a proxy at a steady rate for a duration, and returns once all of them have a verdict.
func (f *testFleet) sendRequests(t *testing.T, name string, tenant *config.Tenant, perSecond int, duration time.Duration) *verdicts {
	t.Helper()
	var outcome verdicts
	var requests sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	for range int(duration / interval) {
		requests.Go(func() { outcome.add(f.proxies[name].client.Admit(t.Context(), tenant).Verdict) })
		time.Sleep(interval)
	}
	requests.Wait()
	return &outcome
}

// ownLimiterFunc implements OwnLimiter.
type ownLimiterFunc func(count int) TakeResult

func (f ownLimiterFunc) Decide(_ context.Context, _ string, count int, _ time.Duration) TakeResult {
	return f(count)
}

// limitingFunc implements quotapb.Limiting as the limiter of another proxy.
type limitingFunc func(ctx context.Context, request *quotapb.TakeRequest) (*quotapb.TakeReply, error)

func (f limitingFunc) Take(ctx context.Context, request *quotapb.TakeRequest) (*quotapb.TakeReply, error) {
	return f(ctx, request)
}

// limitingHandler returns the handler of another proxy's limiter.
func limitingHandler(take limitingFunc) http.Handler { return quotapb.NewLimitingServer(take) }

// admitAll is a limitingFunc that admits all requests.
func admitAll(_ context.Context, request *quotapb.TakeRequest) (*quotapb.TakeReply, error) {
	return &quotapb.TakeReply{Call: request.GetCall(), Admitted: request.GetCount()}, nil
}
