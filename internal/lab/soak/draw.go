package soak

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// kindWeights is how often each kind is drawn.
var kindWeights = []struct {
	kind   Kind
	weight int
}{
	{KillProxy, 8}, {KillControlPlane, 8}, {KillZone, 3}, {KillAllControlPlanes, 3}, {PauseProxy, 10}, {PauseControlPlane, 10},
	{PartitionProxy, 6}, {PartitionControlPlane, 6}, {PartitionFromList, 4}, {PartitionAllFromList, 3}, {PartitionServer, 4}, {PartitionFromServers, 8}, {TerminateProxy, 8},
	{SlowProxy, 4}, {SlowControlPlane, 4}, {SlowLists, 6}, {SlowServer, 3},
	{LoseAnswers, 4}, {LoseAcknowledgements, 4}, {RestartZone, 14}, {EvacuateZone, 6}, {RestartZoneDuringEvacuation, 8}, {EndEvacuationAlone, 8}, {DrainServer, 3},
}

// draw gives a fault that starts at 0.
func (d *drawer) draw() Fault {
	all := 0
	for _, o := range kindWeights {
		all += o.weight
	}
	n := d.rng.IntN(all)
	for _, o := range kindWeights {
		if n -= o.weight; n < 0 {
			return d.drawKind(o.kind)
		}
	}
	return d.drawZoneRestart()
}

func (d *drawer) drawKind(kind Kind) Fault {
	t := Fault{Kind: kind}
	switch kind {
	case KillProxy, KillControlPlane, KillZone, KillAllControlPlanes:
		t.Length = d.drawDuration(500*time.Millisecond, 4*time.Second)
	case PauseProxy, PauseControlPlane:
		t.Length = d.drawDuration(300*time.Millisecond, 6*time.Second)
	case PartitionFromServers:
		t.Length = d.drawDuration(500*time.Millisecond, 4*time.Second)
		t.Direction = Direction(d.rng.IntN(3))
		t.Servers = d.drawServers()
	case TerminateProxy:
		t.Down = d.drawDuration(0, 2*time.Second)
		t.Length = d.scene.Bounds.Grace + endSlack + t.Down
	case PartitionProxy, PartitionControlPlane, PartitionFromList, PartitionAllFromList, PartitionServer:
		t.Length = d.drawDuration(500*time.Millisecond, 4*time.Second)
		t.Direction = Direction(d.rng.IntN(3))
	case SlowProxy, SlowControlPlane, SlowLists, SlowServer:
		t.Length = d.drawDuration(time.Second, 6*time.Second)
		t.Delay = d.drawDuration(20*time.Millisecond, 300*time.Millisecond)
		t.Jitter = d.drawDuration(0, t.Delay/2)
	case LoseAnswers, LoseAcknowledgements:
		t.Length = d.drawDuration(time.Second, 4*time.Second)
		t.LossRate = 0.1 + 0.5*d.rng.Float64()
	case RestartZone:
		t.Down = d.drawDuration(time.Second, 4*time.Second)
		t.Length = t.Down + coldFor(d.scene) + coldMargin
	case EvacuateZone:
		t.WarmUpLead = d.drawDuration(minWarmUpLead, maxWarmUpLead)
		t.Length = d.scene.Bounds.Evacuate + d.drawDuration(time.Second, 3*time.Second) + maxWarmUpLead
	case RestartZoneDuringEvacuation:
		return d.drawZoneRestart()
	case EndEvacuationAlone:
		t = d.drawZonePair(kind)
		t.Down = t.WarmUpLead + d.drawDuration(0, time.Second) + aloneFor
		t.Length = d.scene.Bounds.Evacuate + t.Down + coldFor(d.scene) + coldMargin
		return t
	case DrainServer:
		t.Length = d.scene.Bounds.Drain + time.Second + d.drawDuration(500*time.Millisecond, time.Second) + coldFor(d.scene) + coldMargin
	}
	t.Target = d.drawTarget(kind)
	return t
}

// drawZoneRestart is the incident: one zone of a region is evacuated, and the servers of the other come back and warm up.
func (d *drawer) drawZoneRestart() Fault {
	t := d.drawZonePair(RestartZoneDuringEvacuation)
	t.Down = d.drawDuration(time.Second, 4*time.Second)
	t.Length = evacuateFor + t.Down + coldFor(d.scene) + coldMargin + maxWarmUpLead
	return t
}

// drawZonePair gives a fault of one zone while the other one of the region is evacuated.
func (d *drawer) drawZonePair(kind Kind) Fault {
	t := Fault{Kind: kind, Target: homeZones[0], Other: homeZones[1], WarmUpLead: d.drawDuration(minWarmUpLead, maxWarmUpLead)}
	if d.rng.IntN(2) == 0 {
		t.Target, t.Other = t.Other, t.Target
	}
	return t
}

// drawTarget draws what a fault of a kind is done to.
func (d *drawer) drawTarget(kind Kind) string {
	machines := d.scene.Machines
	switch kind {
	case KillProxy, PauseProxy, TerminateProxy, PartitionProxy, SlowProxy, PartitionFromServers:
		return machines[d.rng.IntN(len(machines))].IP
	case KillControlPlane, PauseControlPlane, PartitionControlPlane, SlowControlPlane, PartitionFromList:
		disks := withDisk(machines)
		return disks[d.rng.IntN(len(disks))].IP
	case KillZone:
		return machines[d.rng.IntN(len(machines))].Zone
	case PartitionServer, SlowServer, DrainServer:
		return d.scene.Servers[d.rng.IntN(len(d.scene.Servers))].Address
	case LoseAnswers:
		return d.scene.Servers[d.rng.IntN(len(d.scene.Servers))].Zone
	case RestartZone, EvacuateZone:
		return homeZones[d.rng.IntN(len(homeZones))]
	}
	return ""
}

// drawServers draws one server, or some.
func (d *drawer) drawServers() (addresses []string) {
	n := 1
	if d.rng.IntN(2) == 0 {
		n = 2 + d.rng.IntN(maxPartitionedServers-1)
	}
	for _, i := range d.rng.Perm(len(d.scene.Servers))[:n] {
		addresses = append(addresses, d.scene.Servers[i].Address)
	}
	return addresses
}

func withDisk(machines []testcluster.Machine) (some []testcluster.Machine) {
	for _, m := range machines {
		if m.Disk {
			some = append(some, m)
		}
	}
	return some
}
