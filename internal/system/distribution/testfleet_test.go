package distribution

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

func discardLogger() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.DebugLevel} }

// mesh is an in-process network of hosts, with delays, one-way partitions that silently lose messages, and hosts that are down.
type mesh struct {
	mu          sync.Mutex
	hosts       map[string]http.Handler
	partitioned map[[2]string]bool
	delayed     map[[2]string]chan struct{} // messages wait until it is closed, even if their sender has given up
	delay       func(from, to string) time.Duration
	calls       int
	wg          sync.WaitGroup // of handlers
	bytes       int64
}

func newMesh() *mesh {
	return &mesh{hosts: map[string]http.Handler{}, partitioned: map[[2]string]bool{}, delayed: map[[2]string]chan struct{}{},
		delay: func(_, _ string) time.Duration { return time.Millisecond }}
}

func (m *mesh) host(name string, h http.Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h == nil {
		delete(m.hosts, name)
	} else {
		m.hosts[name] = h
	}
}

func (m *mesh) setPartitioned(from, to string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitioned[[2]string{from, to}] = cut
}

// holdBack holds back the messages in one direction, as in a partition that a connection survives, or delivers them.
func (m *mesh) holdBack(from, to string, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	way := [2]string{from, to}
	if on && m.delayed[way] == nil {
		m.delayed[way] = make(chan struct{})
	} else if !on && m.delayed[way] != nil {
		close(m.delayed[way])
		delete(m.delayed, way)
	}
}

// release delivers all messages that are held back.
func (m *mesh) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.delayed {
		close(c)
	}
	clear(m.delayed)
}

// awaitDelivery waits while the messages in a direction are held back.
func (m *mesh) awaitDelivery(from, to string) {
	m.mu.Lock()
	c := m.delayed[[2]string{from, to}]
	m.mu.Unlock()
	if c != nil {
		<-c
	}
}

// transmit waits for the time that a message takes, and blocks until ctx ends if it is lost.
func (m *mesh) transmit(ctx context.Context, from, to string, size int64) error {
	m.mu.Lock()
	d := m.delay(from, to)
	lost := m.partitioned[[2]string{from, to}]
	m.calls++
	m.bytes += size
	m.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if !sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

type meshTransport struct {
	mesh *mesh
	name string
}

func (s meshTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	to := r.URL.Host
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if err := s.mesh.transmit(r.Context(), s.name, to, int64(len(body))); err != nil {
		return nil, err
	}
	s.mesh.mu.Lock()
	handler := s.mesh.hosts[to]
	s.mesh.mu.Unlock()
	if handler == nil {
		return nil, errors.New("connection refused")
	}
	done := make(chan *http.Response, 1)
	s.mesh.wg.Add(1)
	go func() { //nolint:contextcheck // the host does not notice that its caller went away, as behind a silent partition
		defer s.mesh.wg.Done()
		s.mesh.awaitDelivery(s.name, to)
		in := r.Clone(context.WithoutCancel(r.Context()))
		in.Body = io.NopCloser(newReader(body))
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, in)
		s.mesh.awaitDelivery(to, s.name)
		done <- w.Result()
	}()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case resp := <-done:
		s.mesh.mu.Lock()
		alive := s.mesh.hosts[to] != nil
		s.mesh.mu.Unlock()
		if !alive {
			return nil, errors.New("connection reset")
		}
		if err := s.mesh.transmit(r.Context(), to, s.name, resp.ContentLength); err != nil {
			return nil, err
		}
		return resp, nil
	}
}

// fakeChain is the state that the fake sources share: the acknowledged records.
type fakeChain struct {
	mu          sync.Mutex
	records     []controlstate.Record
	states      []*controlstate.State
	changed     chan struct{}
	compactedTo uint64 // records up to this number have been compacted
}

func newChain() *fakeChain {
	return &fakeChain{states: []*controlstate.State{controlstate.Empty()}, changed: make(chan struct{})}
}

func (c *fakeChain) add(r controlstate.Record) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.states[len(c.states)-1]
	r.Seq = last.Seq + 1
	s, err := last.Apply(r)
	if err != nil {
		panic(err)
	}
	c.records, c.states = append(c.records, r), append(c.states, s)
	close(c.changed)
	c.changed = make(chan struct{})
	return r.Seq
}

func (c *fakeChain) seq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint64(len(c.records))
}

// fakeSource is one node's view of the chain.
type fakeSource struct {
	*fakeChain
	addresses []string
	mu        sync.Mutex
	stale     bool
	staleSeq  uint64 // its record number while stale
}

func (s *fakeSource) setStale(stale bool) {
	at := s.seq()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale, s.staleSeq = stale, at
}

func (s *fakeSource) Committed() (*controlstate.State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fakeChain.mu.Lock()
	defer s.fakeChain.mu.Unlock()
	if s.stale {
		return s.states[s.staleSeq], s.changed
	}
	return s.states[len(s.states)-1], s.changed
}

func (s *fakeSource) RecordsAfter(seq uint64, maxRecords int) ([]controlstate.Record, bool) {
	s.fakeChain.mu.Lock()
	defer s.fakeChain.mu.Unlock()
	if seq < s.compactedTo || seq > uint64(len(s.records)) {
		return nil, false
	}
	return s.records[seq:min(uint64(len(s.records)), seq+uint64(maxRecords))], true
}

func (s *fakeSource) Current() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stale
}

func (s *fakeSource) Addresses() []string { return s.addresses }

// testFleet is a set of servers and subscribers on a mesh.
type testFleet struct {
	knobs      TestingKnobs
	mesh       *mesh
	chain      *fakeChain
	names      []string // of the nodes
	sources    map[string]*fakeSource
	servers    map[string]*Server
	stopServer map[string]context.CancelFunc
	proxies    map[string]*testProxy
	wg         sync.WaitGroup
}

type testProxy struct {
	subscriber *Subscriber
	stop       context.CancelFunc

	mu         sync.Mutex
	lastUpdate Update
	regressed  bool // its state went back
}

func newFleet(nodes ...string) *testFleet { return newFleetWithKnobs(TestingKnobs{}, nodes...) }

// newFleetWithKnobs returns a fleet whose servers lack a protection.
func newFleetWithKnobs(knobs TestingKnobs, nodes ...string) *testFleet {
	fleet := &testFleet{knobs: knobs, mesh: newMesh(), chain: newChain(), names: nodes, sources: map[string]*fakeSource{}, servers: map[string]*Server{},
		stopServer: map[string]context.CancelFunc{}, proxies: map[string]*testProxy{}}
	for _, k := range nodes {
		fleet.sources[k] = &fakeSource{fakeChain: fleet.chain, addresses: nodes}
		fleet.startServer(k)
	}
	return fleet
}

func (fl *testFleet) startServer(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	server := NewServer(ServerOptions{Source: fl.sources[name], Self: name, Zone: "zone-" + name, Region: "r", ListLag: warmUpListLag, Log: discardLogger(),
		knobs: fl.knobs, Transport: meshTransport{fl.mesh, name}, Peers: func() []string {
			var out []string
			for _, k := range fl.names {
				if k != name {
					out = append(out, "http://"+k)
				}
			}
			return out
		}})
	fl.servers[name], fl.stopServer[name] = server, cancel
	fl.mesh.host(name, server.Handler())
	fl.wg.Go(func() { server.Run(ctx) })
}

func (fl *testFleet) killServer(name string) {
	fl.mesh.host(name, nil)
	fl.stopServer[name]()
	delete(fl.servers, name)
}

func (fl *testFleet) startProxy(node string, change func(*SubscriberOptions)) *testProxy {
	ctx, cancel := context.WithCancel(context.Background())
	proxy := &testProxy{stop: cancel}
	opt := SubscriberOptions{Seeds: fl.names, ControlPlanePort: 1, ProxyPort: 2, Log: discardLogger(), Transport: meshTransport{fl.mesh, node},
		Self: softstate.Member{Node: node, Zone: "zone-" + fl.names[rand.IntN(len(fl.names))], Region: "r", IP: node + ":2"},
		OnUpdate: func(update Update) {
			proxy.mu.Lock()
			defer proxy.mu.Unlock()
			proxy.regressed = proxy.regressed || proxy.lastUpdate.State != nil && update.State.Seq < proxy.lastUpdate.State.Seq
			proxy.lastUpdate = update
		}}
	if change != nil {
		change(&opt)
	}
	proxy.subscriber = NewSubscriber(opt)
	fl.mesh.host(node+":2", proxy.subscriber.Handler())
	fl.proxies[node] = proxy
	fl.wg.Go(func() { proxy.subscriber.Run(ctx) })
	return proxy
}

func (fl *testFleet) killProxy(node string) {
	fl.mesh.host(node+":2", nil)
	fl.proxies[node].stop()
	delete(fl.proxies, node)
}

func (fl *testFleet) stop() {
	fl.mesh.release()
	for n := range fl.servers {
		fl.killServer(n)
	}
	for n := range fl.proxies {
		fl.killProxy(n)
	}
	fl.wg.Wait()
	fl.mesh.wg.Wait()
}

func (p *testProxy) update() Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastUpdate
}
