// Package testcluster runs the system's real processes among test doubles of everything around them: model servers and servers without a
// model, the platform's list, the operator and clients (PROTOCOL.md, DEPLOY.md). The doubles run in this process, on loopback addresses.
//
// The problem: the operators' rules bind the system as it is seen from outside, under faults, with several processes that each know only a
// part. So nothing here looks into the system. Clients, servers, the operator and the list record what they saw on their sockets as
// rules.Evidence, together with the faults that were injected; package rules checks it afterwards.
//
// Terms:
//   - Environment: the test doubles of one run; Fleet: the system's processes; Run: both, started by Up and ended by Run.Finish.
//   - Scenario: a deployment and its traffic.
//   - Links: relays between the processes, into which slow and partitioned networks are injected.
//   - Incarnation: a server between one start and its end, with an id of its own.
//   - Attempt: one sending of a client's request; arrival: what reached a server.
//   - Caller: with which key, and under which forged tenant's name, some clients send. Flood: requests of one tenant far beyond its limit.
package testcluster

import (
	"context"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Options are those of an Environment.
type Options struct {
	Servers          []ServerSpec
	Kinds            []RequestKind
	Zones            map[string]string // regions by zone; clients are in all of them
	Directories      []Directory
	ControlAddresses []string // of the control-plane nodes, at which the operator calls them
	Bounds           rules.Bounds
	MaxTTL           time.Duration // for which clients use a directory's answer, at most
	ListLag          time.Duration // by which the platform's list is out of date
	ListRate         float64       // calls a second that the list answers
	Seed             uint64        // of the clients' random numbers
	Links            *Links        // in front of servers; nil: callers reach them directly
	ProbeKey         string        // X-Credential of probes; empty: they have none
}

// Environment is the test doubles that stand around the system in one run.
type Environment struct {
	Evidence *rules.Evidence
	Operator *Operator
	Platform *Platform
	Servers  []*Server

	startedAt       time.Time
	discardLog      *log.Logger
	stats           *statsCounter
	traffic         *Traffic
	listServer      *http.Server
	listAddress     string
	links           *Links
	probeKey        string
	cancel          context.CancelFunc
	ctx             context.Context
	background      sync.WaitGroup
	overloadCrashes sync.WaitGroup

	mu       sync.Mutex
	failures []string // of the environment itself, in order; see Failures
}

const (
	observeInterval  = 50 * time.Millisecond // at which the list takes snapshots of the servers
	pageSize         = 50                    // entries of a page of the list
	crashedListedFor = 4 * time.Second
	overloadDowntime = 3 * time.Second // of a server that crashed of overload
)

// New starts the servers and the list. Clients start with Traffic.
func New(options Options) (*Environment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	env := &Environment{Evidence: &rules.Evidence{Bounds: options.Bounds}, startedAt: time.Now(), discardLog: log.New(io.Discard, "", 0),
		stats: &statsCounter{}, ctx: ctx, cancel: cancel, links: options.Links, probeKey: options.ProbeKey}
	if env.links != nil {
		env.links.setOnError(func(err error) { env.recordFailure("a relay had to wait: %v", err) })
	}
	env.Operator = &Operator{ControlAddresses: options.ControlAddresses, evidence: env.Evidence, now: env.Now, http: newHTTPClient()}
	env.Platform = &Platform{Lag: options.ListLag, Rate: options.ListRate, Page: pageSize, CrashedListedFor: crashedListedFor,
		now: env.Now, evidence: env.Evidence, servers: env.instances}
	for _, spec := range options.Servers {
		server := newServer(spec, env)
		env.Servers = append(env.Servers, server)
		if err := server.Start(false); err != nil {
			env.Close()
			return nil, err
		}
	}
	if err := env.startList(ctx); err != nil {
		env.Close()
		return nil, err
	}
	env.traffic = &Traffic{Kinds: options.Kinds, env: env, seed: options.Seed, stats: env.stats}
	for i, zone := range slices.Sorted(maps.Keys(options.Zones)) {
		env.traffic.pools = append(env.traffic.pools, env.newClientPool(options, zone, uint64(i)))
	}
	return env, nil
}

// newHTTPClient returns a client with connections of its own, which leaves redirects to its caller.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// startList serves the platform's list, and has it observe the servers, until Close.
func (e *Environment) startList(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "the stand-in list cannot listen")
	}
	e.listAddress = listener.Addr().String()
	e.listServer = &http.Server{Handler: e.Platform, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: e.discardLog}
	e.background.Go(func() { _ = e.listServer.Serve(listener) }) // ends with Close
	e.background.Go(func() { e.observe(ctx) })
	return nil
}

// newClientPool returns the clients of a zone. stream is the sequence of random numbers that they draw from the seed.
func (e *Environment) newClientPool(options Options, zone string, stream uint64) *clientPool {
	region := options.Zones[zone]
	return &clientPool{
		resolver:     resolver{options.Kinds[0].Route.Host, zone, region, newHTTPClient()},
		maxTTL:       options.MaxTTL,
		directories:  sortByDistance(options.Directories, zone, region),
		now:          e.Now,
		rng:          rand.New(rand.NewPCG(options.Seed, stream)),
		failed:       map[string]bool{},
		resolvedOnce: make(chan struct{}),
		onSurplus: func(address string, bytes int) {
			e.Evidence.RecordStray(rules.Stray{Proxy: address, Bytes: bytes, At: e.Now()})
		},
	}
}

// Now returns the time since the start. All times of the evidence are of this clock.
func (e *Environment) Now() time.Duration { return time.Since(e.startedAt) }

// at returns a time of the wall clock as a time of the evidence.
func (e *Environment) at(t time.Time) time.Duration { return t.Sub(e.startedAt) }

// ListAddress returns the address of the platform's list.
func (e *Environment) ListAddress() string { return e.listAddress }

// Traffic has clients send requests until ctx ends, and returns when every request has ended.
func (e *Environment) Traffic(ctx context.Context) { e.traffic.run(ctx) }

// Stats returns the totals of the requests that clients have sent so far.
func (e *Environment) Stats() Stats { return e.stats.snapshot() }

// instances returns the entries of the platform's list as of now.
func (e *Environment) instances() []Instance {
	var entries []Instance
	for _, s := range e.Servers {
		if entry, listed := s.instance(e.Platform.CrashedListedFor); listed {
			entries = append(entries, entry)
		}
	}
	return entries
}

// observe has the list take snapshots of the servers until ctx ends.
func (e *Environment) observe(ctx context.Context) {
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		e.Platform.Observe()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// crashOverloaded crashes a server that was sent too many requests while it warmed up, and starts it again after overloadDowntime.
func (e *Environment) crashOverloaded(s *Server) {
	e.overloadCrashes.Go(func() {
		s.Crash()
		timer := time.NewTimer(overloadDowntime)
		defer timer.Stop()
		select {
		case <-e.ctx.Done():
		case <-timer.C:
			e.startAfterOverload(s)
		}
	})
}

// startAfterOverload starts a server again that crashed of overload, unless a fault has started it already. A server that stays down is reported.
func (e *Environment) startAfterOverload(s *Server) {
	if err := s.Start(true); err != nil && !errors.Is(err, ErrRunning) {
		e.recordFailure("a server that crashed of overload stays down: %v", err)
	}
}

const maxFailures = 20 // that are kept

// recordFailure records that the environment itself did not do what it is there for, so that what the run shows of the system is in doubt.
func (e *Environment) recordFailure(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.failures) < maxFailures {
		e.failures = append(e.failures, fmt.Sprintf(format, args...))
	}
}

// Failures returns the failures of the environment itself so far, the first ones where there are many.
func (e *Environment) Failures() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.failures)
}

// Close ends the servers, the list and the links. Traffic must have ended.
func (e *Environment) Close() {
	e.cancel()
	e.overloadCrashes.Wait()
	for _, s := range e.Servers {
		s.Crash()
	}
	if e.listServer != nil {
		_ = e.listServer.Close()
	}
	e.background.Wait()
	if e.links != nil {
		e.links.close()
	}
	e.Operator.http.CloseIdleConnections()
}
