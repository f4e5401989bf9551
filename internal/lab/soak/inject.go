package soak

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// inject injects a fault, and returns when it is over.
func (p *player) inject(ctx context.Context, fault Fault) error {
	spec, ok := specOf(fault.Kind)
	if !ok {
		return errors.Newf("unknown kind of fault %q", fault.Kind)
	}
	return spec.inject(p, ctx, fault)
}

// machines returns the machines that a fault is done to: one by its IP, those of a zone, or all.
func (p *player) machines(fault Fault) (machines []testcluster.Machine) {
	for _, m := range p.Fleet.Machines {
		if fault.Target == "" || m.IP == fault.Target || m.Zone == fault.Target {
			machines = append(machines, m)
		}
	}
	return machines
}

// beginProxyFault records a fault of a machine's proxy that lasts until end is called.
func (p *player) beginProxyFault(m testcluster.Machine, kind rules.FaultKind) (end func()) {
	return p.beginFault(rules.Fault{Kind: kind, Proxy: p.Fleet.FrontAddress(m)})
}

// beginControlPlaneFault records a fault of a machine's control-plane node that lasts until end is called.
func (p *player) beginControlPlaneFault(m testcluster.Machine, kind rules.FaultKind) (end func()) {
	return p.beginFault(rules.Fault{Kind: kind, ControlPlane: m.HasDisk, Machine: m.IP})
}

func (p *player) beginFault(fault rules.Fault) (end func()) {
	fault.At = p.Now()
	over := p.Evidence.BeginFault(fault)
	return func() { over(p.Now()) }
}

// forEachMachine runs a function for all machines at the same time, and returns all errors.
func forEachMachine(machines []testcluster.Machine, do func(testcluster.Machine) error) error {
	failed := make([]error, len(machines))
	var all sync.WaitGroup
	for i, m := range machines {
		all.Go(func() { failed[i] = do(m) })
	}
	all.Wait()
	return errors.Join(failed...)
}
