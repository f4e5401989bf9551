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
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
	"gradeusher.example/gradeusher/internal/system/quota/quotarpc"
	"gradeusher.example/gradeusher/internal/system/settings"
)

// maxDirectoryTTL bounds how long clients may cache the directory's responses, so that they do not use a proxy for longer than that
// after it has exited.
const maxDirectoryTTL = time.Second

// proxyProcess holds the components of the process.
type proxyProcess struct {
	settings   *settings.Settings
	log        log.Interface
	dataPlane  *proxy.Proxy
	subscriber *distribution.Subscriber
	agent      *failuredetector.Agent
	directory  *directory.Directory
	limiter    *quotarpc.LimiterServer
	quotas     *quotarpc.Client
	draining   atomic.Bool
	synced     chan struct{} // closed once there are a configuration and a list of servers
	isSynced   bool          // synced is closed; used only by applyUpdate
}

// run runs the proxy until the process is asked to terminate or one of its components fails.
func run(self *process.Process) error {
	rootCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := process.NewGroup(rootCtx)
	p := newProxyProcess(self)
	if err := p.start(ctx, self, group); err != nil {
		return err
	}
	self.Wait(ctx, p.subscriber.SetSeeds)
	if ctx.Err() == nil {
		p.shutDownGracefully()
	}
	cancel()
	return group.Wait()
}

// newProxyProcess creates the components of the process. start starts them.
func newProxyProcess(self *process.Process) *proxyProcess {
	config := self.Settings
	created := &proxyProcess{settings: config, log: self.Log, synced: make(chan struct{})}
	created.directory = directory.NewDirectory(min(maxDirectoryTTL, max(settings.Seconds(config.Bounds.TTLMaxSeconds), time.Second)))
	created.newQuotas()
	created.dataPlane = proxy.New(proxy.Options{
		Settings:    created.pickSettings(),
		GracePeriod: created.gracePeriod(),
		LossSlack:   settings.Milliseconds(config.Bounds.LossSlackMS),
		FDLimit:     config.Limits.FileDescriptors,
		MemoryMB:    int(config.Limits.MemoryMB),
		Log:         created.log,
		OnStall:     func() { created.subscriber.Refresh() },
		Quota:       created.quotas,

		StateAge:     func() time.Duration { return created.subscriber.StateAge() },
		RevokeWithin: revocationBound(config.Bounds),
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

// revocationBound returns the time within which a revoked key is refused even without contact to the control plane; 0: there is no
// such bound.
func revocationBound(bounds settings.Bounds) time.Duration {
	if !bounds.RevocationGlobal {
		return 0
	}
	return settings.Milliseconds(bounds.RevokeMS)
}

// start publishes the metrics, listens on all addresses and starts the goroutines. The group owns the goroutines, which end with ctx.
func (p *proxyProcess) start(ctx context.Context, self *process.Process, group *process.Group) error {
	p.dataPlane.Publish()
	p.limiter.Publish()
	p.quotas.Publish()
	internalAddress := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.ProxyPort()))
	if err := p.openFailureDetector(ctx, internalAddress); err != nil {
		return err
	}
	for address, handler := range map[string]http.Handler{
		internalAddress:           p.internalHandler(),
		p.settings.Bind.Readiness: directory.Readiness(p.isReady),
		p.settings.Bind.Directory: p.directory.Handler(),
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
	clients, err := process.Listen(ctx, p.settings.Bind.Front)
	if err != nil {
		return err
	}
	group.Go(func() error { p.subscriber.Run(ctx); return nil })
	group.Go(func() error { p.agent.Run(ctx); return nil })
	group.Go(func() error { p.limiter.Run(ctx); return nil })
	group.Go(func() error { return p.serveClients(ctx, clients) })
	p.log.WithField("front", p.settings.Bind.Front).Info("proxy: started")
	return nil
}

// internalHandler serves the control plane, the other proxies and the engineers who read the status.
func (p *proxyProcess) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/twirp/", p.subscriber.Handler())
	mux.Handle(quotapb.LimitingPathPrefix, p.limiter.Handler())
	mux.Handle(failuredetector.AlivePath, p.agent.Handler())
	mux.Handle("/status", admin.ProxyHandler(p.status))
	return mux
}

// serveClients accepts clients once there are a configuration and a list of servers. Until then connections wait in the listener's
// backlog: rejecting them would cost their clients an attempt.
func (p *proxyProcess) serveClients(ctx context.Context, clients net.Listener) error {
	select {
	case <-p.synced:
	case <-ctx.Done():
		return clients.Close()
	}
	return p.dataPlane.Serve(ctx, clients)
}

// isReady reports whether clients may be sent to the proxy.
func (p *proxyProcess) isReady() bool {
	if !p.dataPlane.Ready() {
		return false
	}
	select {
	case <-p.synced:
		return !p.draining.Load()
	default:
		return false
	}
}

// shutDownGracefully directs clients to other proxies by the directory and the readiness check, then finishes the requests in flight.
func (p *proxyProcess) shutDownGracefully() {
	p.log.Info("proxy: shutting down")
	p.draining.Store(true)
	p.agent.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), p.gracePeriod())
	defer cancel()
	if err := p.subscriber.Leave(ctx); err != nil {
		p.log.WithError(err).Warn("proxy: no control-plane node was notified")
	}
	if p.quotas.HasPeers() {
		p.releaseLeases(ctx) // the zone's other proxies know that this one is draining, and their limiters decide on its requests too
	}
	p.dataPlane.Drain(ctx)
	p.releaseLeases(ctx)
	p.quotas.Close()
	p.log.Info("proxy: ended")
}

// gracePeriod returns how long requests in flight may take after the process was asked to terminate.
func (p *proxyProcess) gracePeriod() time.Duration {
	return process.GracePeriod(p.settings.Bounds.GraceSeconds)
}

// pickSettings derives the picker's settings from those of the deployment.
func (p *proxyProcess) pickSettings() pick.Settings {
	config := p.settings
	return pick.Settings{
		Zone:         config.Zone,
		Region:       config.Region,
		Regions:      config.Zones,
		RetryRatio:   config.Bounds.RetryRatio,
		RetryWindow:  settings.Seconds(config.Bounds.RetryWindowSeconds),
		RetrySlack:   config.Bounds.RetrySlack,
		WarmUpExcess: config.Bounds.ColdExcess,
		WarmUpSlack:  config.Bounds.ColdSlack,
		Seed:         p.rotationSeed(),
	}
}

// rotationSeed returns a seed derived from the proxy's name, so that each proxy starts its rotation over servers at a different place.
func (p *proxyProcess) rotationSeed() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(p.settings.Node)) // never fails
	return hash.Sum64()
}
