// Package testcluster runs the system's real processes among test doubles of everything around them: model servers and others, the
// platform's list, the operator and clients (PROTOCOL.md, DEPLOY.md), in this process and on loopback addresses.
//
// Clients, servers, operator and list record what they saw on their sockets as rules.Evidence; package rules checks it afterwards against
// the operators' rules. Links puts relays between the processes, on which faults can be injected.
package testcluster

import (
	"context"
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

// Options are those of a World.
type Options struct {
	Servers          []ServerSpec
	Kinds            []RequestKind
	Zones            map[string]string // zone to region; clients are in all of them
	Directories      []Directory
	ControlAddresses []string // control addresses
	Bounds           rules.Bounds
	MaxTTL           time.Duration // for which clients hold a directory's answer, at most
	ListLag          time.Duration
	ListRate         float64 // calls a second
	Seed             uint64
	Links            *Links // in front of servers; nil: callers reach them straight
}

// Environment is all that runs around the system in one run.
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
	cancel          context.CancelFunc
	ctx             context.Context
	background      sync.WaitGroup
	overloadCrashes sync.WaitGroup
}

const (
	observeInterval  = 50 * time.Millisecond
	pageSize         = 50
	crashedListedFor = 4 * time.Second
	overloadDowntime = 3 * time.Second
)

// New starts servers and the list; clients start with Traffic.
func New(options Options) (*Environment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	env := &Environment{Evidence: &rules.Evidence{Bounds: options.Bounds}, startedAt: time.Now(), discardLog: log.New(io.Discard, "", 0), stats: &statsCounter{},
		ctx: ctx, cancel: cancel, links: options.Links}
	client := func() *http.Client {
		return &http.Client{Transport: &http.Transport{DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	env.Operator = &Operator{ControlAddresses: options.ControlAddresses, evidence: env.Evidence, now: env.Now, http: client()}
	env.Platform = &Platform{Lag: options.ListLag, Rate: options.ListRate, Page: pageSize, CrashedListedFor: crashedListedFor, now: env.Now, evidence: env.Evidence,
		servers: env.instances}
	for _, spec := range options.Servers {
		server := newServer(spec, env)
		env.Servers = append(env.Servers, server)
		if err := server.Start(false); err != nil {
			env.Close()
			return nil, err
		}
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		env.Close()
		return nil, errors.Wrap(err, "the stand-in list cannot listen")
	}
	env.listAddress = listener.Addr().String()
	env.listServer = &http.Server{Handler: env.Platform, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: env.discardLog}
	env.background.Go(func() { _ = env.listServer.Serve(listener) }) // ends with Close
	env.background.Go(func() { env.observe(ctx) })
	env.traffic = &Traffic{Kinds: options.Kinds, env: env, seed: options.Seed, stats: env.stats}
	for _, zone := range slices.Sorted(maps.Keys(options.Zones)) {
		region := options.Zones[zone]
		pool := &clientPool{resolver: resolver{options.Kinds[0].Route.Host, zone, region, client()}, maxTTL: options.MaxTTL,
			directories: sortByDistance(options.Directories, zone, region), now: env.Now, rng: rand.New(rand.NewPCG(options.Seed, uint64(len(env.traffic.pools)))), failed: map[string]bool{},
			resolvedOnce: make(chan struct{}), onSurplus: func(address string, bytes int) {
				env.Evidence.RecordStray(rules.Stray{Proxy: address, Bytes: bytes, At: env.Now()})
			}}
		env.traffic.pools = append(env.traffic.pools, pool)
	}
	return env, nil
}

// Now is the time since the start.
func (w *Environment) Now() time.Duration { return time.Since(w.startedAt) }

// ListAddress is where the platform's list is.
func (w *Environment) ListAddress() string { return w.listAddress }

// Traffic has clients send until ctx ends, and returns when every request has ended.
func (w *Environment) Traffic(ctx context.Context) { w.traffic.run(ctx) }

// Stats gives what clients have seen so far.
func (w *Environment) Stats() Stats { return w.stats.snapshot() }

func (w *Environment) instances() []Instance {
	var all []Instance
	for _, s := range w.Servers {
		if i, ok := s.instance(w.Platform.CrashedListedFor); ok {
			all = append(all, i)
		}
	}
	return all
}

func (w *Environment) observe(ctx context.Context) {
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		w.Platform.Observe()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// crashOverloaded has a server that was sent too much during its warm-up crash, and start again after a while.
func (w *Environment) crashOverloaded(s *Server) {
	w.overloadCrashes.Go(func() {
		s.Crash()
		timer := time.NewTimer(overloadDowntime)
		defer timer.Stop()
		select {
		case <-w.ctx.Done():
		case <-timer.C:
			_ = s.Start(true) // it stays down where its address was taken
		}
	})
}

// Close ends the servers and the list. Traffic must have ended.
func (w *Environment) Close() {
	w.cancel()
	w.overloadCrashes.Wait()
	for _, s := range w.Servers {
		s.Crash()
	}
	if w.listServer != nil {
		_ = w.listServer.Close()
	}
	w.background.Wait()
	if w.links != nil {
		w.links.close()
	}
	w.Operator.http.CloseIdleConnections()
}
