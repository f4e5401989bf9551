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

// stepDrawer turns faults into steps, in the order of the file.
type stepDrawer struct {
	*Plan
	fault        int
	rng          *rand.Rand
	lifetimes    []lifetime // of servers, as far as faults decide it
	claims       map[string][]claimedPeriod
	lyingMembers int // of the lies before
}

// lifetime is when a server stands on a list.
type lifetime struct {
	index    int // in Servers
	from, to time.Duration
}

type claimedPeriod struct {
	from, to time.Duration
	fault    int
}

const endOfTime = time.Duration(math.MaxInt64)

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
		p.Bands = append(p.Bands, Band{i, fault.Do + drawer.describe(fault), Seconds(fault.At), Seconds(fault.At + fault.For)})
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return nil
}

func (d *stepDrawer) describe(fault *Fault) string {
	text := " " + fault.On
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

// claim keeps two faults from acting on one process, or one property of one server, at a time.
func (d *stepDrawer) claim(what string, from, to time.Duration) error {
	for _, s := range d.claims[what] {
		if from < s.to && s.from < to {
			return fmt.Errorf("acts on %s while fault %d of the file does", what, s.fault+1)
		}
	}
	d.claims[what] = append(d.claims[what], claimedPeriod{from, to, d.fault})
	return nil
}

func (d *stepDrawer) addStep(s Step) {
	s.Fault = d.fault
	d.Steps = append(d.Steps, s)
}

// choose draws n of what there is, by part, count or names.
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

// chooseProcesses are those that a fault on processes means.
func (d *stepDrawer) chooseProcesses(fault *Fault) ([]int, error) {
	if fault.On == "list" {
		return []int{ListIndex}, nil
	}
	if fault.On == "keepers" {
		return d.chooseNodes(fault)
	}
	var all []int
	for i, s := range d.Sidecars {
		if s.runsThroughout(Seconds(fault.At), Seconds(fault.At+fault.For)) && fault.inZone(s.Zone) {
			all = append(all, i)
		}
	}
	return choose(d.rng, fault, all, func(i int) string { return d.Sidecars[i].Name })
}

// chooseNodes are those that a fault means, as process indexes: "leader" is drawn by the chooseNodes themselves.
func (d *stepDrawer) chooseNodes(fault *Fault) ([]int, error) {
	if slices.Equal(fault.Names, []string{"leader"}) {
		return []int{LeaderIndex}, nil
	}
	var all []int
	for k := range d.File.Registry.Count {
		all = append(all, NodeIndex(k))
	}
	return choose(d.rng, fault, all, func(i int) string {
		k, _ := NodeOf(i)
		return NodeName(k)
	})
}

// chooseServers are those that stand throughout a time, as indexes into living. A server is named "1", "2", ... in the order of
// the start.
func (d *stepDrawer) chooseServers(fault *Fault, from, to time.Duration) ([]int, error) {
	var all []int
	for i, l := range d.lifetimes {
		if l.from <= from && l.to >= to && fault.inZone(d.Servers[l.index].Zone) {
			all = append(all, i)
		}
	}
	return choose(d.rng, fault, all, func(i int) string { return fmt.Sprint(d.lifetimes[i].index + 1) })
}

// drawFault draws the steps of one fault.
func (d *stepDrawer) drawFault(fault *Fault) error {
	at, end := Seconds(fault.At), Seconds(fault.At+fault.For)
	switch fault.Do {
	case "burst", "flood":
		return nil // arrivals
	case "backup", "restore":
		d.addStep(Step{At: at, Do: fault.Do, Sidecar: LeaderIndex})
		return nil
	case "disk-torn", "disk-short":
		return d.drawTear(fault, at)
	case "kill", "term", "stop", "disk-full", "disk-readonly":
		return d.drawProcessFault(fault, at, end)
	case "list-late", "list-old", "list-cut", "list-garbled":
		return d.drawListFault(fault, at, end)
	case "lie":
		d.drawFalseReports(fault, at, end)
		return nil
	case "join", "leave":
		return d.drawJoinOrLeave(fault)
	case "roll":
		return d.drawRollingRestart(fault, at)
	case "delay", "silence", "partition", "trickle", "loss", "reset", "half-open":
		return d.drawLinkFault(fault, at, end)
	case "deploy":
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
		d.addStep(Step{At: at, Do: Tear, Sidecar: process, Mode: strings.TrimPrefix(fault.Do, "disk-")})
	}
	return err
}

// drawListFault adds the steps of a fault of the list's answers.
func (d *stepDrawer) drawListFault(fault *Fault, at, end time.Duration) error {
	if err := d.claim("the list's answers", at, end); err != nil {
		return err
	}
	d.addStep(Step{At: at, Do: ListMode, Sidecar: ListIndex, Mode: strings.TrimPrefix(fault.Do, "list-"), By: Seconds(fault.Size)})
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
