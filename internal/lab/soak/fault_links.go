package soak

import (
	"context"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

const maxPartitionedServers = 4 // from which one proxy is partitioned

// drawPartition draws a partition.
func (d *drawer) drawPartition(fault *Fault) {
	fault.Length = d.drawDuration(500*time.Millisecond, 4*time.Second)
	fault.Direction = Direction(d.rng.IntN(int(directions)))
}

// drawPartitionFromServers draws a partition of a proxy from one server or some.
func (d *drawer) drawPartitionFromServers(fault *Fault) {
	d.drawPartition(fault)
	count := 1
	if d.rng.IntN(2) == 0 {
		count = 2 + d.rng.IntN(maxPartitionedServers-1)
	}
	for _, i := range d.rng.Perm(len(d.scenario.Servers))[:count] {
		fault.Servers = append(fault.Servers, d.scenario.Servers[i].Address)
	}
}

// drawSlowLinks draws a fault of links that are slow.
func (d *drawer) drawSlowLinks(fault *Fault) {
	fault.Length = d.drawDuration(time.Second, 6*time.Second)
	fault.Delay = d.drawDuration(20*time.Millisecond, 300*time.Millisecond)
	fault.Jitter = d.drawDuration(0, fault.Delay/2)
}

func serverClaim(address string) claim { return claim("server " + address) }

func claimLinks(_ *drawer, fault Fault) []claim { return []claim{claim("links of " + fault.Target)} }

func claimList(*drawer, Fault) []claim { return []claim{"list"} }

func claimServer(_ *drawer, fault Fault) []claim { return []claim{serverClaim(fault.Target)} }

func claimServers(_ *drawer, fault Fault) (claims []claim) {
	for _, address := range fault.Servers {
		claims = append(claims, serverClaim(address))
	}
	return claims
}

// disturbProcessLinks partitions or slows the links of a machine's proxy or control-plane node, which is recorded as a fault of that process.
func (p *player) disturbProcessLinks(ctx context.Context, fault Fault) error {
	begin := p.beginProxyFault
	if fault.Kind == PartitionControlPlane || fault.Kind == SlowControlPlane {
		begin = p.beginControlPlaneFault
	}
	return forEachMachine(p.machines(fault), func(m testcluster.Machine) error {
		defer begin(m, rules.FaultKind(fault.Kind))()
		p.injectIntoLinks(ctx, fault)
		return nil
	})
}

// disturbOtherLinks partitions or slows links to the list or to servers. It records no fault, as no rule excuses what these links lose.
func (p *player) disturbOtherLinks(ctx context.Context, fault Fault) error {
	p.injectIntoLinks(ctx, fault)
	return nil
}

// injectIntoLinks injects a fault into its links until it is over.
func (p *player) injectIntoLinks(ctx context.Context, fault Fault) {
	outgoing, incoming := fault.matchPaths()
	outgoingState, incomingState := fault.linkStates()
	defer p.Fleet.Links.Inject(outgoing, outgoingState)()
	defer p.Fleet.Links.Inject(incoming, incomingState)()
	clock.Sleep(ctx, fault.Length)
}

// pathMatcher reports whether a fault is injected into the link of a path.
type pathMatcher func(testcluster.Path) bool

func noPath(testcluster.Path) bool { return false }

func pathTo(end string) pathMatcher {
	return func(p testcluster.Path) bool { return p.To == end }
}

// matchPaths returns what matches the paths on which the target calls, and those on which it is called.
func (f Fault) matchPaths() (outgoing, incoming pathMatcher) {
	machine := testcluster.Machine{IP: f.Target}
	proxy, controlPlane := testcluster.ProxyName(machine), testcluster.ControlPlaneName(machine)
	switch f.Kind {
	case PartitionProxy, SlowProxy:
		return func(p testcluster.Path) bool { return p.From == proxy && !p.ToServer() }, pathTo(proxy)
	case PartitionControlPlane, SlowControlPlane:
		return func(p testcluster.Path) bool { return p.From == controlPlane && p.To != testcluster.ListEnd }, pathTo(controlPlane)
	case PartitionFromList:
		return func(p testcluster.Path) bool { return p.From == controlPlane && p.To == testcluster.ListEnd }, noPath
	case PartitionAllFromList, SlowLists:
		return pathTo(testcluster.ListEnd), noPath
	case PartitionFromServers:
		return func(p testcluster.Path) bool { return p.From == proxy && slices.Contains(f.Servers, p.To) }, noPath
	case PartitionServer, SlowServer:
		return noPath, pathTo(f.Target)
	}
	return noPath, noPath
}

// isPartition reports whether the fault holds back what links carry.
func (f Fault) isPartition() bool {
	switch f.Kind {
	case PartitionProxy, PartitionControlPlane, PartitionFromList, PartitionAllFromList, PartitionServer, PartitionFromServers:
		return true
	}
	return false
}

// linkStates returns the state of the links on which the target calls, and of those on which it is called. The target is the near end of the
// former and the far end of the latter.
func (f Fault) linkStates() (outgoing, incoming link.State) {
	outgoing = link.State{Delay: f.Delay, Jitter: f.Jitter}
	incoming = outgoing
	if f.isPartition() {
		holdsSent, holdsReceived := f.Direction != Inbound, f.Direction != Outbound
		outgoing.Hold[link.ToFar], outgoing.Hold[link.ToNear] = holdsSent, holdsReceived
		incoming.Hold[link.ToNear], incoming.Hold[link.ToFar] = holdsSent, holdsReceived
	}
	return outgoing, incoming
}
