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

func quiet() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.DebugLevel} }

// mesh is an in-process network of hosts, with delay, silent cuts of one direction, and hosts that are gone.
type mesh struct {
	mu    sync.Mutex
	hosts map[string]http.Handler
	cut   map[[2]string]bool
	held  map[[2]string]chan struct{} // messages wait until it is closed, also where their sender has given up
	delay func(from, to string) time.Duration
	calls int
	wg    sync.WaitGroup // of handlers
	bytes int64
}

func newMesh() *mesh {
	return &mesh{hosts: map[string]http.Handler{}, cut: map[[2]string]bool{}, held: map[[2]string]chan struct{}{},
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

func (m *mesh) setCut(from, to string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[[2]string{from, to}] = cut
}

// hold keeps back the messages of one direction, as a cut does over which a connection lives on, or hands them over.
func (m *mesh) hold(from, to string, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	way := [2]string{from, to}
	if on && m.held[way] == nil {
		m.held[way] = make(chan struct{})
	} else if !on && m.held[way] != nil {
		close(m.held[way])
		delete(m.held, way)
	}
}

// release hands over all that is held back.
func (m *mesh) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.held {
		close(c)
	}
	clear(m.held)
}

// wait waits while the messages of a direction are held back.
func (m *mesh) wait(from, to string) {
	m.mu.Lock()
	c := m.held[[2]string{from, to}]
	m.mu.Unlock()
	if c != nil {
		<-c
	}
}

// way waits for a message's passage, and blocks until ctx ends where it is lost.
func (m *mesh) way(ctx context.Context, from, to string, size int64) error {
	m.mu.Lock()
	d := m.delay(from, to)
	lost := m.cut[[2]string{from, to}]
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

type station struct {
	mesh *mesh
	name string
}

func (s station) RoundTrip(r *http.Request) (*http.Response, error) {
	to := r.URL.Host
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if err := s.mesh.way(r.Context(), s.name, to, int64(len(body))); err != nil {
		return nil, err
	}
	s.mesh.mu.Lock()
	h := s.mesh.hosts[to]
	s.mesh.mu.Unlock()
	if h == nil {
		return nil, errors.New("connection refused")
	}
	done := make(chan *http.Response, 1)
	s.mesh.wg.Add(1)
	go func() {
		defer s.mesh.wg.Done()
		s.mesh.wait(s.name, to)
		// The host does not notice that the caller went away, as behind a silent cut.
		in := r.Clone(context.WithoutCancel(r.Context()))
		in.Body = io.NopCloser(newReader(body))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, in)
		s.mesh.wait(to, s.name)
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
		if err := s.mesh.way(r.Context(), to, s.name, resp.ContentLength); err != nil {
			return nil, err
		}
		return resp, nil
	}
}

// chain is what the fake sources have in common: the records that were acknowledged.
type chain struct {
	mu      sync.Mutex
	records []controlstate.Record
	states  []*controlstate.State
	news    chan struct{}
	gone    uint64 // records up to this number are compacted away
}

func newChain() *chain {
	return &chain{states: []*controlstate.State{controlstate.Empty()}, news: make(chan struct{})}
}

func (c *chain) add(r controlstate.Record) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.states[len(c.states)-1]
	r.Seq = last.Seq + 1
	s, err := last.Apply(r)
	if err != nil {
		panic(err)
	}
	c.records, c.states = append(c.records, r), append(c.states, s)
	close(c.news)
	c.news = make(chan struct{})
	return r.Seq
}

func (c *chain) seq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint64(len(c.records))
}

// source is one keeper's sight of the chain.
type source struct {
	*chain
	keepers []string
	mu      sync.Mutex
	stale   bool
	at      uint64 // where it stands while stale
}

func (s *source) setStale(stale bool) {
	at := s.seq()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale, s.at = stale, at
}

func (s *source) Committed() (*controlstate.State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chain.mu.Lock()
	defer s.chain.mu.Unlock()
	if s.stale {
		return s.states[s.at], s.news
	}
	return s.states[len(s.states)-1], s.news
}

func (s *source) RecordsAfter(seq uint64, most int) ([]controlstate.Record, bool) {
	s.chain.mu.Lock()
	defer s.chain.mu.Unlock()
	if seq < s.gone || seq > uint64(len(s.records)) {
		return nil, false
	}
	return s.records[seq:min(uint64(len(s.records)), seq+uint64(most))], true
}

func (s *source) Current() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stale
}

func (s *source) Addresses() []string { return s.keepers }

// fleet is some hubs and followers on a mesh.
type fleet struct {
	knobs     TestingKnobs
	mesh      *mesh
	chain     *chain
	names     []string // of keepers
	sources   map[string]*source
	hubs      map[string]*Server
	stopHub   map[string]context.CancelFunc
	followers map[string]*proxy
	wg        sync.WaitGroup
}

type proxy struct {
	f    *Subscriber
	stop context.CancelFunc

	mu   sync.Mutex
	last Update
	back bool // it went back
}

func newFleet(keepers ...string) *fleet { return newFleetWithKnobs(TestingKnobs{}, keepers...) }

// newFleetWithKnobs is a fleet whose hubs lack a protection.
func newFleetWithKnobs(knobs TestingKnobs, keepers ...string) *fleet {
	fl := &fleet{knobs: knobs, mesh: newMesh(), chain: newChain(), names: keepers, sources: map[string]*source{}, hubs: map[string]*Server{},
		stopHub: map[string]context.CancelFunc{}, followers: map[string]*proxy{}}
	for _, k := range keepers {
		fl.sources[k] = &source{chain: fl.chain, keepers: keepers}
		fl.startHub(k)
	}
	return fl
}

func (fl *fleet) startHub(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	h := NewServer(ServerOptions{Source: fl.sources[name], Self: name, Zone: "zone-" + name, Region: "r", ListLag: coldWorldLag, Log: quiet(),
		Knobs: fl.knobs, Transport: station{fl.mesh, name}, Peers: func() []string {
			var out []string
			for _, k := range fl.names {
				if k != name {
					out = append(out, "http://"+k)
				}
			}
			return out
		}})
	fl.hubs[name], fl.stopHub[name] = h, cancel
	fl.mesh.host(name, h.Handler())
	fl.wg.Go(func() { h.Run(ctx) })
}

func (fl *fleet) killHub(name string) {
	fl.mesh.host(name, nil)
	fl.stopHub[name]()
	delete(fl.hubs, name)
}

func (fl *fleet) startFollower(node string, change func(*SubscriberOptions)) *proxy {
	ctx, cancel := context.WithCancel(context.Background())
	p := &proxy{stop: cancel}
	opt := SubscriberOptions{Seeds: fl.names, ControlPlanePort: 1, ProxyPort: 2, Log: quiet(), Transport: station{fl.mesh, node},
		Self: softstate.Member{Node: node, Zone: "zone-" + fl.names[rand.IntN(len(fl.names))], Region: "r", IP: node + ":2"},
		OnUpdate: func(u Update) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.back = p.back || p.last.State != nil && u.State.Seq < p.last.State.Seq
			p.last = u
		}}
	if change != nil {
		change(&opt)
	}
	p.f = NewSubscriber(opt)
	fl.mesh.host(node+":2", p.f.Handler())
	fl.followers[node] = p
	fl.wg.Go(func() { p.f.Run(ctx) })
	return p
}

func (fl *fleet) killFollower(node string) {
	fl.mesh.host(node+":2", nil)
	fl.followers[node].stop()
	delete(fl.followers, node)
}

func (fl *fleet) stop() {
	fl.mesh.release()
	for n := range fl.hubs {
		fl.killHub(n)
	}
	for n := range fl.followers {
		fl.killFollower(n)
	}
	fl.wg.Wait()
	fl.mesh.wg.Wait()
}

func (p *proxy) update() Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}
