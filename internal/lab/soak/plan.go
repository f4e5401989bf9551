// Package soak plays the system's real processes under random faults that overlap, and judges what was seen from outside
// and what the processes' own invariants counted. A seed draws the whole schedule.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// Kind is what a fault does.
type Kind string

// The kinds of faults.
const (
	KillProxy                   Kind = "kill proxy"
	KillControlPlane            Kind = "kill keeper"
	KillZone                    Kind = "kill all proxies of zone"
	KillAllControlPlanes        Kind = "kill all keepers"
	PauseProxy                  Kind = "pause proxy"
	PauseControlPlane           Kind = "pause keeper"
	PartitionProxy              Kind = "cut proxy from keepers"
	PartitionControlPlane       Kind = "cut keeper from all"
	PartitionFromList           Kind = "cut keeper from the list"
	PartitionAllFromList        Kind = "cut all keepers from the list"
	PartitionServer             Kind = "cut server from proxies"
	PartitionFromServers        Kind = "cut proxy from servers"
	TerminateProxy              Kind = "end proxy by SIGTERM"
	SlowProxy                   Kind = "slow links of proxy"
	SlowControlPlane            Kind = "slow links of keeper"
	SlowLists                   Kind = "slow links to the list"
	SlowServer                  Kind = "slow links to server"
	LoseAnswers                 Kind = "lose answers of the servers of zone"
	LoseAcknowledgements        Kind = "lose answers to the operator"
	RestartZone                 Kind = "cold return of zone"
	EvacuateZone                Kind = "evacuate zone, cold at its end"
	RestartZoneDuringEvacuation Kind = "cold return while the other zone is evacuated:"
	EndEvacuationAlone          Kind = "taking a zone back alone, the other one down:"
	DrainServer                 Kind = "drain server"
)

// Direction is which bytes a cut holds back.
type Direction int

// The ways of a cut.
const (
	BothDirections Direction = iota
	Outbound                 // what the target sends
	Inbound                  // what is sent to it
)

// Fault is one that a plan holds. It ends by itself.
type Fault struct {
	Kind   Kind
	Target string // IP of a machine, name of a zone, or address of a server; empty: all
	Other  string // zone that is evacuated meanwhile
	// Servers are the addresses of those from which a proxy is cut.
	Servers    []string
	Start      time.Duration
	Length     time.Duration
	Down       time.Duration // of servers that come back and warm up, and of a proxy after its planned end
	WarmUpLead time.Duration // before an evacuation is taken back the zone's servers begin to warm up
	Direction  Direction
	Delay      time.Duration // of slow links, one way
	Jitter     time.Duration
	LossRate   float64 // of the answers that are lost
}

func (t *Fault) end() time.Duration { return t.Start + t.Length }

// String is the fault as a line.
func (t Fault) String() string {
	text := fmt.Sprintf("%6.3f s to %6.3f s  %s %s", t.Start.Seconds(), t.end().Seconds(), t.Kind, t.Target)
	if t.Other != "" {
		text += ", evacuated: " + t.Other
	}
	if len(t.Servers) > 0 {
		text += ": " + strings.Join(t.Servers, ", ")
	}
	if t.Down > 0 {
		text += fmt.Sprintf(", down %v", t.Down.Round(time.Millisecond))
	}
	if t.WarmUpLead > 0 {
		text += fmt.Sprintf(", cold %v before it is taken back", t.WarmUpLead.Round(time.Millisecond))
	}
	if t.Direction != BothDirections {
		text += ", " + [...]string{"", "outward only", "inward only"}[t.Direction]
	}
	if t.Delay > 0 {
		text += fmt.Sprintf(", %v and up to %v more", t.Delay.Round(time.Millisecond), t.Jitter.Round(time.Millisecond))
	}
	if t.LossRate > 0 {
		text += fmt.Sprintf(", share %.2f", t.LossRate)
	}
	return strings.TrimRight(text, " ")
}

// Plan is all that a seed draws.
type Plan struct {
	Seed   uint64
	For    time.Duration
	Delay  time.Duration // between regions, one way
	Jitter time.Duration
	Faults []Fault // by start
}

// Bounds of plans.
const (
	MinDuration           = 16 * time.Second
	MaxDuration           = 10 * time.Minute
	MaxConcurrentFaults   = 3
	warmUp                = time.Second     // before the first fault
	calmPeriod            = 2 * time.Second // after the last one
	meanGap               = 900 * time.Millisecond
	maxDraws              = 40                     // draws for one place in the schedule
	minSeparation         = 700 * time.Millisecond // between two faults of one thing, so that the first one has ended
	evacuateFor           = 1500 * time.Millisecond
	maxWarmUpLead         = 2 * time.Second // at most, servers begin to warm up before their zone is taken back
	minWarmUpLead         = 300 * time.Millisecond
	aloneFor              = 2 * time.Second // all requests of a region go to a zone that was just taken back
	coldMargin            = time.Second     // after the warm-up has ended
	endSlack              = 2 * time.Second // beyond the grace, for a process to end
	maxPartitionedServers = 4               // servers from which a proxy is cut
)

// Draw gives the plan of a seed. The same seed, scenario and time give the same plan.
func Draw(seed uint64, last time.Duration, scene *testcluster.Scenario) *Plan {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, 36)), scene: scene, until: last - calmPeriod}
	p := &Plan{Seed: seed, For: last, Delay: d.drawDuration(20*time.Millisecond, 55*time.Millisecond), Jitter: d.drawDuration(0, 5*time.Millisecond)}
	first := d.drawZoneRestart()
	first.Start = warmUp + d.drawDuration(0, min(3*time.Second, d.until-warmUp-first.Length))
	p.Faults = append(p.Faults, first)
	for at := warmUp; at < d.until; at += time.Duration(d.rng.ExpFloat64() * float64(meanGap)) {
		for range maxDraws {
			t := d.draw()
			t.Start = at
			if d.fits(p.Faults, t) {
				p.Faults = append(p.Faults, t)
				break
			}
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return p
}

// MaxConcurrent is the most faults that are under way at one time.
func (p *Plan) MaxConcurrent() int {
	highest := 0
	for i := range p.Faults {
		highest = max(highest, overlapping(p.Faults, p.Faults[i].Start))
	}
	return highest
}

func overlapping(all []Fault, at time.Duration) (n int) {
	for i := range all {
		if all[i].Start <= at && at < all[i].end() {
			n++
		}
	}
	return n
}

type drawer struct {
	rng   *rand.Rand
	scene *testcluster.Scenario
	until time.Duration
}

func (d *drawer) drawDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(d.rng.Int64N(int64(high-low)+1))
}

// fits reports whether a fault ends in time, is no more than one of MaxConcurrentFaults, and touches nothing that another one does.
func (d *drawer) fits(all []Fault, t Fault) bool {
	if t.end() > d.until || overlapping(all, t.Start) >= MaxConcurrentFaults {
		return false
	}
	for _, other := range all {
		if other.end()+minSeparation <= t.Start || t.end()+minSeparation <= other.Start {
			continue
		}
		if t.Start <= other.Start && other.Start < t.end() && overlapping(all, other.Start) >= MaxConcurrentFaults {
			return false
		}
		mine := d.claims(t)
		if slices.ContainsFunc(d.claims(other), func(c string) bool { return slices.Contains(mine, c) }) {
			return false
		}
	}
	return true
}

// claims is what a fault needs for itself.
func (d *drawer) claims(t Fault) (all []string) {
	switch t.Kind {
	case KillProxy, PauseProxy, TerminateProxy:
		return []string{"proxy " + t.Target}
	case KillControlPlane, PauseControlPlane:
		return []string{"keeper " + t.Target}
	case KillZone, KillAllControlPlanes:
		for _, m := range d.scene.Machines {
			if t.Kind == KillAllControlPlanes {
				all = append(all, "keeper "+m.IP)
			} else if m.Zone == t.Target {
				all = append(all, "proxy "+m.IP)
			}
		}
	case PartitionProxy, SlowProxy, PartitionControlPlane, SlowControlPlane:
		return []string{"links of " + t.Target}
	case PartitionFromList, PartitionAllFromList, SlowLists:
		return []string{"list"}
	case PartitionFromServers:
		for _, s := range t.Servers {
			all = append(all, "server "+s)
		}
	case PartitionServer, SlowServer, DrainServer:
		return []string{"server " + t.Target}
	case LoseAnswers:
		return []string{"answers of " + t.Target}
	case LoseAcknowledgements:
		return []string{"answers to the operator"}
	case EvacuateZone, RestartZone, RestartZoneDuringEvacuation, EndEvacuationAlone:
		all = append(all, "servers of "+t.Target)
		if t.Kind != RestartZone {
			all = append(all, "evacuation")
		}
		if t.Other != "" {
			all = append(all, "servers of "+t.Other)
		}
	}
	return all
}
