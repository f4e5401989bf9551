package testcluster

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/proc"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// KillControlPlane kills a machine's control-plane node and waits for its end.
func (r *Run) KillControlPlane(m Machine) error {
	r.Evidence.RecordFault(rules.Fault{Keeper: true, Kind: "kill", At: r.Now()})
	return signalAndWait(r.Fleet.ControlPlaneProcess(m), syscall.SIGKILL, nil)
}

// StartControlPlane starts it again, with its disk.
func (r *Run) StartControlPlane(m Machine) error {
	r.Evidence.RecordFault(rules.Fault{Keeper: true, Kind: rules.Start, At: r.Now()})
	return r.Fleet.StartControlPlane(m, false)
}

// KillProxy kills a machine's proxy and waits for its end.
func (r *Run) KillProxy(m Machine) error {
	r.Evidence.RecordFault(rules.Fault{Proxy: r.Fleet.Front(m), Kind: "kill", At: r.Now()})
	return signalAndWait(r.Fleet.ProxyProcess(m), syscall.SIGKILL, nil)
}

// Pause stops a process and lets it go on after a while, or when ctx ends.
func (r *Run) Pause(ctx context.Context, p *proc.Process, d time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP, false); err != nil {
		return err
	}
	_ = sleep(ctx, d) // it goes on whichever ends first
	return p.Signal(syscall.SIGCONT, false)
}

// TerminateProxy has a machine's proxy end as planned, and waits for that or the end of ctx.
func (r *Run) TerminateProxy(ctx context.Context, m Machine) error {
	r.Evidence.RecordFault(rules.Fault{Proxy: r.Fleet.Front(m), Kind: rules.Terminate, At: r.Now()})
	return signalAndWait(r.Fleet.ProxyProcess(m), syscall.SIGTERM, ctx.Done())
}

// StartProxy starts it again.
func (r *Run) StartProxy(m Machine) error {
	r.Evidence.RecordFault(rules.Fault{Proxy: r.Fleet.Front(m), Kind: rules.Start, At: r.Now()})
	return r.Fleet.StartProxy(m, false)
}

func signalAndWait(p *proc.Process, by syscall.Signal, until <-chan struct{}) error {
	if err := p.Signal(by, true); err != nil {
		return err
	}
	select {
	case <-p.Ended():
		return nil
	case <-until:
		return errors.Newf("%s has not ended in time after %v: look at %s", p.Name, by, p.Log)
	}
}

// AddRoute amends the configuration by a route, under a number.
func (r *Run) AddRoute(ctx context.Context, revision int64, route rules.Route) error {
	now := r.Scenario.Config
	after := *now
	after.Revision = revision
	after.Routes = append(slices.Clone(now.Routes), route)
	if err := r.Operator.Amend(ctx, &after, now.Revision, []rules.Route{route}, nil); err != nil {
		return err
	}
	r.Scenario.Config = &after
	return nil
}

// RemoveRoute amends the configuration by taking out a route.
func (r *Run) RemoveRoute(ctx context.Context, revision int64, name string) error {
	now := r.Scenario.Config
	after := *now
	after.Revision = revision
	after.Routes = slices.DeleteFunc(slices.Clone(now.Routes), func(r rules.Route) bool { return r.Name == name })
	if err := r.Operator.Amend(ctx, &after, now.Revision, nil, []string{name}); err != nil {
		return err
	}
	r.Scenario.Config = &after
	return nil
}

// AwaitServed waits until clients were served n more requests.
func (r *Run) AwaitServed(ctx context.Context, n int) error {
	return r.stats.await(ctx, n)
}
