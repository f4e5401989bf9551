// Package world is a test double of everything around the system: model servers and others, the platform's list, the
// operator and clients (PROTOCOL.md, DEPLOY.md), in process and on loopback, with checkers of the rules that can be seen
// from outside.
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
func New(o Options) (*Environment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Environment{Evidence: &rules.Evidence{Bounds: o.Bounds}, startedAt: time.Now(), discardLog: log.New(io.Discard, "", 0), stats: &statsCounter{},
		ctx: ctx, cancel: cancel, links: o.Links}
	client := func() *http.Client {
		return &http.Client{Transport: &http.Transport{DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	w.Operator = &Operator{ControlAddresses: o.ControlAddresses, evidence: w.Evidence, now: w.Now, http: client()}
	w.Platform = &Platform{Lag: o.ListLag, Rate: o.ListRate, Page: pageSize, CrashedListedFor: crashedListedFor, now: w.Now, evidence: w.Evidence,
		servers: w.instances}
	for _, spec := range o.Servers {
		s := &Server{ServerSpec: spec, env: w, stoppedAt: rules.Never, crashedAt: rules.Never, withdrawAt: rules.Never}
		w.Servers = append(w.Servers, s)
		if err := s.Start(false); err != nil {
			w.Close()
			return nil, err
		}
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		w.Close()
		return nil, errors.Wrap(err, "the stand-in list cannot listen")
	}
	w.listAddress = l.Addr().String()
	w.listServer = &http.Server{Handler: w.Platform, ReadHeaderTimeout: 10 * time.Second, ErrorLog: w.discardLog}
	w.background.Go(func() { _ = w.listServer.Serve(l) }) // ends with Close
	w.background.Go(func() { w.observe(ctx) })
	w.traffic = &Traffic{Kinds: o.Kinds, env: w, seed: o.Seed, stats: w.stats}
	for _, zone := range slices.Sorted(maps.Keys(o.Zones)) {
		region := o.Zones[zone]
		e := &clientPool{resolver: resolver{o.Kinds[0].Route.Host, zone, region, client()}, maxTTL: o.MaxTTL,
			directories: sortByDistance(o.Directories, zone, region), now: w.Now, rng: rand.New(rand.NewPCG(o.Seed, uint64(len(w.traffic.pools)))), failed: map[string]bool{},
			resolvedOnce: make(chan struct{}), onSurplus: func(address string, bytes int) {
				w.Evidence.RecordStray(rules.Stray{Proxy: address, Bytes: bytes, At: w.Now()})
			}}
		w.traffic.pools = append(w.traffic.pools, e)
	}
	return w, nil
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

// crashOverloaded has a server that was sent too much while cold crash, and start again after a while.
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
