package plan

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// stepDrawer draws the steps of faults, in the order of the file, and rejects faults that exclude each other.
type stepDrawer struct {
	*Plan
	fault        int                        // index in the file
	rng          *rand.Rand                 // of the fault
	lifetimes    []lifetime                 // of servers
	claims       map[string][]claimedPeriod // by what a fault acts on
	lyingMembers int                        // of earlier faults
}

// lifetime is the period in which a server may be the target of faults.
type lifetime struct {
	index    int // in Servers
	from, to time.Duration
}

// claimedPeriod is a period in which a fault acts on something.
type claimedPeriod struct {
	from, to time.Duration
	fault    int
}

// endOfTime is later than any time of a run.
const endOfTime = time.Duration(math.MaxInt64)

// drawSteps draws the steps of all faults, in order of time.
func (p *Plan) drawSteps() error {
	drawer := &stepDrawer{Plan: p, claims: map[string][]claimedPeriod{}}
	for i := range p.InitialServers {
		drawer.lifetimes = append(drawer.lifetimes, lifetime{i, 0, endOfTime})
	}
	for i := range p.File.Faults {
		drawer.fault, drawer.rng = i, stream(p.Seed, fmt.Sprintf("fault %d", i))
		fault := &p.File.Faults[i]
		if err := drawer.drawFault(fault); err != nil {
			return p.File.errorAt("fault", i, "do", "%v", err)
		}
		p.Bands = append(p.Bands, Band{i, string(fault.Do) + drawer.describe(fault), Seconds(fault.At), Seconds(fault.At + fault.For)})
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return nil
}

// describe is the targets of a fault as reports show them.
func (d *stepDrawer) describe(fault *Fault) string {
	text := " " + string(fault.On)
	if len(fault.Names) > 0 {
		text = " " + strings.Join(fault.Names, ",")
	}
	if fault.Zone != "" {
		text += " of " + fault.Zone
	}
	if fault.From != "" {
		text += " from " + fault.From
	}
	if fault.Part > 0 {
		text += fmt.Sprintf(" %.0f%%", fault.Part*100)
	}
	return text
}

// claim rejects a second fault that acts on the same process, or the same property of a server, at the same time.
func (d *stepDrawer) claim(what string, from, to time.Duration) error {
	for _, earlier := range d.claims[what] {
		if from < earlier.to && earlier.from < to {
			return fmt.Errorf("acts on %s while fault %d of the file does", what, earlier.fault+1)
		}
	}
	d.claims[what] = append(d.claims[what], claimedPeriod{from, to, d.fault})
	return nil
}

// addStep adds a step of the current fault.
func (d *stepDrawer) addStep(step Step) {
	step.Fault = d.fault
	d.Steps = append(d.Steps, step)
}

// choose returns the targets of a fault among all: those of its names, or as many as its count or part says, drawn. It fails where there
// are too few.
func choose[T any](rng *rand.Rand, fault *Fault, all []T, name func(T) string) ([]T, error) {
	if len(fault.Names) > 0 {
		var chosen []T
		for _, want := range fault.Names {
			i := slices.IndexFunc(all, func(v T) bool { return name(v) == want })
			if i < 0 {
				return nil, fmt.Errorf("there is no %q to act on then", want)
			}
			chosen = append(chosen, all[i])
		}
		return chosen, nil
	}
	count := len(all)
	switch {
	case fault.Count > len(all):
		return nil, fmt.Errorf("there are only %d to act on then, not %d", len(all), fault.Count)
	case fault.Count > 0:
		count = fault.Count
	case fault.Part > 0:
		count = max(1, int(math.Round(fault.Part*float64(len(all)))))
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("there is nothing to act on then")
	}
	chosen := slices.Clone(all)
	rng.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:count], nil
}

// chooseProcesses draws the processes that a fault acts on, by process index.
func (d *stepDrawer) chooseProcesses(fault *Fault) ([]int, error) {
	if fault.On == TargetList {
		return []int{ListIndex}, nil
	}
	if fault.On == TargetRegistry {
		return d.chooseNodes(fault)
	}
	var all []int
	for i, sidecar := range d.Sidecars {
		if sidecar.runsThroughout(Seconds(fault.At), Seconds(fault.At+fault.For)) && fault.inZone(sidecar.Zone) {
			all = append(all, i)
		}
	}
	return choose(d.rng, fault, all, func(i int) string { return d.Sidecars[i].Name })
}

// leaderName is the name by which files choose the registry node that leads.
const leaderName = "leader"

// chooseNodes draws the registry nodes that a fault acts on, by process index. The name leaderName stands for the node that leads
// when the step is taken.
func (d *stepDrawer) chooseNodes(fault *Fault) ([]int, error) {
	if slices.Equal(fault.Names, []string{leaderName}) {
		return []int{LeaderIndex}, nil
	}
	var all []int
	for node := range d.File.Registry.Count {
		all = append(all, NodeIndex(node))
	}
	return choose(d.rng, fault, all, func(process int) string {
		node, _ := NodeOf(process) // all are nodes
		return NodeName(node)
	})
}

// chooseServers draws among the servers that run throughout a period, as indexes into lifetimes. A server is named "1", "2", ... in the
// order of starts.
func (d *stepDrawer) chooseServers(fault *Fault, from, to time.Duration) ([]int, error) {
	var all []int
	for i, server := range d.lifetimes {
		runsThroughout := server.from <= from && server.to >= to
		if runsThroughout && fault.inZone(d.Servers[server.index].Zone) {
			all = append(all, i)
		}
	}
	return choose(d.rng, fault, all, func(i int) string { return fmt.Sprint(d.lifetimes[i].index + 1) })
}

// drawFault draws the steps of one fault.
func (d *stepDrawer) drawFault(fault *Fault) error {
	at, end := Seconds(fault.At), Seconds(fault.At+fault.For)
	switch fault.Do {
	case FaultBurst, FaultFlood:
		return nil // they are arrivals, which drawArrivals draws
	case FaultBackup, FaultRestore:
		d.addStep(Step{At: at, Do: StepKind(fault.Do), Sidecar: LeaderIndex})
		return nil
	case FaultTornLog, FaultTornSnapshot:
		return d.drawTear(fault, at)
	case FaultKill, FaultTerminate, FaultPause, FaultDiskFull, FaultDiskReadOnly:
		return d.drawProcessFault(fault, at, end)
	case FaultListLate, FaultListStale, FaultListTruncated, FaultListGarbled:
		return d.drawListFault(fault, at, end)
	case FaultFalseReports:
		d.drawFalseReports(fault, at, end)
		return nil
	case FaultJoin, FaultLeave:
		return d.drawJoinOrLeave(fault)
	case FaultRollingRestart:
		return d.drawRollingRestart(fault, at)
	case FaultDelay, FaultOneWayPartition, FaultPartition, FaultTrickle, FaultPacketLoss, FaultReset, FaultHalfOpen:
		return d.drawLinkFault(fault, at, end)
	case FaultDeployment:
		return d.drawDeployment(fault, at)
	}
	servers, err := d.chooseServers(fault, at, max(end, at+1))
	if err != nil {
		return err
	}
	for _, index := range servers {
		if err := d.drawServerFault(fault, index, at, end); err != nil {
			return err
		}
	}
	return nil
}

// drawTear draws which files of registry nodes lose their end.
func (d *stepDrawer) drawTear(fault *Fault, at time.Duration) error {
	chosen, err := d.chooseNodes(fault)
	for _, process := range chosen {
		d.addStep(Step{At: at, Do: Tear, Sidecar: process, Mode: stepModes[fault.Do]})
	}
	return err
}

// drawListFault adds the steps of a fault of the list's answers.
func (d *stepDrawer) drawListFault(fault *Fault, at, end time.Duration) error {
	if err := d.claim("the list's answers", at, end); err != nil {
		return err
	}
	d.addStep(Step{At: at, Do: ListMode, Sidecar: ListIndex, Mode: stepModes[fault.Do], By: Seconds(fault.Size)})
	d.addStep(Step{At: end, Do: ListMode, Sidecar: ListIndex})
	return nil
}

// drawFalseReports adds the steps of members that report work which nobody did: a multiple of what arrives meanwhile.
func (d *stepDrawer) drawFalseReports(fault *Fault, at, end time.Duration) {
	work := 0.0
	for i := range d.Arrivals {
		if arrival := &d.Arrivals[i]; arrival.At >= at && arrival.At < end {
			work += arrival.Work.Seconds()
		}
	}
	step := Step{At: at, Do: FalseReports, Sidecar: ListIndex, Mode: strings.Join(fault.Names, ","), On: true,
		By: Seconds(work / fault.For * fault.Size * float64(len(fault.Names)))}
	for range fault.Count {
		step.Nears = append(step.Nears, d.lyingMembers)
		d.lyingMembers++
	}
	d.addStep(step)
	step.At, step.On = end, false
	d.addStep(step)
}
