// Package soak plays the system's real processes under random faults that overlap, and judges what was seen from outside and what the
// processes' own invariants counted.
//
// The problem: protections that hold under each fault alone may fail when faults overlap, at moments that nobody thinks of. So a seed draws a
// plan: faults of all kinds, with their times. The same seed gives the same plan. Play injects the plan's faults into a testcluster.Run
// while clients send requests, and while an operator changes and reads the configuration. Then it checks that the system recovers.
//
// Terms:
//   - Kind: a kind of fault. kindSpecs says how each one is drawn and injected.
//   - Claim: what a fault needs for itself, such as one proxy. Faults with a claim in common do not overlap, as each ends by restoring it.
//   - Result: the outcome of a seed. It is passed if nothing is listed as broken.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// Plan is all that a seed draws.
type Plan struct {
	Seed   uint64
	For    time.Duration // that the plan takes
	Delay  time.Duration // between regions, in each direction
	Jitter time.Duration // added to Delay, at most
	Faults []Fault       // in order of start
}

// Bounds of plans.
const (
	MinDuration         = 16 * time.Second
	MaxDuration         = 10 * time.Minute
	MaxConcurrentFaults = 3

	initialCalm   = time.Second            // before the first fault
	calmPeriod    = 2 * time.Second        // after the last one
	meanGap       = 900 * time.Millisecond // between the starts of faults, before those that do not fit are left out
	maxDraws      = 40                     // of a fault, for one time at which it is to start
	minSeparation = 700 * time.Millisecond // between two faults with a claim in common, so that the first one has ended
)

// planStream is the sequence of random numbers of a seed from which its plan is drawn.
const planStream = 36

// Draw draws the plan of a seed, which takes last. It always has the restart of a zone while the other zone of its region is evacuated. The same
// seed, scenario and time give the same plan.
func Draw(seed uint64, last time.Duration, scenario *testcluster.Scenario) *Plan {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, planStream)), scenario: scenario, until: last - calmPeriod}
	plan := &Plan{Seed: seed, For: last, Delay: d.drawDuration(20*time.Millisecond, 55*time.Millisecond), Jitter: d.drawDuration(0, 5*time.Millisecond)}
	first := Fault{Kind: RestartZoneDuringEvacuation}
	d.drawRestartDuringEvacuation(&first)
	first.Start = initialCalm + d.drawDuration(0, min(3*time.Second, d.until-initialCalm-first.Length))
	plan.Faults = append(plan.Faults, first)
	for at := initialCalm; at < d.until; at += time.Duration(d.rng.ExpFloat64() * float64(meanGap)) {
		if fault, ok := d.drawFitting(plan.Faults, at); ok {
			plan.Faults = append(plan.Faults, fault)
		}
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}

// MaxConcurrent returns the most faults that are under way at one time.
func (p *Plan) MaxConcurrent() int {
	highest := 0
	for i := range p.Faults {
		highest = max(highest, overlapping(p.Faults, p.Faults[i].Start))
	}
	return highest
}

// overlapping returns how many of the faults are under way at a time.
func overlapping(faults []Fault, at time.Duration) (count int) {
	for i := range faults {
		if faults[i].Start <= at && at < faults[i].end() {
			count++
		}
	}
	return count
}
