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
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/directory"
	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/failuredetector"
	"gradeusher.example/gradeusher/internal/system/invariant"
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/proxy"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/system/settings"
)

const (
	maxDirectoryTTL   = time.Second            // of the directory's answers: a proxy that ended is asked for as long
	killMargin        = 700 * time.Millisecond // kept free before the platform's kill
	heartbeatInterval = 400 * time.Millisecond // between beats to the proxies that watch this one
	suspectTimeout    = 1300 * time.Millisecond
	probeTimeout      = 500 * time.Millisecond
)

// server is the process: its parts, and what each tells the others.
type server struct {
	settings   *settings.Settings
	log        log.Interface
	dataPlane  *proxy.Proxy
	subscriber *distribution.Subscriber
	agent      *failuredetector.Agent
	directory  *directory.Directory
	draining   atomic.Bool
	synced     chan struct{} // closed once there is a configuration and a list of servers
	isSynced   bool          // of OnUpdate's goroutine
}

func run(self *process.Process) error {
	config := self.Settings
	s := &server{settings: config, log: self.Log, synced: make(chan struct{})}
	rootCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := process.NewGroup(rootCtx)
	s.directory = directory.NewDirectory(min(maxDirectoryTTL, max(settings.Seconds(config.Bounds.TTLMax), time.Second)))
	s.dataPlane = proxy.New(proxy.Options{Settings: s.pickSettings(), GracePeriod: settings.Seconds(config.Bounds.Grace) - killMargin,
		LossSlack: settings.Milliseconds(config.Bounds.LossSlack), FDLimit: config.Limits.FDs, MemoryMB: int(config.Limits.MemoryMB), Log: s.log,
		OnStall: func() { s.subscriber.Refresh() }})
	s.subscriber = distribution.NewSubscriber(distribution.SubscriberOptions{Seeds: config.SeedIPs(), ControlPlanePort: config.ControlPlanePort(),
		ProxyPort: config.ProxyPort(), Self: distribution.Member{Node: config.Node, Zone: config.Zone, Region: config.Region, IP: config.IP, ClientAddress: config.Bind.Front},
		Loads: s.dataPlane.Loads, OnUpdate: s.applyUpdate, OnLoads: s.dataPlane.SetLoads, Log: s.log})
	s.dataPlane.Publish()
	internalAddress := net.JoinHostPort(config.IP, strconv.Itoa(config.ProxyPort()))
	if err := s.openFailureDetector(ctx, internalAddress); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/twirp/", s.subscriber.Handler())
	mux.Handle(failuredetector.AlivePath, s.agent.Handler())
	mux.Handle("/status", admin.ProxyHandler(s.status))
	for address, handler := range map[string]http.Handler{
		internalAddress:       mux,
		config.Bind.Readiness: directory.Readiness(func() bool { return s.dataPlane.Ready() && s.isReady() }),
		config.Bind.Directory: s.directory.Handler(),
	} {
		l, err := process.Listen(ctx, address)
		if err != nil {
			return err
		}
		group.HTTP(ctx, l, handler)
	}
	if err := self.ServeMetrics(ctx, group); err != nil {
		return err
	}
	front, err := process.Listen(ctx, config.Bind.Front)
	if err != nil {
		return err
	}
	group.Go(func() error { s.subscriber.Run(ctx); return nil })
	group.Go(func() error { s.agent.Run(ctx); return nil })
	group.Go(func() error { return s.serveClients(ctx, front) })
	s.log.WithField("front", config.Bind.Front).Info("proxy: started")
	self.Wait(ctx)
	if ctx.Err() == nil {
		s.shutDownGracefully()
	}
	cancel()
	return group.Wait()
}

// openFailureDetector has proxies that rendezvous hashing names openFailureDetector each other.
func (s *server) openFailureDetector(ctx context.Context, address string) error {
	packets, err := new(net.ListenConfig).ListenPacket(ctx, "udp4", address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "cannot listen at %s by UDP: check that the port is free", address), process.ErrListen)
	}
	conn, ok := packets.(*net.UDPConn)
	if !ok {
		return errors.Newf("%s gave no UDP socket: run on a system that has them", address)
	}
	interval := heartbeatInterval
	if maxInterval := settings.Milliseconds(s.settings.HeartbeatMS); maxInterval > 0 {
		interval = min(interval, maxInterval)
	}
	s.agent = failuredetector.NewAgent(failuredetector.AgentOptions{Conn: conn, Log: s.log,
		Options: failuredetector.Options{Self: s.settings.Node, Incarnation: s.subscriber.Incarnation(), HeartbeatInterval: interval, SuspectTimeout: suspectTimeout, ProbeTimeout: probeTimeout},
		OnVerdict: func(v failuredetector.Verdict) {
			if v.Down {
				s.subscriber.Report(v.Node, v.Incarnation)
			}
		}})
	return nil
}

// serveClients takes clients once there is something to serve with. Until then connections wait in the listener's queue: to turn
// them away would cost their clients a try.
func (s *server) serveClients(ctx context.Context, front net.Listener) error {
	select {
	case <-s.synced:
	case <-ctx.Done():
		return front.Close()
	}
	return s.dataPlane.Serve(ctx, front)
}

func (s *server) isReady() bool {
	select {
	case <-s.synced:
		return !s.draining.Load()
	default:
		return false
	}
}

// applyUpdate hands on what the follower holds. The follower calls it from one goroutine.
func (s *server) applyUpdate(update distribution.Update) {
	live := make([]string, 0, len(update.Members))
	watched := make([]failuredetector.Member, 0, len(update.Members))
	endpoints := make([]directory.Endpoint, 0, len(update.Members))
	for _, m := range update.Members {
		if m.Draining || m.Down {
			continue
		}
		live = append(live, m.Node)
		watched = append(watched, failuredetector.Member{Node: m.Node, Incarnation: m.Incarnation,
			Address: net.JoinHostPort(m.IP, strconv.Itoa(s.settings.ProxyPort()))})
		if m.Ready && (m.Node != s.settings.Node || !s.draining.Load()) {
			endpoints = append(endpoints, directory.Endpoint{Address: m.ClientAddress, Zone: m.Zone, Region: m.Region})
		}
	}
	if configured, listed := update.State.Config != nil, update.HasList; !s.isSynced && (configured || listed) {
		s.log.WithField("configured", configured).WithField("listed", listed).Info("proxy: learning")
	}
	s.dataPlane.UpdateClusterState(update.AsOf, pick.ClusterState{Config: update.State.Config, Evacuated: update.State.Evacuated, ZoneChanges: zoneChanges(update),
		Servers: update.Servers, ListCoversSeq: update.ListCoversSeq, ContactAge: update.ContactAge,
		Self: s.settings.Node, Peers: live, DownCount: update.DownCount, MembershipIncomplete: update.MembershipIncomplete, Stale: update.Stale})
	s.subscriber.NotifyListUpdates(s.dataPlane.AwaitsServerList())
	s.directory.SetEndpoints(endpoints)
	s.agent.SetMembers(watched)
	if !s.isSynced && update.State.Config != nil && update.HasList {
		s.isSynced = true
		close(s.synced)
		s.subscriber.SetReady(true)
		s.log.WithField("revision", update.State.Config.Revision).WithField("servers", len(update.Servers)).Info("proxy: ready")
	}
}

// zoneChanges tells which record last changed each zone that servers are in.
func zoneChanges(update distribution.Update) map[string]uint64 {
	changes := map[string]uint64{}
	for _, s := range update.Servers {
		changes[s.Zone] = update.State.ZoneChangeSeq(s.Zone)
	}
	return changes
}

// shutDownGracefully is the planned end: the directory and readiness turn clients away first, then what is held is finished.
func (s *server) shutDownGracefully() {
	s.log.Info("proxy: leaving")
	s.draining.Store(true)
	s.agent.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), settings.Seconds(s.settings.Bounds.Grace)-killMargin)
	defer cancel()
	if err := s.subscriber.Leave(ctx); err != nil {
		s.log.WithError(err).Warn("proxy: no keeper was told")
	}
	s.dataPlane.Drain(ctx)
	s.log.Info("proxy: ended")
}

func (s *server) pickSettings() pick.Settings {
	config := s.settings
	return pick.Settings{Zone: config.Zone, Region: config.Region, Regions: config.Zones, RetryRatio: config.Bounds.RetryRatio,
		RetryWindow: settings.Seconds(config.Bounds.RetryWindowS), RetrySlack: config.Bounds.RetrySlack,
		WarmUpExcess: config.Bounds.ColdExcess, WarmUpSlack: config.Bounds.ColdSlack, Seed: s.rotationSeed()}
}

// rotationSeed lets proxies begin their rotations at different places.
func (s *server) rotationSeed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.settings.Node)) // never fails
	return h.Sum64()
}

// status is what staff see of this proxy.
func (s *server) status() any {
	current := s.subscriber.Current()
	out := admin.ProxyStatus{Version: admin.Version, Node: s.settings.Node, Ready: s.dataPlane.Ready() && s.isReady(), Fresh: current.Fresh,
		Number: current.State.Seq, Revision: current.State.Revision(), Evacuated: admin.EvacuatedZones(current.State), Servers: len(current.Servers),
		ListAgeMS: -1, Choice: s.dataPlane.Describe(), Violations: invariant.Violations()}
	if current.HasList {
		out.ListAgeMS = current.ListAge.Milliseconds()
	}
	for _, m := range current.Members {
		out.Members = append(out.Members, m.Node)
	}
	return out
}
