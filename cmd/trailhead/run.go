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

	"gradeusher.example/gradeusher/internal/bivouac"
	"gradeusher.example/gradeusher/internal/hut"
	"gradeusher.example/gradeusher/internal/rope"
	"gradeusher.example/gradeusher/internal/signpost"
	"gradeusher.example/gradeusher/internal/staff"
	"gradeusher.example/gradeusher/internal/trail"
	"gradeusher.example/gradeusher/internal/trail/pick"
	"gradeusher.example/gradeusher/internal/waymark"
)

const (
	mostTTL     = time.Second            // of the directory's answers: a proxy that ended is asked for as long
	endMargin   = 700 * time.Millisecond // kept free before the platform's kill
	beatEvery   = 400 * time.Millisecond // between beats to the proxies that watch this one
	silenceFor  = 1300 * time.Millisecond
	probeWithin = 500 * time.Millisecond
)

// proxy is the process: its parts, and what each tells the others.
type proxy struct {
	settings  *hut.Settings
	log       log.Interface
	trail     *trail.Proxy
	follower  *waymark.Follower
	agent     *rope.Agent
	directory *signpost.Directory
	leaving   atomic.Bool
	whole     chan struct{} // closed once there is a configuration and a list of servers
	isWhole   bool          // of OnUpdate's goroutine
}

func run(process *bivouac.Process) error {
	s := process.Settings
	p := &proxy{settings: s, log: process.Log, whole: make(chan struct{})}
	life, end := context.WithCancel(context.Background())
	defer end()
	group, ctx := bivouac.NewGroup(life)
	p.directory = signpost.NewDirectory(min(mostTTL, max(hut.Seconds(s.Bounds.TTLMax), time.Second)))
	p.trail = trail.New(trail.Options{Settings: p.pickSettings(), GraceFor: hut.Seconds(s.Bounds.Grace) - endMargin,
		LossSlack: hut.Milliseconds(s.Bounds.LossSlack), FDLimit: s.Limits.FDs, MemoryMB: int(s.Limits.MemoryMB), Log: p.log})
	p.follower = waymark.NewFollower(waymark.FollowerOptions{Seeds: s.SeedIPs(), KeeperPort: s.KeeperPort(),
		ProxyPort: s.ProxyPort(), Self: waymark.Member{Node: s.Node, Zone: s.Zone, Region: s.Region, IP: s.IP, Front: s.Bind.Front},
		Loads: p.trail.Loads, OnUpdate: p.update, OnLoads: p.trail.SetLoads, Log: p.log})
	inner := net.JoinHostPort(s.IP, strconv.Itoa(s.ProxyPort()))
	if err := p.watch(ctx, inner); err != nil {
		return err
	}
	calls := http.NewServeMux()
	calls.Handle("/twirp/", p.follower.Handler())
	calls.Handle(rope.AlivePath, p.agent.Handler())
	calls.Handle("/status", staff.ProxyHandler(p.status))
	for address, handler := range map[string]http.Handler{
		inner:            calls,
		s.Bind.Readiness: signpost.Readiness(func() bool { return p.trail.Ready() && p.ready() }),
		s.Bind.Directory: p.directory.Handler(),
	} {
		l, err := bivouac.Listen(ctx, address)
		if err != nil {
			return err
		}
		group.HTTP(ctx, l, handler)
	}
	front, err := bivouac.Listen(ctx, s.Bind.Front)
	if err != nil {
		return err
	}
	group.Go(func() error { p.follower.Run(ctx); return nil })
	group.Go(func() error { p.agent.Run(ctx); return nil })
	group.Go(func() error { return p.carry(ctx, front) })
	p.log.WithField("front", s.Bind.Front).Info("trailhead: started")
	process.Wait(ctx)
	if ctx.Err() == nil {
		p.leave()
	}
	end()
	return group.Wait()
}

// watch has proxies that rendezvous hashing names watch each other.
func (p *proxy) watch(ctx context.Context, inner string) error {
	packets, err := new(net.ListenConfig).ListenPacket(ctx, "udp4", inner)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "cannot listen at %s by UDP: check that the port is free", inner), bivouac.ErrListen)
	}
	conn, ok := packets.(*net.UDPConn)
	if !ok {
		return errors.Newf("%s gave no UDP socket: run on a system that has them", inner)
	}
	beat := beatEvery
	if most := hut.Milliseconds(p.settings.BeatMS); most > 0 {
		beat = min(beat, most)
	}
	p.agent = rope.NewAgent(rope.AgentOptions{Conn: conn, Log: p.log,
		Options: rope.Options{Self: p.settings.Node, Incarnation: p.follower.Incarnation(), Beat: beat, Silence: silenceFor, Probe: probeWithin},
		OnVerdict: func(v rope.Verdict) {
			if v.Down {
				p.follower.Report(v.Node, v.Incarnation)
			}
		}})
	return nil
}

// carry takes clients once there is something to serve with. Until then connections wait in the listener's queue: to turn
// them away would cost their clients a try.
func (p *proxy) carry(ctx context.Context, front net.Listener) error {
	select {
	case <-p.whole:
	case <-ctx.Done():
		return front.Close()
	}
	return p.trail.Serve(ctx, front)
}

func (p *proxy) ready() bool {
	select {
	case <-p.whole:
		return !p.leaving.Load()
	default:
		return false
	}
}

// update hands on what the follower holds. The follower calls it from one goroutine.
func (p *proxy) update(u waymark.Update) {
	live := make([]string, 0, len(u.Members))
	watched := make([]rope.Member, 0, len(u.Members))
	fronts := make([]signpost.Front, 0, len(u.Members))
	for _, m := range u.Members {
		if m.Leaving || m.Down {
			continue
		}
		live = append(live, m.Node)
		watched = append(watched, rope.Member{Node: m.Node, Incarnation: m.Incarnation,
			Address: net.JoinHostPort(m.IP, strconv.Itoa(p.settings.ProxyPort()))})
		if m.Ready && (m.Node != p.settings.Node || !p.leaving.Load()) {
			fronts = append(fronts, signpost.Front{Address: m.Front, Zone: m.Zone, Region: m.Region})
		}
	}
	if configured, listed := u.State.Config != nil, u.Listed; !p.isWhole && (configured || listed) {
		p.log.WithField("configured", configured).WithField("listed", listed).Info("trailhead: learning")
	}
	p.trail.SetWorld(pick.World{Config: u.State.Config, Evacuated: u.State.Evacuated, Servers: u.Servers,
		Self: p.settings.Node, Peers: live})
	p.directory.Set(fronts)
	p.agent.SetMembers(watched)
	if !p.isWhole && u.State.Config != nil && u.Listed {
		p.isWhole = true
		close(p.whole)
		p.follower.SetReady(true)
		p.log.WithField("revision", u.State.Config.Revision).WithField("servers", len(u.Servers)).Info("trailhead: ready")
	}
}

// leave is the planned end: the directory and readiness turn clients away first, then what is held is finished.
func (p *proxy) leave() {
	p.log.Info("trailhead: leaving")
	p.leaving.Store(true)
	p.agent.Leave()
	grace, cancel := context.WithTimeout(context.Background(), hut.Seconds(p.settings.Bounds.Grace)-endMargin)
	defer cancel()
	if err := p.follower.Leave(grace); err != nil {
		p.log.WithError(err).Warn("trailhead: no keeper was told")
	}
	p.trail.Drain(grace)
	p.log.Info("trailhead: ended")
}

func (p *proxy) pickSettings() pick.Settings {
	s := p.settings
	return pick.Settings{Zone: s.Zone, Region: s.Region, Regions: s.Zones, RetryRatio: s.Bounds.RetryRatio,
		RetryWindow: hut.Seconds(s.Bounds.RetryWindowS), RetrySlack: s.Bounds.RetrySlack,
		ColdExcess: s.Bounds.ColdExcess, ColdSlack: s.Bounds.ColdSlack, Seed: p.seed()}
}

// seed lets proxies begin their rotations at different places.
func (p *proxy) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.settings.Node)) // never fails
	return h.Sum64()
}

// status is what staff see of this proxy.
func (p *proxy) status() any {
	held := p.follower.Held()
	out := staff.ProxyStatus{Version: staff.Version, Node: p.settings.Node, Ready: p.trail.Ready() && p.ready(), Fresh: held.Fresh,
		Number: held.State.Seq, Revision: held.State.Revision(), Evacuated: staff.Zones(held.State), Servers: len(held.Servers),
		ListAgeMS: -1, Choice: p.trail.Describe()}
	if held.Listed {
		out.ListAgeMS = held.ListAge.Milliseconds()
	}
	for _, m := range held.Members {
		out.Members = append(out.Members, m.Node)
	}
	return out
}
