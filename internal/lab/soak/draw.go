package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// drawer draws the faults of a plan. The order and the number of its random draws decide what a seed means.
type drawer struct {
	rng      *rand.Rand
	scenario *testcluster.Scenario
	until    time.Duration // end of the last fault
}

// drawDuration draws from low to high, both included.
func (d *drawer) drawDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(d.rng.Int64N(int64(high-low)+1))
}

// drawFitting draws faults that start at a time until one fits; ok is false if none of maxDraws does.
func (d *drawer) drawFitting(faults []Fault, at time.Duration) (fault Fault, ok bool) {
	for range maxDraws {
		fault := d.draw()
		fault.Start = at
		if d.fits(faults, fault) {
			return fault, true
		}
	}
	return Fault{}, false
}

// draw draws a fault of any kind that starts at 0.
func (d *drawer) draw() Fault {
	spec := d.drawKind()
	fault := Fault{Kind: spec.kind}
	spec.draw(d, &fault)
	if spec.target != nil {
		fault.Target = spec.target(d)
	}
	return fault
}

// drawKind draws a kind by the weights.
func (d *drawer) drawKind() kindSpec {
	sum := 0
	for _, spec := range kindSpecs {
		sum += spec.weight
	}
	i := 0
	for n := d.rng.IntN(sum); n >= kindSpecs[i].weight; i++ {
		n -= kindSpecs[i].weight
	}
	return kindSpecs[i]
}

// fits reports whether a fault ends in time, is never one of more than MaxConcurrentFaults, and has no claim in common with a fault that it
// overlaps.
func (d *drawer) fits(faults []Fault, fault Fault) bool {
	if fault.end() > d.until || overlapping(faults, fault.Start) >= MaxConcurrentFaults {
		return false
	}
	for _, other := range faults {
		if other.end()+minSeparation <= fault.Start || fault.end()+minSeparation <= other.Start {
			continue
		}
		if fault.Start <= other.Start && other.Start < fault.end() && overlapping(faults, other.Start) >= MaxConcurrentFaults {
			return false
		}
		if d.haveClaimInCommon(fault, other) {
			return false
		}
	}
	return true
}

// haveClaimInCommon reports whether two faults must not overlap.
func (d *drawer) haveClaimInCommon(a, b Fault) bool {
	claims := d.claims(a)
	return slices.ContainsFunc(d.claims(b), func(c claim) bool { return slices.Contains(claims, c) })
}

// claims returns what a fault needs for itself.
func (d *drawer) claims(fault Fault) []claim {
	spec, ok := specOf(fault.Kind)
	if !ok {
		return nil
	}
	return spec.claims(d, fault)
}

// drawMachine draws the IP of a machine.
func (d *drawer) drawMachine() string { return d.anyMachine().IP }

// drawMachineZone draws the zone of a machine.
func (d *drawer) drawMachineZone() string { return d.anyMachine().Zone }

func (d *drawer) anyMachine() testcluster.Machine {
	machines := d.scenario.Machines
	return machines[d.rng.IntN(len(machines))]
}

// drawVoter draws the IP of a machine whose control-plane node is a voter.
func (d *drawer) drawVoter() string {
	voters := testcluster.Voters(d.scenario.Machines)
	return voters[d.rng.IntN(len(voters))].IP
}

// drawServer draws the address of a server.
func (d *drawer) drawServer() string { return d.anyServer().Address }

// drawServerZone draws the zone of a server.
func (d *drawer) drawServerZone() string { return d.anyServer().Zone }

func (d *drawer) anyServer() testcluster.ServerSpec {
	servers := d.scenario.Servers
	return servers[d.rng.IntN(len(servers))]
}

// drawHomeZone draws a zone of the home region.
func (d *drawer) drawHomeZone() string { return homeZones[d.rng.IntN(len(homeZones))] }
