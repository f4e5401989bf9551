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
	mostTTL     = time.Second            // of the directory's answers: a proxy that ended is asked for as long
	endMargin   = 700 * time.Millisecond // kept free before the platform's kill
	beatEvery   = 400 * time.Millisecond // between beats to the proxies that watch this one
	silenceFor  = 1300 * time.Millisecond
	probeWithin = 500 * time.Millisecond
)

// server is the process: its parts, and what each tells the others.
type server struct {
	settings   *settings.Settings
	log        log.Interface
	dataPlane  *proxy.Proxy
	follower   *distribution.Subscriber
	agent      *failuredetector.Agent
	directory  *directory.Directory
	leaving    atomic.Bool
	complete   chan struct{} // closed once there is a configuration and a list of servers
	isComplete bool          // of OnUpdate's goroutine
}

func run(self *process.Process) error {
	s := self.Settings
	p := &server{settings: s, log: self.Log, complete: make(chan struct{})}
	life, end := context.WithCancel(context.Background())
	defer end()
	group, ctx := process.NewGroup(life)
	p.directory = directory.NewDirectory(min(mostTTL, max(settings.Seconds(s.Bounds.TTLMax), time.Second)))
	p.dataPlane = proxy.New(proxy.Options{Settings: p.pickSettings(), GracePeriod: settings.Seconds(s.Bounds.Grace) - endMargin,
		LossSlack: settings.Milliseconds(s.Bounds.LossSlack), FDLimit: s.Limits.FDs, MemoryMB: int(s.Limits.MemoryMB), Log: p.log,
		OnStall: func() { p.follower.Refresh() }})
	p.follower = distribution.NewSubscriber(distribution.SubscriberOptions{Seeds: s.SeedIPs(), ControlPlanePort: s.ControlPlanePort(),
		ProxyPort: s.ProxyPort(), Self: distribution.Member{Node: s.Node, Zone: s.Zone, Region: s.Region, IP: s.IP, ClientAddress: s.Bind.Front},
		Loads: p.dataPlane.Loads, OnUpdate: p.update, OnLoads: p.dataPlane.SetLoads, Log: p.log})
	p.dataPlane.Publish()
	inner := net.JoinHostPort(s.IP, strconv.Itoa(s.ProxyPort()))
	if err := p.watch(ctx, inner); err != nil {
		return err
	}
	calls := http.NewServeMux()
	calls.Handle("/twirp/", p.follower.Handler())
	calls.Handle(failuredetector.AlivePath, p.agent.Handler())
	calls.Handle("/status", admin.ProxyHandler(p.status))
	for address, handler := range map[string]http.Handler{
		inner:            calls,
		s.Bind.Readiness: directory.Readiness(func() bool { return p.dataPlane.Ready() && p.ready() }),
		s.Bind.Directory: p.directory.Handler(),
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
	front, err := process.Listen(ctx, s.Bind.Front)
	if err != nil {
		return err
	}
	group.Go(func() error { p.follower.Run(ctx); return nil })
	group.Go(func() error { p.agent.Run(ctx); return nil })
	group.Go(func() error { return p.carry(ctx, front) })
	p.log.WithField("front", s.Bind.Front).Info("proxy: started")
	self.Wait(ctx)
	if ctx.Err() == nil {
		p.leave()
	}
	end()
	return group.Wait()
}

// watch has proxies that rendezvous hashing names watch each other.
func (p *server) watch(ctx context.Context, inner string) error {
	packets, err := new(net.ListenConfig).ListenPacket(ctx, "udp4", inner)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "cannot listen at %s by UDP: check that the port is free", inner), process.ErrListen)
	}
	conn, ok := packets.(*net.UDPConn)
	if !ok {
		return errors.Newf("%s gave no UDP socket: run on a system that has them", inner)
	}
	beat := beatEvery
	if most := settings.Milliseconds(p.settings.HeartbeatMS); most > 0 {
		beat = min(beat, most)
	}
	p.agent = failuredetector.NewAgent(failuredetector.AgentOptions{Conn: conn, Log: p.log,
		Options: failuredetector.Options{Self: p.settings.Node, Incarnation: p.follower.Incarnation(), HeartbeatInterval: beat, SuspectTimeout: silenceFor, ProbeTimeout: probeWithin},
		OnVerdict: func(v failuredetector.Verdict) {
			if v.Down {
				p.follower.Report(v.Node, v.Incarnation)
			}
		}})
	return nil
}

// carry takes clients once there is something to serve with. Until then connections wait in the listener's queue: to turn
// them away would cost their clients a try.
func (p *server) carry(ctx context.Context, front net.Listener) error {
	select {
	case <-p.complete:
	case <-ctx.Done():
		return front.Close()
	}
	return p.dataPlane.Serve(ctx, front)
}

func (p *server) ready() bool {
	select {
	case <-p.complete:
		return !p.leaving.Load()
	default:
		return false
	}
}

// update hands on what the follower holds. The follower calls it from one goroutine.
func (p *server) update(u distribution.Update) {
	live := make([]string, 0, len(u.Members))
	watched := make([]failuredetector.Member, 0, len(u.Members))
	fronts := make([]directory.Endpoint, 0, len(u.Members))
	for _, m := range u.Members {
		if m.Draining || m.Down {
			continue
		}
		live = append(live, m.Node)
		watched = append(watched, failuredetector.Member{Node: m.Node, Incarnation: m.Incarnation,
			Address: net.JoinHostPort(m.IP, strconv.Itoa(p.settings.ProxyPort()))})
		if m.Ready && (m.Node != p.settings.Node || !p.leaving.Load()) {
			fronts = append(fronts, directory.Endpoint{Address: m.ClientAddress, Zone: m.Zone, Region: m.Region})
		}
	}
	if configured, listed := u.State.Config != nil, u.HasList; !p.isComplete && (configured || listed) {
		p.log.WithField("configured", configured).WithField("listed", listed).Info("proxy: learning")
	}
	p.dataPlane.UpdateClusterState(u.AsOf, pick.ClusterState{Config: u.State.Config, Evacuated: u.State.Evacuated, ZoneChanges: zoneChanges(u),
		Servers: u.Servers, ListCoversSeq: u.ListCoversSeq, ContactAge: u.ContactAge,
		Self: p.settings.Node, Peers: live, DownCount: u.DownCount, MembershipIncomplete: u.MembershipIncomplete, Stale: u.Stale})
	p.follower.NotifyListUpdates(p.dataPlane.AwaitsServerList())
	p.directory.SetEndpoints(fronts)
	p.agent.SetMembers(watched)
	if !p.isComplete && u.State.Config != nil && u.HasList {
		p.isComplete = true
		close(p.complete)
		p.follower.SetReady(true)
		p.log.WithField("revision", u.State.Config.Revision).WithField("servers", len(u.Servers)).Info("proxy: ready")
	}
}

// zoneChanges tells which record last changed each zone that servers are in.
func zoneChanges(u distribution.Update) map[string]uint64 {
	changes := map[string]uint64{}
	for _, s := range u.Servers {
		changes[s.Zone] = u.State.ZoneChangeSeq(s.Zone)
	}
	return changes
}

// leave is the planned end: the directory and readiness turn clients away first, then what is held is finished.
func (p *server) leave() {
	p.log.Info("proxy: leaving")
	p.leaving.Store(true)
	p.agent.Leave()
	grace, cancel := context.WithTimeout(context.Background(), settings.Seconds(p.settings.Bounds.Grace)-endMargin)
	defer cancel()
	if err := p.follower.Leave(grace); err != nil {
		p.log.WithError(err).Warn("proxy: no keeper was told")
	}
	p.dataPlane.Drain(grace)
	p.log.Info("proxy: ended")
}

func (p *server) pickSettings() pick.Settings {
	s := p.settings
	return pick.Settings{Zone: s.Zone, Region: s.Region, Regions: s.Zones, RetryRatio: s.Bounds.RetryRatio,
		RetryWindow: settings.Seconds(s.Bounds.RetryWindowS), RetrySlack: s.Bounds.RetrySlack,
		WarmUpExcess: s.Bounds.ColdExcess, WarmUpSlack: s.Bounds.ColdSlack, Seed: p.seed()}
}

// seed lets proxies begin their rotations at different places.
func (p *server) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.settings.Node)) // never fails
	return h.Sum64()
}

// status is what staff see of this proxy.
func (p *server) status() any {
	held := p.follower.Current()
	out := admin.ProxyStatus{Version: admin.Version, Node: p.settings.Node, Ready: p.dataPlane.Ready() && p.ready(), Fresh: held.Fresh,
		Number: held.State.Seq, Revision: held.State.Revision(), Evacuated: admin.EvacuatedZones(held.State), Servers: len(held.Servers),
		ListAgeMS: -1, Choice: p.dataPlane.Describe(), Violations: invariant.Violations()}
	if held.HasList {
		out.ListAgeMS = held.ListAge.Milliseconds()
	}
	for _, m := range held.Members {
		out.Members = append(out.Members, m.Node)
	}
	return out
}
