package testcluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/model"
	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// ServerSpec is what a stand-in server is.
type ServerSpec struct {
	Service, Zone, Region string
	Address               string // IP:0 picks a port, which stays for its later incarnations
	HealthPath            string
	MaxConns              int
	IdleTimeout           time.Duration // after which it closes a connection
	ReportsLoad           bool
	WarmUp                time.Duration
	WarmUpPerSecond       float64 // requests a second that it bears while it warms up; 0: any number
	WarmUpCrashFactor     float64 // times that, from which it crashes
	Engine                *engine.Spec
	Plain                 *PlainSpec // where Engine is nil
}

// PlainSpec is a server without a model.
type PlainSpec struct {
	Slots, Queue int
	Work         time.Duration
	Bytes        int // of an answer
}

func (s *ServerSpec) slots() int {
	if s.Engine != nil {
		return s.Engine.Slots
	}
	return s.Plain.Slots
}

// workload works on requests, in virtual time.
type workload interface {
	Advance(now engine.Time) []engine.Output
	Next() (at engine.Time, ok bool)
	Cancel(now engine.Time, key uint64) (started bool)
	Load() (running, waiting int)
}

// plainServer is a server without a model as a machine: a request takes a slot for a time.
type plainServer struct {
	*model.Server
	spec PlainSpec
}

func newPlain(spec PlainSpec, now time.Duration) *plainServer {
	return &plainServer{spec: spec, Server: model.New(
		model.Spec{Cores: spec.Slots, Speed: 1, Slots: spec.Slots, Queue: spec.Queue}, int64(now), false)}
}

// Advance implements workload.
func (p *plainServer) Advance(now engine.Time) []engine.Output {
	var out []engine.Output
	for _, d := range p.Server.Advance(int64(now)) {
		out = append(out, engine.Output{Key: d.Key, Kind: engine.Done, At: engine.Time(d.At)})
	}
	return out
}

// Next implements workload.
func (p *plainServer) Next() (at engine.Time, ok bool) {
	next, ok := p.Server.Next()
	return engine.Time(next), ok
}

// Cancel implements workload. Work that was begun goes on; such a request counts as run.
func (p *plainServer) Cancel(engine.Time, uint64) bool { return true }

// Load implements workload.
func (p *plainServer) Load() (running, waiting int) {
	held := p.JobCount()
	return min(held, p.spec.Slots), max(0, held-p.spec.Slots)
}

// Server is a stand-in server: PROTOCOL.md "Servers".
type Server struct {
	ServerSpec
	env     *Environment
	address string

	mu             sync.Mutex
	id             string
	starts         int
	workload       workload
	engine         *engine.Engine // nil: no model
	waiters        map[uint64]chan engine.Output
	lastKey        uint64
	warmUntil      time.Duration
	recentArrivals []time.Duration // arrivals within the last second
	draining       bool
	withdrawAt     time.Duration // of one that is withdrawn at short notice; rules.Never: it is not
	stoppedAt      time.Duration // of a server that was drained; rules.Never: it is up
	answerLossRate float64       // share of the requests whose answer is lost
	crashedAt      time.Duration // rules.Never: it is up
	openConns      int
	reports        []report
	http           *http.Server
	cancel         context.CancelFunc
	wake           chan struct{}
	stopped        chan struct{}
	listener       net.Listener
	relay          *relay // in front of the listener; nil: there is none
}

// ErrRunning marks the start of a server that is up.
var ErrRunning = errors.New("the server is up")

// report is what GET /report tells, as of some moment.
type report struct {
	at time.Duration

	Stage    string        `json:"stage"`
	Models   []listedModel `json:"models"`
	Busy     bool          `json:"saturated"`
	Orders   int           `json:"call_seq"`
	Queued   int           `json:"queued"`
	Active   int           `json:"active"`
	Used     int64         `json:"cache_used"`
	Capacity int64         `json:"cache_capacity"`
	Handled  int           `json:"handled"`
}

const reportLag = 200 * time.Millisecond

// Start begins an incarnation; cold: it was started during traffic.
func (s *Server) Start(cold bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return errors.Mark(errors.Newf("%s at %s is up", s.Service, s.address), ErrRunning)
	}
	listener, err := s.listen()
	if err != nil {
		return err
	}
	s.starts++
	s.id = fmt.Sprintf("i-%08x", xxhash.Sum64String(s.address+strconv.Itoa(s.starts))>>32)
	now := s.env.Now()
	s.engine = nil
	if s.Engine != nil {
		s.engine = engine.New(*s.Engine, now)
		s.workload = s.engine
	} else {
		s.workload = newPlain(*s.Plain, now)
	}
	s.waiters, s.draining, s.recentArrivals, s.openConns = map[uint64]chan engine.Output{}, false, nil, 0
	s.crashedAt, s.stoppedAt, s.withdrawAt = rules.Never, rules.Never, rules.Never
	s.warmUntil = now
	if cold {
		s.warmUntil = now + s.WarmUp
	}
	s.reports = nil
	ctx, end := context.WithCancel(context.Background())
	s.cancel, s.wake, s.stopped = end, make(chan struct{}, 1), make(chan struct{})
	incarnation := &incarnation{ServerSpec: s.ServerSpec, server: s, id: s.id, ctx: ctx}
	incarnation.relay = s.relay
	s.http = &http.Server{Handler: incarnation, IdleTimeout: s.IdleTimeout, ReadHeaderTimeout: 10 * time.Second, ConnState: s.trackConn,
		ErrorLog: s.env.discardLog, ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	s.listener = listener
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http) // ends with Close
	go s.run(ctx, s.wake, s.stopped)
	return nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// listen opens the server's address, or where links are, a relay there and what it leads to.
func (s *Server) listen() (net.Listener, error) {
	at := s.Address
	if s.address != "" {
		at = s.address
	}
	inner := at
	if s.env.links != nil {
		inner = "127.0.0.1:0"
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", inner)
	if err != nil {
		return nil, errors.Wrapf(err, "stand-in server of %s cannot listen at %s: check that it is free", s.Service, inner)
	}
	s.address, s.relay = listener.Addr().String(), nil
	if s.env.links != nil {
		s.relay, err = newPickingRelay(at, listener.Addr().String(), s.env.links.linkFor(Path{To: s.Address}, false),
			func(first []byte) *link.Link { return s.env.links.serverLink(s.Address, first) })
		if err != nil {
			_ = listener.Close()
			return nil, errors.Wrapf(err, "no relay in front of a stand-in server of %s at %s: check that it is free", s.Service, at)
		}
		s.address = s.relay.listener.Addr().String()
	}
	return listener, nil
}

// trackConn resets connections beyond the most that are accepted.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.openConns++; s.openConns > s.MaxConns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.openConns--
	}
}

// run hands out what the machine made until ctx ends.
func (s *Server) run(ctx context.Context, wake, ended chan struct{}) {
	defer close(ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.deliver()
		next, ok := s.workload.Next()
		s.mu.Unlock()
		wait := time.Hour
		if ok {
			wait = max(0, next-s.env.Now())
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
	}
}

// deliver hands out what the machine has made by now.
func (s *Server) deliver() {
	for _, o := range s.workload.Advance(s.env.Now()) {
		if c := s.waiters[o.Key]; c != nil {
			c <- o // it has room for all that the request can make
		}
	}
}

// wakeRun has run look again.
func (s *Server) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Drain has the server be shown as about to end.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Withdraw has the server be shown as about to end after a time, whatever it runs then.
func (s *Server) Withdraw(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.withdrawAt = true, s.env.Now()+after
}

// SetWarmingUp has the server warm up for a time from now.
func (s *Server) SetWarmingUp(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmUntil = max(s.warmUntil, s.env.Now()+d)
}

// LoseAnswers has the server run a share of the requests that come from now on, and reset their connections in place of an answer.
func (s *Server) LoseAnswers(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerLossRate = share
}

// Reconfigure has the next incarnation at the address be of another kind.
func (s *Server) Reconfigure(spec ServerSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ServerSpec = spec
}

// Stop ends a server that was drained: what it runs is broken off.
func (s *Server) Stop() { s.halt(true) }

// Crash ends a server at once; the list shows it for some seconds more.
func (s *Server) Crash() { s.halt(false) }

func (s *Server) halt(planned bool) {
	s.mu.Lock()
	if s.http == nil {
		s.mu.Unlock()
		return
	}
	h, l, end, ended, relay := s.http, s.listener, s.cancel, s.stopped, s.relay
	s.http = nil
	if planned {
		s.stoppedAt = s.env.Now()
	} else {
		s.crashedAt = s.env.Now()
	}
	s.mu.Unlock()
	end()
	_ = l.Close() // the server may not have begun to serve it, and then would close it later
	_ = h.Close()
	if relay != nil {
		relay.close()
	}
	<-ended
}

// ID is the incarnation's.
func (s *Server) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Slots is how many requests it works on at once.
func (s *Server) Slots() int { return s.slots() }
