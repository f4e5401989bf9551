package testcluster

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/proc"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// faultKill is the kind of rules.Fault of a process that was killed.
const faultKill rules.FaultKind = "kill"

// KillControlPlane kills a machine's control-plane node and waits for its end.
func (r *Run) KillControlPlane(m Machine) error {
	r.Evidence.RecordFault(controlPlaneFault(m, faultKill, r.Now()))
	return signalAndWait(r.Fleet.ControlPlaneProcess(m), syscall.SIGKILL, nil)
}

// controlPlaneFault returns a fault of a machine's control-plane node that does not last. That of an observer does not count as one of a voter.
func controlPlaneFault(m Machine, kind rules.FaultKind, at time.Duration) rules.Fault {
	return rules.Fault{ControlPlane: m.HasDisk, Kind: kind, At: at}
}

// StartControlPlane starts a machine's control-plane node again, with its disk.
func (r *Run) StartControlPlane(m Machine) error {
	r.Evidence.RecordFault(controlPlaneFault(m, rules.Start, r.Now()))
	return r.Fleet.StartControlPlane(m, false)
}

// KillProxy kills a machine's proxy and waits for its end.
func (r *Run) KillProxy(m Machine) error {
	r.Evidence.RecordFault(rules.Fault{Proxy: r.Fleet.FrontAddress(m), Kind: faultKill, At: r.Now()})
	return signalAndWait(r.Fleet.ProxyProcess(m), syscall.SIGKILL, nil)
}

// TerminateProxy has a machine's proxy shut down gracefully, and waits for its end. It fails if ctx ends before.
func (r *Run) TerminateProxy(ctx context.Context, m Machine) error {
	r.Evidence.RecordFault(rules.Fault{Proxy: r.Fleet.FrontAddress(m), Kind: rules.Terminate, At: r.Now()})
	return signalAndWait(r.Fleet.ProxyProcess(m), syscall.SIGTERM, ctx.Done())
}

// StartProxy starts a machine's proxy again.
func (r *Run) StartProxy(m Machine) error {
	r.Evidence.RecordFault(rules.Fault{Proxy: r.Fleet.FrontAddress(m), Kind: rules.Start, At: r.Now()})
	return r.Fleet.StartProxy(m, false)
}

// Pause stops a process and continues it after d, or when ctx ends. The caller records the fault.
func (r *Run) Pause(ctx context.Context, p *proc.Process, d time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP, false); err != nil {
		return err
	}
	_ = sleep(ctx, d) // The process is continued also when ctx ends.
	return p.Signal(syscall.SIGCONT, false)
}

// signalAndWait sends a process a signal that ends it, and waits for its end. It fails if giveUp is closed before; nil waits for ever.
func signalAndWait(p *proc.Process, by syscall.Signal, giveUp <-chan struct{}) error {
	if err := p.Signal(by, true); err != nil {
		return err
	}
	select {
	case <-p.Ended():
		return nil
	case <-giveUp:
		return errors.Newf("%s has not ended in time after %v: look at %s", p.Name, by, p.Log)
	}
}
