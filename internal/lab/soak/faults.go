package soak

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// do has a trouble happen, and returns when it is over.
func (p *player) do(ctx context.Context, t Trouble) error {
	switch t.Kind {
	case KillProxy, KillZone:
		return p.killProxies(ctx, t)
	case KillKeeper, KillKeepers:
		return p.killKeepers(ctx, t)
	case PauseProxy, PauseKeeper:
		return p.pause(ctx, t)
	case EndProxy:
		return p.endProxy(ctx, t)
	case CutProxy, SlowProxy, CutKeeper, SlowKeeper, CutFromServers:
		return p.harm(ctx, t)
	case CutList, CutLists, SlowLists, CutServer, SlowServer:
		p.lay(ctx, t, t.Length)
		return nil
	case LoseAnswers:
		p.loseAnswers(ctx, t)
		return nil
	case LoseAcks:
		p.losing.set(t.Share)
		clock.Sleep(ctx, t.Length)
		p.losing.set(0)
		return nil
	case ColdReturn:
		return p.coldReturn(ctx, t.Target, t.Down)
	case Evacuate, ReturnEvacuated, TakeBackAlone:
		return p.evacuateZone(ctx, t)
	case Drain:
		return p.drain(ctx, t)
	}
	return errors.Newf("unknown trouble %q", t.Kind)
}

// machines are those that a trouble is done to.
func (p *player) machines(t Trouble) (some []testcluster.Machine) {
	for _, m := range p.Fleet.Machines {
		if t.Target == "" || m.IP == t.Target || m.Zone == t.Target {
			some = append(some, m)
		}
	}
	return some
}

// begin notes a trouble of a machine that lasts.
func (p *player) begin(m testcluster.Machine, keeper bool, kind string) (end func()) {
	t := rules.Fault{Kind: kind, At: p.Now()}
	if keeper {
		t.Keeper, t.Machine = m.Disk, m.IP
	} else {
		t.Proxy = p.Fleet.Front(m)
	}
	over := p.Evidence.BeginFault(t)
	return func() { over(p.Now()) }
}

// each does something to machines at the same time, and gives all errors.
func each(machines []testcluster.Machine, do func(testcluster.Machine) error) error {
	failed := make([]error, len(machines))
	var all sync.WaitGroup
	for i, m := range machines {
		all.Go(func() { failed[i] = do(m) })
	}
	all.Wait()
	return errors.Join(failed...)
}

func (p *player) killProxies(ctx context.Context, t Trouble) error {
	return each(p.machines(t), func(m testcluster.Machine) error {
		defer p.begin(m, false, "down")()
		p.watch.ask(ctx, testcluster.ProxyName(m), p.Fleet.Internal(m)) // what it has counted goes with it
		if err := p.KillProxy(m); err != nil {
			return err
		}
		clock.Sleep(ctx, t.Length)
		return p.StartProxy(m)
	})
}

// endProxy has a proxy end as planned, and starts it again.
func (p *player) endProxy(ctx context.Context, t Trouble) error {
	return each(p.machines(t), func(m testcluster.Machine) error {
		p.watch.ask(ctx, testcluster.ProxyName(m), p.Fleet.Internal(m))
		ends, cancel := context.WithTimeout(ctx, p.Scenario.Bounds.Grace+endSlack)
		defer cancel()
		if err := p.TerminateProxy(ends, m); err != nil {
			return err
		}
		clock.Sleep(ctx, t.Down)
		return p.StartProxy(m)
	})
}

func (p *player) killKeepers(ctx context.Context, t Trouble) error {
	return each(p.machines(t), func(m testcluster.Machine) error {
		defer p.begin(m, true, "down")()
		p.watch.ask(ctx, testcluster.ControlPlaneName(m), p.Fleet.Control(m))
		if err := p.KillControlPlane(m); err != nil {
			return err
		}
		clock.Sleep(ctx, t.Length)
		return p.StartControlPlane(m)
	})
}

func (p *player) pause(ctx context.Context, t Trouble) error {
	return each(p.machines(t), func(m testcluster.Machine) error {
		process, keeper := p.Fleet.ProxyProcess(m), t.Kind == PauseKeeper
		if keeper {
			process = p.Fleet.ControlPlaneProcess(m)
		}
		defer p.begin(m, keeper, rules.Pause)()
		return p.Pause(ctx, process, t.Length)
	})
}

// harm cuts or slows the links of a machine's process to others of the system.
func (p *player) harm(ctx context.Context, t Trouble) error {
	return each(p.machines(t), func(m testcluster.Machine) error {
		defer p.begin(m, t.Kind == CutKeeper || t.Kind == SlowKeeper, string(t.Kind))()
		p.lay(ctx, t, t.Length)
		return nil
	})
}

// lay has a trouble lie on links for a time.
func (p *player) lay(ctx context.Context, t Trouble, d time.Duration) {
	calls, called := t.paths()
	out, in := t.states()
	defer p.Fleet.Links.Inject(calls, out)()
	defer p.Fleet.Links.Inject(called, in)()
	clock.Sleep(ctx, d)
}

// paths pick the links on which the target calls, and those on which it is called.
func (t Trouble) paths() (calls, called func(testcluster.Path) bool) {
	none := func(testcluster.Path) bool { return false }
	at := testcluster.Machine{IP: t.Target}
	switch t.Kind {
	case CutProxy, SlowProxy:
		return func(l testcluster.Path) bool { return l.From == testcluster.ProxyName(at) && !l.ToServer() }, func(l testcluster.Path) bool { return l.To == testcluster.ProxyName(at) }
	case CutKeeper, SlowKeeper:
		return func(l testcluster.Path) bool {
				return l.From == testcluster.ControlPlaneName(at) && l.To != testcluster.ListEnd
			},
			func(l testcluster.Path) bool { return l.To == testcluster.ControlPlaneName(at) }
	case CutList:
		return func(l testcluster.Path) bool {
			return l.From == testcluster.ControlPlaneName(at) && l.To == testcluster.ListEnd
		}, none
	case CutLists, SlowLists:
		return func(l testcluster.Path) bool { return l.To == testcluster.ListEnd }, none
	case CutFromServers:
		return func(l testcluster.Path) bool {
			return l.From == testcluster.ProxyName(at) && slices.Contains(t.Servers, l.To)
		}, none
	case CutServer, SlowServer:
		return none, func(l testcluster.Path) bool { return l.To == t.Target }
	}
	return none, none
}

// states are how the links are on which the target calls, and those on which it is called.
func (t Trouble) states() (out, in link.State) {
	out = link.State{Delay: t.Delay, Jitter: t.Jitter}
	in = out
	switch t.Kind {
	case CutProxy, CutKeeper, CutList, CutLists, CutServer, CutFromServers:
		sends, hears := t.Way != Inward, t.Way != Outward // which of them is held back
		out.Hold[link.ToFar], out.Hold[link.ToNear] = sends, hears
		in.Hold[link.ToNear], in.Hold[link.ToFar] = sends, hears
	}
	return out, in
}

func (p *player) loseAnswers(ctx context.Context, t Trouble) {
	for _, s := range p.servers(t.Target) {
		s.LoseAnswers(t.Share)
		defer s.LoseAnswers(0)
	}
	clock.Sleep(ctx, t.Length)
}

// servers are those of a zone.
func (p *player) servers(zone string) (some []*testcluster.Server) {
	for _, s := range p.Servers {
		if s.Zone == zone {
			some = append(some, s)
		}
	}
	return some
}

// coldReturn has all servers of a zone be down together, and come back within a moment under new ids at the same addresses. It
// returns when they are warm.
func (p *player) coldReturn(ctx context.Context, zone string, down time.Duration) error {
	p.crash(zone)
	clock.Sleep(ctx, down)
	return p.comeBack(ctx, zone)
}

func (p *player) crash(zone string) {
	for _, s := range p.servers(zone) {
		s.Crash()
	}
}

func (p *player) comeBack(ctx context.Context, zone string) error {
	some := p.servers(zone)
	for i, s := range some {
		if err := s.Start(true); err != nil && !errors.Is(err, testcluster.ErrRunning) {
			return err
		}
		if i < len(some)-1 {
			clock.Sleep(ctx, staggered/time.Duration(len(some)))
		}
	}
	clock.Sleep(ctx, coldFor(p.Scenario)+coldMargin)
	return nil
}

// evacuateZone evacuates a zone and takes that back, its servers having turned cold before. Meanwhile those of the other zone may
// return cold, or still be down at the end. It does nothing where the evacuation before has not ended in time.
func (p *player) evacuateZone(ctx context.Context, t Trouble) error {
	began, zone := time.Now(), t.Target
	if t.Other != "" {
		zone = t.Other
	}
	select {
	case p.evacuating <- struct{}{}:
		defer func() { <-p.evacuating }()
	default:
		return nil
	}
	p.owe(zone, true)
	asked, cancel := context.WithTimeout(ctx, orderWithin)
	err := p.evacuate(asked, zone, true)
	cancel()
	if errors.Is(err, testcluster.ErrRefused) {
		return err
	}
	if err != nil {
		t.Chill = 0 // it may not be in force: nobody could know of servers that turn cold in service
	}
	acked := time.Now()
	switch t.Kind {
	case ReturnEvacuated:
		clock.Sleep(ctx, evacuateFor-time.Since(began))
		if err := p.coldReturn(ctx, t.Target, t.Down); err != nil {
			return err
		}
		clock.Sleep(ctx, chillBefore-t.Chill)
	case TakeBackAlone:
		clock.Sleep(ctx, p.Scenario.Bounds.Evacuate-time.Since(began))
		p.crash(t.Target)
		clock.Sleep(ctx, t.Down-aloneFor-t.Chill)
	default:
		clock.Sleep(ctx, t.Length-t.Chill-time.Since(began))
	}
	// All proxies in touch have stopped to send there once that time is over.
	clock.Sleep(ctx, p.Scenario.Bounds.Evacuate-time.Since(acked))
	err = p.takeBack(ctx, zone, t.Chill)
	if t.Kind != TakeBackAlone {
		return err
	}
	clock.Sleep(ctx, aloneFor)
	return errors.Join(err, p.comeBack(ctx, t.Target))
}

// takeBack ends an evacuation, after the zone's servers have turned cold for some seconds past that; chill 0: they have not.
func (p *player) takeBack(ctx context.Context, zone string, chill time.Duration) error {
	if chill > 0 {
		for _, s := range p.servers(zone) {
			s.SetWarmingUp(min(chill+coldFor(p.Scenario)-coldMargin, 2*s.WarmUp))
		}
	}
	clock.Sleep(ctx, chill)
	if err := p.evacuate(ctx, zone, false); err != nil {
		return err
	}
	p.owe(zone, false)
	return nil
}

func (p *player) owe(zone string, owed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if owed {
		p.owed[zone] = true
	} else {
		delete(p.owed, zone)
	}
}

// drain empties a server, ends it, and starts it again. It returns when that is warm.
func (p *player) drain(ctx context.Context, t Trouble) error {
	for _, s := range p.Servers {
		if s.Address != t.Target {
			continue
		}
		s.Drain()
		clock.Sleep(ctx, p.Scenario.Bounds.Drain+time.Second)
		s.Stop()
		clock.Sleep(ctx, t.Length-p.Scenario.Bounds.Drain-time.Second-s.WarmUp-coldMargin)
		if err := s.Start(true); err != nil && !errors.Is(err, testcluster.ErrRunning) {
			return err
		}
		clock.Sleep(ctx, s.WarmUp+coldMargin)
	}
	return nil
}
