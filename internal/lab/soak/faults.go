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

// inject injects a fault, and returns when it is over.
func (p *player) inject(ctx context.Context, t Fault) error {
	switch t.Kind {
	case KillProxy, KillZone:
		return p.killProxies(ctx, t)
	case KillControlPlane, KillAllControlPlanes:
		return p.killControlPlanes(ctx, t)
	case PauseProxy, PauseControlPlane:
		return p.pause(ctx, t)
	case TerminateProxy:
		return p.terminateProxy(ctx, t)
	case PartitionProxy, SlowProxy, PartitionControlPlane, SlowControlPlane, PartitionFromServers:
		return p.disturbLinks(ctx, t)
	case PartitionFromList, PartitionAllFromList, SlowLists, PartitionServer, SlowServer:
		p.applyToLinks(ctx, t, t.Length)
		return nil
	case LoseAnswers:
		p.loseAnswers(ctx, t)
		return nil
	case LoseAcknowledgements:
		p.answerLoss.set(t.LossRate)
		clock.Sleep(ctx, t.Length)
		p.answerLoss.set(0)
		return nil
	case RestartZone:
		return p.restartZone(ctx, t.Target, t.Down)
	case EvacuateZone, RestartZoneDuringEvacuation, EndEvacuationAlone:
		return p.evacuateZone(ctx, t)
	case DrainServer:
		return p.drain(ctx, t)
	}
	return errors.Newf("unknown trouble %q", t.Kind)
}

// machines are those that a fault is done to.
func (p *player) machines(t Fault) (some []testcluster.Machine) {
	for _, m := range p.Fleet.Machines {
		if t.Target == "" || m.IP == t.Target || m.Zone == t.Target {
			some = append(some, m)
		}
	}
	return some
}

// beginFault notes a fault of a machine that lasts.
func (p *player) beginFault(m testcluster.Machine, keeper bool, kind string) (end func()) {
	t := rules.Fault{Kind: kind, At: p.Now()}
	if keeper {
		t.ControlPlane, t.Machine = m.Disk, m.IP
	} else {
		t.Proxy = p.Fleet.Front(m)
	}
	over := p.Evidence.BeginFault(t)
	return func() { over(p.Now()) }
}

// forEachMachine does something to machines at the same time, and gives all errors.
func forEachMachine(machines []testcluster.Machine, do func(testcluster.Machine) error) error {
	failed := make([]error, len(machines))
	var all sync.WaitGroup
	for i, m := range machines {
		all.Go(func() { failed[i] = do(m) })
	}
	all.Wait()
	return errors.Join(failed...)
}

func (p *player) killProxies(ctx context.Context, t Fault) error {
	return forEachMachine(p.machines(t), func(m testcluster.Machine) error {
		defer p.beginFault(m, false, "down")()
		p.monitor.poll(ctx, testcluster.ProxyName(m), p.Fleet.Internal(m)) // what it has counted goes with it
		if err := p.KillProxy(m); err != nil {
			return err
		}
		clock.Sleep(ctx, t.Length)
		return p.StartProxy(m)
	})
}

// terminateProxy has a proxy end as planned, and starts it again.
func (p *player) terminateProxy(ctx context.Context, t Fault) error {
	return forEachMachine(p.machines(t), func(m testcluster.Machine) error {
		p.monitor.poll(ctx, testcluster.ProxyName(m), p.Fleet.Internal(m))
		ends, cancel := context.WithTimeout(ctx, p.Scenario.Bounds.Grace+endSlack)
		defer cancel()
		if err := p.TerminateProxy(ends, m); err != nil {
			return err
		}
		clock.Sleep(ctx, t.Down)
		return p.StartProxy(m)
	})
}

func (p *player) killControlPlanes(ctx context.Context, t Fault) error {
	return forEachMachine(p.machines(t), func(m testcluster.Machine) error {
		defer p.beginFault(m, true, "down")()
		p.monitor.poll(ctx, testcluster.ControlPlaneName(m), p.Fleet.Control(m))
		if err := p.KillControlPlane(m); err != nil {
			return err
		}
		clock.Sleep(ctx, t.Length)
		return p.StartControlPlane(m)
	})
}

func (p *player) pause(ctx context.Context, t Fault) error {
	return forEachMachine(p.machines(t), func(m testcluster.Machine) error {
		process, keeper := p.Fleet.ProxyProcess(m), t.Kind == PauseControlPlane
		if keeper {
			process = p.Fleet.ControlPlaneProcess(m)
		}
		defer p.beginFault(m, keeper, rules.Pause)()
		return p.Pause(ctx, process, t.Length)
	})
}

// disturbLinks cuts or slows the links of a machine's process to others of the system.
func (p *player) disturbLinks(ctx context.Context, t Fault) error {
	return forEachMachine(p.machines(t), func(m testcluster.Machine) error {
		defer p.beginFault(m, t.Kind == PartitionControlPlane || t.Kind == SlowControlPlane, string(t.Kind))()
		p.applyToLinks(ctx, t, t.Length)
		return nil
	})
}

// applyToLinks injects a fault into links for a time.
func (p *player) applyToLinks(ctx context.Context, t Fault, d time.Duration) {
	calls, called := t.matchPaths()
	out, in := t.linkStates()
	defer p.Fleet.Links.Inject(calls, out)()
	defer p.Fleet.Links.Inject(called, in)()
	clock.Sleep(ctx, d)
}

// matchPaths pick the links on which the target calls, and those on which it is called.
func (t Fault) matchPaths() (calls, called func(testcluster.Path) bool) {
	none := func(testcluster.Path) bool { return false }
	at := testcluster.Machine{IP: t.Target}
	switch t.Kind {
	case PartitionProxy, SlowProxy:
		return func(l testcluster.Path) bool { return l.From == testcluster.ProxyName(at) && !l.ToServer() }, func(l testcluster.Path) bool { return l.To == testcluster.ProxyName(at) }
	case PartitionControlPlane, SlowControlPlane:
		return func(l testcluster.Path) bool {
				return l.From == testcluster.ControlPlaneName(at) && l.To != testcluster.ListEnd
			},
			func(l testcluster.Path) bool { return l.To == testcluster.ControlPlaneName(at) }
	case PartitionFromList:
		return func(l testcluster.Path) bool {
			return l.From == testcluster.ControlPlaneName(at) && l.To == testcluster.ListEnd
		}, none
	case PartitionAllFromList, SlowLists:
		return func(l testcluster.Path) bool { return l.To == testcluster.ListEnd }, none
	case PartitionFromServers:
		return func(l testcluster.Path) bool {
			return l.From == testcluster.ProxyName(at) && slices.Contains(t.Servers, l.To)
		}, none
	case PartitionServer, SlowServer:
		return none, func(l testcluster.Path) bool { return l.To == t.Target }
	}
	return none, none
}

// linkStates are how the links are on which the target calls, and those on which it is called.
func (t Fault) linkStates() (out, in link.State) {
	out = link.State{Delay: t.Delay, Jitter: t.Jitter}
	in = out
	switch t.Kind {
	case PartitionProxy, PartitionControlPlane, PartitionFromList, PartitionAllFromList, PartitionServer, PartitionFromServers:
		sends, hears := t.Direction != Inbound, t.Direction != Outbound // which of them is held back
		out.Hold[link.ToFar], out.Hold[link.ToNear] = sends, hears
		in.Hold[link.ToNear], in.Hold[link.ToFar] = sends, hears
	}
	return out, in
}

func (p *player) loseAnswers(ctx context.Context, t Fault) {
	for _, s := range p.servers(t.Target) {
		s.LoseAnswers(t.LossRate)
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

// restartZone has all servers of a zone be down together, and come back within a moment under new ids at the same addresses. It
// returns when they are warm.
func (p *player) restartZone(ctx context.Context, zone string, down time.Duration) error {
	p.crashZone(zone)
	clock.Sleep(ctx, down)
	return p.startZone(ctx, zone)
}

func (p *player) crashZone(zone string) {
	for _, s := range p.servers(zone) {
		s.Crash()
	}
}

func (p *player) startZone(ctx context.Context, zone string) error {
	some := p.servers(zone)
	for i, s := range some {
		if err := s.Start(true); err != nil && !errors.Is(err, testcluster.ErrRunning) { //nolint:contextcheck // the server outlives the fault that starts it
			return err
		}
		if i < len(some)-1 {
			clock.Sleep(ctx, restartSpread/time.Duration(len(some)))
		}
	}
	clock.Sleep(ctx, coldFor(p.Scenario)+coldMargin)
	return nil
}

// evacuateZone evacuates a zone and takes that back, its servers having begun to warm up before. Meanwhile those of the other zone may
// come back and warm up, or still be down at the end. It does nothing where the evacuation before has not ended in time.
func (p *player) evacuateZone(ctx context.Context, t Fault) error {
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
	p.setPendingEvacuation(zone, true)
	asked, cancel := context.WithTimeout(ctx, orderTimeout)
	err := p.setEvacuated(asked, zone, true)
	cancel()
	if errors.Is(err, testcluster.ErrRefused) {
		return err
	}
	if err != nil {
		t.WarmUpLead = 0 // it may not be in force: nobody could know of servers that begin to warm up in service
	}
	acked := time.Now()
	switch t.Kind {
	case RestartZoneDuringEvacuation:
		clock.Sleep(ctx, evacuateFor-time.Since(began))
		if err := p.restartZone(ctx, t.Target, t.Down); err != nil {
			return err
		}
		clock.Sleep(ctx, maxWarmUpLead-t.WarmUpLead)
	case EndEvacuationAlone:
		clock.Sleep(ctx, p.Scenario.Bounds.Evacuate-time.Since(began))
		p.crashZone(t.Target)
		clock.Sleep(ctx, t.Down-aloneFor-t.WarmUpLead)
	default:
		clock.Sleep(ctx, t.Length-t.WarmUpLead-time.Since(began))
	}
	// All proxies in touch have stopped to send there once that time is over.
	clock.Sleep(ctx, p.Scenario.Bounds.Evacuate-time.Since(acked))
	err = p.endEvacuation(ctx, zone, t.WarmUpLead)
	if t.Kind != EndEvacuationAlone {
		return err
	}
	clock.Sleep(ctx, aloneFor)
	return errors.Join(err, p.startZone(ctx, t.Target))
}

// endEvacuation ends an evacuation, after the zone's servers have begun to warm up for some seconds past that; lead 0: they have not.
func (p *player) endEvacuation(ctx context.Context, zone string, chill time.Duration) error {
	if chill > 0 {
		for _, s := range p.servers(zone) {
			s.SetWarmingUp(min(chill+coldFor(p.Scenario)-coldMargin, 2*s.WarmUp))
		}
	}
	clock.Sleep(ctx, chill)
	if err := p.setEvacuated(ctx, zone, false); err != nil {
		return err
	}
	p.setPendingEvacuation(zone, false)
	return nil
}

func (p *player) setPendingEvacuation(zone string, owed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if owed {
		p.pendingEvacuations[zone] = true
	} else {
		delete(p.pendingEvacuations, zone)
	}
}

// drain empties a server, ends it, and starts it again. It returns when that is warm.
func (p *player) drain(ctx context.Context, t Fault) error {
	for _, s := range p.Servers {
		if s.Address != t.Target {
			continue
		}
		s.Drain()
		clock.Sleep(ctx, p.Scenario.Bounds.Drain+time.Second)
		s.Stop()
		clock.Sleep(ctx, t.Length-p.Scenario.Bounds.Drain-time.Second-s.WarmUp-coldMargin)
		if err := s.Start(true); err != nil && !errors.Is(err, testcluster.ErrRunning) { //nolint:contextcheck // the server outlives the fault that starts it
			return err
		}
		clock.Sleep(ctx, s.WarmUp+coldMargin)
	}
	return nil
}
