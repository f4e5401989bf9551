package plan

import (
	"fmt"
	"time"
)

// drawLinkFault draws the links that a fault acts on, and adds its steps.
func (d *stepDrawer) drawLinkFault(fault *Fault, at, end time.Duration) error {
	if fault.On == TargetRegistry {
		return d.drawRegistryLinkFault(fault, at, end)
	}
	if fault.On == TargetPeers {
		return d.drawPeerLinkFault(fault, at, end)
	}
	group := noGroup
	var nears []int
	if fault.From != "" {
		for i, sidecar := range d.Sidecars {
			if sidecar.Zone == fault.From || sidecar.Name == fault.From {
				nears, group = append(nears, i), sidecar.Group
			}
		}
		if len(nears) == 0 {
			return fmt.Errorf("no sidecar is in %s", fault.From)
		}
	}
	uids := []string{""} // "" is the list
	if fault.On == TargetServers {
		// A link exists whether its sidecar runs or not, so sidecars are chosen by zone or name alone.
		servers, err := d.chooseServers(fault, at, at)
		if err != nil {
			return err
		}
		uids = nil
		for _, i := range servers {
			uids = append(uids, d.Servers[d.lifetimes[i].index].UID)
		}
	}
	for _, uid := range uids {
		d.addLinkSteps(fault, at, end, Step{Sidecar: ListIndex, Server: uid, Nears: nears, Group: group})
	}
	return nil
}

// addLinkSteps adds the steps of a fault on the links that a step names: one where the fault happens at once, else its beginning and its
// end.
func (d *stepDrawer) addLinkSteps(fault *Fault, at, end time.Duration, step Step) {
	step.At, step.Do, step.Effect, step.On = at, Link, fault.effect(), true
	switch fault.Do {
	case FaultReset:
		step.Do = Reset
	case FaultHalfOpen:
		step.Do = Forget
	}
	d.addStep(step)
	if step.Do == Link {
		step.At, step.On = end, false
		d.addStep(step)
	}
}

// effect is the effect of a fault on a link.
func (f *Fault) effect() (effect LinkEffect) {
	switch f.Do {
	case FaultDelay:
		effect.Delay, effect.Jitter = Seconds(f.Size/1000), Seconds(f.Jitter/1000)
	case FaultOneWayPartition:
		effect.HoldFar, effect.HoldNear = f.Way == DirectionToFar, f.Way == DirectionToNear
	case FaultPartition:
		effect.HoldFar, effect.HoldNear = true, true
	case FaultTrickle:
		effect.Rate = int(f.Size)
	case FaultPacketLoss:
		effect.Loss = f.Size
	}
	return effect
}

// drawRegistryLinkFault draws a fault of the links of registry nodes, to their peers and clients. The far end is the node: "to-far" is what
// it receives, whoever connected.
func (d *stepDrawer) drawRegistryLinkFault(fault *Fault, at, end time.Duration) error {
	chosen, err := d.chooseNodes(fault)
	if err != nil {
		return err
	}
	for _, i := range chosen {
		d.addLinkSteps(fault, at, end, Step{Sidecar: i, From: fault.From})
	}
	return nil
}

// drawPeerLinkFault draws a fault of the links between sidecars: of those chosen, to all others or to those of a zone. The far end is the
// chosen one: "to-far" is what it receives, whoever connected.
func (d *stepDrawer) drawPeerLinkFault(fault *Fault, at, end time.Duration) error {
	var chosen []int
	for i, s := range d.Sidecars { // also those that join later: a link exists whether its sidecar runs or not
		if fault.inZone(s.Zone) {
			chosen = append(chosen, i)
		}
	}
	chosen, err := choose(d.rng, fault, chosen, func(i int) string { return d.Sidecars[i].Name })
	if err != nil {
		return err
	}
	d.addLinkSteps(fault, at, end, Step{Sidecar: ListIndex, Peers: true, Nears: chosen, From: fault.From})
	return nil
}
