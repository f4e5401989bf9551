package main

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/directory"
	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/failuredetector"
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/proxy"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/system/settings"
)

const (
	maxDirectoryTTL = time.Second            // of the directory's answers, so that a proxy that ended is named no longer
	killMargin      = 700 * time.Millisecond // kept free before the platform kills the process
)

// server is the process: its parts, and the links between them.
type server struct {
	settings   *settings.Settings
	log        log.Interface
	dataPlane  *proxy.Proxy
	subscriber *distribution.Subscriber
	agent      *failuredetector.Agent
	directory  *directory.Directory
	draining   atomic.Bool
	synced     chan struct{} // closed once there are a configuration and a list of servers
	isSynced   bool          // synced is closed; used by applyUpdate only
}

// run runs the proxy until the process is told to end or one of its parts fails.
func run(self *process.Process) error {
	rootCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := process.NewGroup(rootCtx)
	s := newServer(self)
	if err := s.start(ctx, self, group); err != nil {
		return err
	}
	self.Wait(ctx)
	if ctx.Err() == nil {
		s.shutDownGracefully()
	}
	cancel()
	return group.Wait()
}

// newServer makes the parts of the process. start starts them.
func newServer(self *process.Process) *server {
	config := self.Settings
	created := &server{settings: config, log: self.Log, synced: make(chan struct{})}
	created.directory = directory.NewDirectory(min(maxDirectoryTTL, max(settings.Seconds(config.Bounds.TTLMaxSeconds), time.Second)))
	created.dataPlane = proxy.New(proxy.Options{
		Settings:    created.pickSettings(),
		GracePeriod: created.gracePeriod(),
		LossSlack:   settings.Milliseconds(config.Bounds.LossSlackMS),
		FDLimit:     config.Limits.FileDescriptors,
		MemoryMB:    int(config.Limits.MemoryMB),
		Log:         created.log,
		OnStall:     func() { created.subscriber.Refresh() },
	})
	created.subscriber = distribution.NewSubscriber(distribution.SubscriberOptions{
		Seeds:            config.SeedIPs(),
		ControlPlanePort: config.ControlPlanePort(),
		ProxyPort:        config.ProxyPort(),
		Self: softstate.Member{
			Node:          config.Node,
			Zone:          config.Zone,
			Region:        config.Region,
			IP:            config.IP,
			ClientAddress: config.Bind.Front,
		},
		Loads:    created.dataPlane.Loads,
		OnUpdate: created.applyUpdate,
		OnLoads:  created.dataPlane.SetLoads,
		Log:      created.log,
	})
	return created
}

// start publishes the metrics, listens at all addresses and starts the goroutines. The group owns these; they end with ctx.
func (s *server) start(ctx context.Context, self *process.Process, group *process.Group) error {
	s.dataPlane.Publish()
	internalAddress := net.JoinHostPort(s.settings.IP, strconv.Itoa(s.settings.ProxyPort()))
	if err := s.openFailureDetector(ctx, internalAddress); err != nil {
		return err
	}
	for address, handler := range map[string]http.Handler{
		internalAddress:           s.internalHandler(),
		s.settings.Bind.Readiness: directory.Readiness(s.isReady),
		s.settings.Bind.Directory: s.directory.Handler(),
	} {
		listener, err := process.Listen(ctx, address)
		if err != nil {
			return err
		}
		group.ServeHTTP(ctx, listener, handler)
	}
	if err := self.ServeMetrics(ctx, group); err != nil {
		return err
	}
	clients, err := process.Listen(ctx, s.settings.Bind.Front)
	if err != nil {
		return err
	}
	group.Go(func() error { s.subscriber.Run(ctx); return nil })
	group.Go(func() error { s.agent.Run(ctx); return nil })
	group.Go(func() error { return s.serveClients(ctx, clients) })
	s.log.WithField("front", s.settings.Bind.Front).Info("proxy: started")
	return nil
}

// internalHandler serves the control plane, the other proxies and the engineers.
func (s *server) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/twirp/", s.subscriber.Handler())
	mux.Handle(failuredetector.AlivePath, s.agent.Handler())
	mux.Handle("/status", admin.ProxyHandler(s.status))
	return mux
}

// serveClients accepts clients once there is something to serve. Until then connections wait in the listener's backlog: to reject
// them would cost their clients an attempt.
func (s *server) serveClients(ctx context.Context, clients net.Listener) error {
	select {
	case <-s.synced:
	case <-ctx.Done():
		return clients.Close()
	}
	return s.dataPlane.Serve(ctx, clients)
}

// isReady reports whether the proxy may get clients.
func (s *server) isReady() bool {
	if !s.dataPlane.Ready() {
		return false
	}
	select {
	case <-s.synced:
		return !s.draining.Load()
	default:
		return false
	}
}

// shutDownGracefully has the directory and the readiness check send clients away, then finishes the requests in flight.
func (s *server) shutDownGracefully() {
	s.log.Info("proxy: shutting down")
	s.draining.Store(true)
	s.agent.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), s.gracePeriod())
	defer cancel()
	if err := s.subscriber.Leave(ctx); err != nil {
		s.log.WithError(err).Warn("proxy: no control-plane node was notified")
	}
	s.dataPlane.Drain(ctx)
	s.log.Info("proxy: ended")
}

// gracePeriod is how long requests in flight may take after the process was told to end.
func (s *server) gracePeriod() time.Duration {
	return settings.Seconds(s.settings.Bounds.GraceSeconds) - killMargin
}

// pickSettings derives the picker's settings from those of the deployment.
func (s *server) pickSettings() pick.Settings {
	config := s.settings
	return pick.Settings{
		Zone:         config.Zone,
		Region:       config.Region,
		Regions:      config.Zones,
		RetryRatio:   config.Bounds.RetryRatio,
		RetryWindow:  settings.Seconds(config.Bounds.RetryWindowSeconds),
		RetrySlack:   config.Bounds.RetrySlack,
		WarmUpExcess: config.Bounds.ColdExcess,
		WarmUpSlack:  config.Bounds.ColdSlack,
		Seed:         s.rotationSeed(),
	}
}

// rotationSeed has each proxy begin its rotation over servers at another place.
func (s *server) rotationSeed() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.settings.Node)) // never fails
	return hash.Sum64()
}
