package soak

import (
	"context"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

const endSlack = 2 * time.Second // beyond the grace, for a process to end

// faultDown is the kind of rules.Fault of a process that is not running.
const faultDown rules.FaultKind = "down"

// drawKill draws a fault of processes that are killed and started again.
func (d *drawer) drawKill(fault *Fault) {
	fault.Length = d.drawDuration(500*time.Millisecond, 4*time.Second)
}

// drawPause draws a fault of a process that is stopped and continued.
func (d *drawer) drawPause(fault *Fault) {
	fault.Length = d.drawDuration(300*time.Millisecond, 6*time.Second)
}

// drawTermination draws a graceful shutdown of a proxy.
func (d *drawer) drawTermination(fault *Fault) {
	fault.Down = d.drawDuration(0, 2*time.Second)
	fault.Length = d.scenario.Bounds.Grace + endSlack + fault.Down
}

func proxyClaim(ip string) claim { return claim("proxy " + ip) }

func controlPlaneClaim(ip string) claim { return claim("control-plane node " + ip) }

func claimProxy(_ *drawer, fault Fault) []claim { return []claim{proxyClaim(fault.Target)} }

func claimControlPlane(_ *drawer, fault Fault) []claim {
	return []claim{controlPlaneClaim(fault.Target)}
}

func claimProxiesOfZone(d *drawer, fault Fault) (claims []claim) {
	for _, m := range d.scenario.Machines {
		if m.Zone == fault.Target {
			claims = append(claims, proxyClaim(m.IP))
		}
	}
	return claims
}

func claimAllControlPlanes(d *drawer, _ Fault) (claims []claim) {
	for _, m := range d.scenario.Machines {
		claims = append(claims, controlPlaneClaim(m.IP))
	}
	return claims
}

// killProxies kills the proxies of the target's machines, and starts them again when the fault is over.
func (p *player) killProxies(ctx context.Context, fault Fault) error {
	return forEachMachine(p.machines(fault), func(m testcluster.Machine) error {
		defer p.beginProxyFault(m, faultDown)()
		p.monitor.poll(ctx, testcluster.ProxyName(m), p.Fleet.InternalAddress(m)) // The process's counts end with it.
		if err := p.KillProxy(m); err != nil {
			return err
		}
		clock.Sleep(ctx, fault.Length)
		return p.StartProxy(m)
	})
}

// terminateProxy has a proxy shut down gracefully, and starts it again.
func (p *player) terminateProxy(ctx context.Context, fault Fault) error {
	return forEachMachine(p.machines(fault), func(m testcluster.Machine) error {
		p.monitor.poll(ctx, testcluster.ProxyName(m), p.Fleet.InternalAddress(m))
		terminateCtx, cancel := context.WithTimeout(ctx, p.Scenario.Bounds.Grace+endSlack)
		defer cancel()
		if err := p.TerminateProxy(terminateCtx, m); err != nil {
			return err
		}
		clock.Sleep(ctx, fault.Down)
		return p.StartProxy(m)
	})
}

// killControlPlanes kills the control-plane nodes of the target's machines, and starts them again when the fault is over.
func (p *player) killControlPlanes(ctx context.Context, fault Fault) error {
	return forEachMachine(p.machines(fault), func(m testcluster.Machine) error {
		defer p.beginControlPlaneFault(m, faultDown)()
		p.monitor.poll(ctx, testcluster.ControlPlaneName(m), p.Fleet.ControlAddress(m))
		if err := p.KillControlPlane(m); err != nil {
			return err
		}
		clock.Sleep(ctx, fault.Length)
		return p.StartControlPlane(m)
	})
}

// pause stops the proxy or the control-plane node of the target's machines, and continues it when the fault is over.
func (p *player) pause(ctx context.Context, fault Fault) error {
	return forEachMachine(p.machines(fault), func(m testcluster.Machine) error {
		if fault.Kind == PauseControlPlane {
			process := p.Fleet.ControlPlaneProcess(m)
			defer p.beginControlPlaneFault(m, rules.Pause)()
			return p.Pause(ctx, process, fault.Length)
		}
		process := p.Fleet.ProxyProcess(m)
		defer p.beginProxyFault(m, rules.Pause)()
		return p.Pause(ctx, process, fault.Length)
	})
}
