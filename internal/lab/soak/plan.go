// Package soak plays the system's real processes under random troubles that overlap, and judges what was seen from outside
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

// Kind is what a trouble does.
type Kind string

// The kinds of troubles.
const (
	KillProxy       Kind = "kill proxy"
	KillKeeper      Kind = "kill keeper"
	KillZone        Kind = "kill all proxies of zone"
	KillKeepers     Kind = "kill all keepers"
	PauseProxy      Kind = "pause proxy"
	PauseKeeper     Kind = "pause keeper"
	CutProxy        Kind = "cut proxy from keepers"
	CutKeeper       Kind = "cut keeper from all"
	CutList         Kind = "cut keeper from the list"
	CutLists        Kind = "cut all keepers from the list"
	CutServer       Kind = "cut server from proxies"
	CutFromServers  Kind = "cut proxy from servers"
	EndProxy        Kind = "end proxy by SIGTERM"
	SlowProxy       Kind = "slow links of proxy"
	SlowKeeper      Kind = "slow links of keeper"
	SlowLists       Kind = "slow links to the list"
	SlowServer      Kind = "slow links to server"
	LoseAnswers     Kind = "lose answers of the servers of zone"
	LoseAcks        Kind = "lose answers to the operator"
	ColdReturn      Kind = "cold return of zone"
	Evacuate        Kind = "evacuate zone, cold at its end"
	ReturnEvacuated Kind = "cold return while the other zone is evacuated:"
	TakeBackAlone   Kind = "taking a zone back alone, the other one down:"
	Drain           Kind = "drain server"
)

// Way is which bytes a cut holds back.
type Way int

// The ways of a cut.
const (
	BothWays Way = iota
	Outward      // what the target sends
	Inward       // what is sent to it
)

// Trouble is one that a plan holds. It ends by itself.
type Trouble struct {
	Kind   Kind
	Target string // IP of a machine, name of a zone, or address of a server; empty: all
	Other  string // zone that is evacuated meanwhile
	// Servers are the addresses of those from which a proxy is cut.
	Servers []string
	Start   time.Duration
	Length  time.Duration
	Down    time.Duration // of servers that return cold, and of a proxy after its planned end
	Chill   time.Duration // before an evacuation is taken back the zone's servers turn cold
	Way     Way
	Delay   time.Duration // of slow links, one way
	Jitter  time.Duration
	Share   float64 // of the answers that are lost
}

func (t *Trouble) end() time.Duration { return t.Start + t.Length }

// String is the trouble as a line.
func (t Trouble) String() string {
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
	if t.Chill > 0 {
		text += fmt.Sprintf(", cold %v before it is taken back", t.Chill.Round(time.Millisecond))
	}
	if t.Way != BothWays {
		text += ", " + [...]string{"", "outward only", "inward only"}[t.Way]
	}
	if t.Delay > 0 {
		text += fmt.Sprintf(", %v and up to %v more", t.Delay.Round(time.Millisecond), t.Jitter.Round(time.Millisecond))
	}
	if t.Share > 0 {
		text += fmt.Sprintf(", share %.2f", t.Share)
	}
	return strings.TrimRight(text, " ")
}

// Plan is all that a seed draws.
type Plan struct {
	Seed     uint64
	For      time.Duration
	Delay    time.Duration // between regions, one way
	Jitter   time.Duration
	Troubles []Trouble // by start
}

// Bounds of plans.
const (
	Shortest    = 16 * time.Second
	Longest     = 10 * time.Minute
	MostAtOnce  = 3
	warmUp      = time.Second     // before the first trouble
	calm        = 2 * time.Second // after the last one
	meanGap     = 900 * time.Millisecond
	mostTries   = 40                     // draws for one place in the schedule
	apart       = 700 * time.Millisecond // between two troubles of one thing, so that the first one has ended
	evacuateFor = 1500 * time.Millisecond
	chillBefore = 2 * time.Second // at most, servers turn cold before their zone is taken back
	chillLeast  = 300 * time.Millisecond
	aloneFor    = 2 * time.Second // all requests of a region go to a zone that was just taken back
	coldMargin  = time.Second     // after the cold state has ended
	endSlack    = 2 * time.Second // beyond the grace, for a process to end
	mostCutFrom = 4               // servers from which a proxy is cut
)

// Draw gives the plan of a seed. The same seed, scene and time give the same plan.
func Draw(seed uint64, last time.Duration, scene *testcluster.Scenario) *Plan {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, 36)), scene: scene, until: last - calm}
	p := &Plan{Seed: seed, For: last, Delay: d.between(20*time.Millisecond, 55*time.Millisecond), Jitter: d.between(0, 5*time.Millisecond)}
	first := d.returning()
	first.Start = warmUp + d.between(0, min(3*time.Second, d.until-warmUp-first.Length))
	p.Troubles = append(p.Troubles, first)
	for at := warmUp; at < d.until; at += time.Duration(d.rng.ExpFloat64() * float64(meanGap)) {
		for range mostTries {
			t := d.draw()
			t.Start = at
			if d.fits(p.Troubles, t) {
				p.Troubles = append(p.Troubles, t)
				break
			}
		}
	}
	slices.SortStableFunc(p.Troubles, func(a, b Trouble) int { return cmp.Compare(a.Start, b.Start) })
	return p
}

// AtOnce is the most troubles that are under way at one time.
func (p *Plan) AtOnce() int {
	most := 0
	for i := range p.Troubles {
		most = max(most, overlapping(p.Troubles, p.Troubles[i].Start))
	}
	return most
}

func overlapping(all []Trouble, at time.Duration) (n int) {
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

func (d *drawer) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.rng.Int64N(int64(high-low)+1))
}

// fits tells whether a trouble ends in time, is no more than one of MostAtOnce, and touches nothing that another one does.
func (d *drawer) fits(all []Trouble, t Trouble) bool {
	if t.end() > d.until || overlapping(all, t.Start) >= MostAtOnce {
		return false
	}
	for _, other := range all {
		if other.end()+apart <= t.Start || t.end()+apart <= other.Start {
			continue
		}
		if t.Start <= other.Start && other.Start < t.end() && overlapping(all, other.Start) >= MostAtOnce {
			return false
		}
		mine := d.claims(t)
		if slices.ContainsFunc(d.claims(other), func(c string) bool { return slices.Contains(mine, c) }) {
			return false
		}
	}
	return true
}

// claims is what a trouble needs for itself.
func (d *drawer) claims(t Trouble) (all []string) {
	switch t.Kind {
	case KillProxy, PauseProxy, EndProxy:
		return []string{"proxy " + t.Target}
	case KillKeeper, PauseKeeper:
		return []string{"keeper " + t.Target}
	case KillZone, KillKeepers:
		for _, m := range d.scene.Machines {
			if t.Kind == KillKeepers {
				all = append(all, "keeper "+m.IP)
			} else if m.Zone == t.Target {
				all = append(all, "proxy "+m.IP)
			}
		}
	case CutProxy, SlowProxy, CutKeeper, SlowKeeper:
		return []string{"links of " + t.Target}
	case CutList, CutLists, SlowLists:
		return []string{"list"}
	case CutFromServers:
		for _, s := range t.Servers {
			all = append(all, "server "+s)
		}
	case CutServer, SlowServer, Drain:
		return []string{"server " + t.Target}
	case LoseAnswers:
		return []string{"answers of " + t.Target}
	case LoseAcks:
		return []string{"answers to the operator"}
	case Evacuate, ColdReturn, ReturnEvacuated, TakeBackAlone:
		all = append(all, "servers of "+t.Target)
		if t.Kind != ColdReturn {
			all = append(all, "evacuation")
		}
		if t.Other != "" {
			all = append(all, "servers of "+t.Other)
		}
	}
	return all
}
