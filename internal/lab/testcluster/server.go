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
	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

const readHeaderTimeout = 10 * time.Second // of the stand-ins' HTTP servers

// ErrRunning marks the start of a server that is up.
var ErrRunning = errors.New("the server is up")

// Server is a stand-in server: PROTOCOL.md "Servers". It may be started and ended again and again; each start is a new incarnation,
// under a new id at the old address.
type Server struct {
	ServerSpec
	env     *Environment
	address string // empty before the first start

	mu     sync.Mutex
	starts int
	incarnationState
	lastKey        uint64  // of the requests that were submitted in all incarnations
	answerLossRate float64 // part of the requests whose answer is lost
	relay          *relay  // in front of the listener; nil: there is none
}

// incarnationState is what begins anew with each start of a server.
type incarnationState struct {
	id         string
	workload   workload
	engine     *engine.Engine                // the workload of a server with a model; nil: it has none
	waiters    map[uint64]chan engine.Output // by the keys of requests
	openConns  int
	reports    []serverReport // the first is the one that is served; see reportLag
	draining   bool
	withdrawAt time.Duration // end of a server that is withdrawn; rules.Never: it is not withdrawn
	stoppedAt  time.Duration // of a server that has ended as planned; rules.Never: it has not
	crashedAt  time.Duration // rules.Never: it has not crashed

	warmUntil      time.Duration   // end of the warm-up
	recentArrivals []time.Duration // requests that came within the last second, if the server warms up

	http     *http.Server // nil: the server is down
	listener net.Listener
	cancel   context.CancelFunc // ends run
	wake     chan struct{}      // has run look at the workload again
	stopped  chan struct{}      // closed when run has returned
}

// newServer returns a server that has not been started.
func newServer(spec ServerSpec, env *Environment) *Server {
	return &Server{ServerSpec: spec, env: env, incarnationState: incarnationState{stoppedAt: rules.Never, crashedAt: rules.Never, withdrawAt: rules.Never}}
}

// Start begins an incarnation, which warms up if it is started during traffic. Starting a server that is up fails with ErrRunning.
func (s *Server) Start(duringTraffic bool) error {
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
	now := s.env.Now()
	ctx, cancel := context.WithCancel(context.Background())
	s.incarnationState = incarnationState{
		id:         fmt.Sprintf("i-%08x", xxhash.Sum64String(s.address+strconv.Itoa(s.starts))>>32),
		waiters:    map[uint64]chan engine.Output{},
		withdrawAt: rules.Never,
		stoppedAt:  rules.Never,
		crashedAt:  rules.Never,
		warmUntil:  now,
		listener:   listener,
		cancel:     cancel,
		wake:       make(chan struct{}, 1),
		stopped:    make(chan struct{}),
	}
	if duringTraffic {
		s.warmUntil = now + s.WarmUp
	}
	s.startWorkload(now)
	s.http = &http.Server{
		Handler:           &incarnation{ServerSpec: s.ServerSpec, server: s, id: s.id, ctx: ctx, relay: s.relay},
		IdleTimeout:       s.IdleTimeout,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         s.trackConn,
		ErrorLog:          s.env.discardLog,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http) // ends with Close
	go s.run(ctx, s.wake, s.stopped)
	return nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// listen opens the server's address. Where there are links, a relay listens there and forwards to the listener that is returned.
func (s *Server) listen() (net.Listener, error) {
	outer := s.Address
	if s.address != "" {
		outer = s.address
	}
	inner := outer
	if s.env.links != nil {
		inner = "127.0.0.1:0"
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", inner)
	if err != nil {
		return nil, errors.Wrapf(err, "stand-in server of %s cannot listen at %s: check that it is free", s.Service, inner)
	}
	if s.env.links == nil {
		s.address, s.relay = listener.Addr().String(), nil
		return listener, nil
	}
	front, err := newPickingRelay(outer, listener.Addr().String(), s.env.links.linkFor(Path{To: s.Address}, false),
		func(first []byte) *link.Link { return s.env.links.serverLink(s.Address, first) }, s.env.links.reportError)
	if err != nil {
		_ = listener.Close()
		return nil, errors.Wrapf(err, "no relay in front of a stand-in server of %s at %s: check that it is free", s.Service, outer)
	}
	s.address, s.relay = front.listener.Addr().String(), front
	return listener, nil
}

// trackConn counts connections, and resets those above MaxConns.
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

// Stop ends a server as planned, after it was drained. Requests that still run are aborted.
func (s *Server) Stop() { s.halt(true) }

// Crash ends a server at once. The platform's list shows it for some seconds more.
func (s *Server) Crash() { s.halt(false) }

func (s *Server) halt(planned bool) {
	s.mu.Lock()
	if s.http == nil {
		s.mu.Unlock()
		return
	}
	ended, relay := s.incarnationState, s.relay
	s.http = nil
	now := s.env.Now()
	if planned {
		s.stoppedAt = now
	} else {
		s.crashedAt = now
	}
	s.mu.Unlock()
	s.env.Evidence.RecordServerEnd(rules.ServerEnd{Server: ended.id, At: now})
	ended.cancel()
	_ = ended.listener.Close() // If the HTTP server has not begun to serve it, Close of that would leave it open.
	_ = ended.http.Close()
	if relay != nil {
		relay.close()
	}
	<-ended.stopped
}

// ID returns the id of the present or last incarnation.
func (s *Server) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}
