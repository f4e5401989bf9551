package soak

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// odds is how often each kind is drawn.
var odds = []struct {
	kind   Kind
	weight int
}{
	{KillProxy, 8}, {KillKeeper, 8}, {KillZone, 3}, {KillKeepers, 3}, {PauseProxy, 10}, {PauseKeeper, 10},
	{CutProxy, 6}, {CutKeeper, 6}, {CutList, 4}, {CutLists, 3}, {CutServer, 4}, {CutFromServers, 8}, {EndProxy, 8},
	{SlowProxy, 4}, {SlowKeeper, 4}, {SlowLists, 6}, {SlowServer, 3},
	{LoseAnswers, 4}, {LoseAcks, 4}, {ColdReturn, 14}, {Evacuate, 6}, {ReturnEvacuated, 8}, {TakeBackAlone, 8}, {Drain, 3},
}

// draw gives a trouble that starts at 0.
func (d *drawer) draw() Trouble {
	all := 0
	for _, o := range odds {
		all += o.weight
	}
	n := d.rng.IntN(all)
	for _, o := range odds {
		if n -= o.weight; n < 0 {
			return d.of(o.kind)
		}
	}
	return d.returning()
}

func (d *drawer) of(kind Kind) Trouble {
	t := Trouble{Kind: kind}
	switch kind {
	case KillProxy, KillKeeper, KillZone, KillKeepers:
		t.Length = d.between(500*time.Millisecond, 4*time.Second)
	case PauseProxy, PauseKeeper:
		t.Length = d.between(300*time.Millisecond, 6*time.Second)
	case CutFromServers:
		t.Length = d.between(500*time.Millisecond, 4*time.Second)
		t.Way = Way(d.rng.IntN(3))
		t.Servers = d.someServers()
	case EndProxy:
		t.Down = d.between(0, 2*time.Second)
		t.Length = d.scene.Bounds.Grace + endSlack + t.Down
	case CutProxy, CutKeeper, CutList, CutLists, CutServer:
		t.Length = d.between(500*time.Millisecond, 4*time.Second)
		t.Way = Way(d.rng.IntN(3))
	case SlowProxy, SlowKeeper, SlowLists, SlowServer:
		t.Length = d.between(time.Second, 6*time.Second)
		t.Delay = d.between(20*time.Millisecond, 300*time.Millisecond)
		t.Jitter = d.between(0, t.Delay/2)
	case LoseAnswers, LoseAcks:
		t.Length = d.between(time.Second, 4*time.Second)
		t.Share = 0.1 + 0.5*d.rng.Float64()
	case ColdReturn:
		t.Down = d.between(time.Second, 4*time.Second)
		t.Length = t.Down + coldFor(d.scene) + coldMargin
	case Evacuate:
		t.Chill = d.between(chillLeast, chillBefore)
		t.Length = d.scene.Bounds.Evacuate + d.between(time.Second, 3*time.Second) + chillBefore
	case ReturnEvacuated:
		return d.returning()
	case TakeBackAlone:
		t = d.pair(kind)
		t.Down = t.Chill + d.between(0, time.Second) + aloneFor
		t.Length = d.scene.Bounds.Evacuate + t.Down + coldFor(d.scene) + coldMargin
		return t
	case Drain:
		t.Length = d.scene.Bounds.Drain + time.Second + d.between(500*time.Millisecond, time.Second) + coldFor(d.scene) + coldMargin
	}
	t.Target = d.target(kind)
	return t
}

// returning is the incident: one zone of a region is evacuated, and the servers of the other return cold.
func (d *drawer) returning() Trouble {
	t := d.pair(ReturnEvacuated)
	t.Down = d.between(time.Second, 4*time.Second)
	t.Length = evacuateFor + t.Down + coldFor(d.scene) + coldMargin + chillBefore
	return t
}

// pair gives a trouble of one zone while the other one of the region is evacuated.
func (d *drawer) pair(kind Kind) Trouble {
	t := Trouble{Kind: kind, Target: homeZones[0], Other: homeZones[1], Chill: d.between(chillLeast, chillBefore)}
	if d.rng.IntN(2) == 0 {
		t.Target, t.Other = t.Other, t.Target
	}
	return t
}

// target draws what a trouble of a kind is done to.
func (d *drawer) target(kind Kind) string {
	machines := d.scene.Machines
	switch kind {
	case KillProxy, PauseProxy, EndProxy, CutProxy, SlowProxy, CutFromServers:
		return machines[d.rng.IntN(len(machines))].IP
	case KillKeeper, PauseKeeper, CutKeeper, SlowKeeper, CutList:
		disks := withDisk(machines)
		return disks[d.rng.IntN(len(disks))].IP
	case KillZone:
		return machines[d.rng.IntN(len(machines))].Zone
	case CutServer, SlowServer, Drain:
		return d.scene.Servers[d.rng.IntN(len(d.scene.Servers))].Address
	case LoseAnswers:
		return d.scene.Servers[d.rng.IntN(len(d.scene.Servers))].Zone
	case ColdReturn, Evacuate:
		return homeZones[d.rng.IntN(len(homeZones))]
	}
	return ""
}

// someServers draws one server, or some.
func (d *drawer) someServers() (addresses []string) {
	n := 1
	if d.rng.IntN(2) == 0 {
		n = 2 + d.rng.IntN(mostCutFrom-1)
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
