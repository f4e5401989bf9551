package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// joinLead is the time from the start of a joining sidecar until clients send to it.
const joinLead = 2 * time.Second

// sidecarName is the name of the i-th sidecar, from 0.
func sidecarName(i int) string { return fmt.Sprintf("n%d", i) }

// runsThroughout reports whether a sidecar runs throughout a period.
func (s *Sidecar) runsThroughout(from, to time.Duration) bool {
	return s.Started() <= from && (s.To == 0 || s.To >= to)
}

// Started is when its first process starts; 0: before the load.
func (s *Sidecar) Started() time.Duration { return max(0, s.From-joinLead) }

// drawSidecars draws the sidecars that run at the start, and when which others join and leave.
func (p *Plan) drawSidecars() error {
	rng := stream(p.Seed, "sidecars")
	for index := range p.File.Fleet.Sidecars {
		p.addSidecar(rng, index, 0, p.File.Fleet.Sidecars)
	}
	for index := range p.File.Faults {
		var err error
		switch p.File.Faults[index].Do {
		case FaultJoin:
			err = p.drawJoin(index)
		case FaultLeave:
			err = p.drawLeave(index)
		}
		if err != nil {
			return err
		}
	}
	for _, sidecar := range p.Sidecars {
		staysInZone := func(other Sidecar) bool { return other.Zone == sidecar.Zone && other.From == 0 && other.To == 0 }
		if !slices.ContainsFunc(p.Sidecars, staysInZone) {
			return p.File.errorAt("fault", -1, "do", "no sidecar of %s stays throughout", sidecar.Zone)
		}
	}
	if p.File.Registry.Count > 0 {
		for index := range p.Sidecars {
			p.Sidecars[index].Group = 0 // a server registers one address for all
		}
	}
	return nil
}

// drawJoin draws the sidecars that a fault adds, evenly over its time.
func (p *Plan) drawJoin(index int) error {
	fault := &p.File.Faults[index]
	if fault.Count+len(p.Sidecars) > maxSidecars {
		return p.File.errorAt("fault", index, "count", "%d sidecars at most", maxSidecars)
	}
	rng := stream(p.Seed, fmt.Sprintf("fault %d", index))
	at := Seconds(fault.At)
	peers := p.runningAt(at) + fault.Count
	for i := range fault.Count {
		from := at + Seconds(fault.For*float64(i)/float64(fault.Count)) + joinLead
		p.addSidecar(rng, len(p.Sidecars), from, peers)
		p.Sidecars[len(p.Sidecars)-1].joined = index + 1
	}
	return nil
}

// drawLeave draws which sidecars a fault ends, evenly over its time.
func (p *Plan) drawLeave(index int) error {
	fault := &p.File.Faults[index]
	at := Seconds(fault.At)
	var candidates []int
	for i, s := range p.Sidecars {
		if s.runsThroughout(at, at+Seconds(fault.For)) && fault.inZone(s.Zone) {
			candidates = append(candidates, i)
		}
	}
	rng := stream(p.Seed, fmt.Sprintf("fault %d", index))
	chosen, err := choose(rng, fault, candidates, func(i int) string { return p.Sidecars[i].Name })
	if err != nil {
		return p.File.errorAt("fault", index, "do", "%v", err)
	}
	for i, sidecar := range chosen {
		p.Sidecars[sidecar].left = index + 1
		p.Sidecars[sidecar].To = at + Seconds(fault.For*float64(i)/float64(len(chosen)))
	}
	return nil
}

// runningAt is how many sidecars run at a time.
func (p *Plan) runningAt(at time.Duration) (n int) {
	for _, s := range p.Sidecars {
		if s.runsThroughout(at, at) {
			n++
		}
	}
	return n
}

// addSidecar adds a sidecar and draws its weight: from a log-normal distribution with mean 1 and the coefficient of variation of the file.
func (p *Plan) addSidecar(rng *rand.Rand, index int, from time.Duration, peers int) {
	file := p.File
	sigma := math.Sqrt(math.Log(1 + file.Load.Uneven*file.Load.Uneven))
	weight := math.Exp(rng.NormFloat64()*sigma - sigma*sigma/2)
	zone := index % len(file.Fleet.Zones)
	p.Sidecars = append(p.Sidecars, Sidecar{Name: sidecarName(index), Zone: file.Fleet.Zones[zone], Group: zone, Weight: weight, Peers: peers, From: from})
}

// sidecarSampler returns the cumulative weights of the sidecars that clients send to at a time, in all zones ("") or one. The first zone has
// its share of the traffic and zone_skew of the others' besides, whatever runs there. Times must not decrease.
func (p *Plan) sidecarSampler(only string) func(time.Duration) []float64 {
	var changes []time.Duration
	for _, s := range p.Sidecars {
		changes = append(changes, s.From, s.To)
	}
	slices.Sort(changes)
	changes = slices.DeleteFunc(slices.Compact(changes), func(t time.Duration) bool { return t == 0 })
	var current []float64
	return func(at time.Duration) []float64 {
		stale := current == nil
		for len(changes) > 0 && changes[0] <= at {
			changes, stale = changes[1:], true
		}
		if stale {
			current = cumulativeSums(p.sidecarWeights(only, at))
		}
		return current
	}
}

// sidecarWeights are the weights of the sidecars that clients send to at a time, "" or only in one zone; others have 0.
func (p *Plan) sidecarWeights(only string, at time.Duration) []float64 {
	file := p.File
	weights := make([]float64, len(p.Sidecars))
	zones := map[string]float64{}
	for i, s := range p.Sidecars {
		used := s.From <= at && (s.To == 0 || s.To > at)
		if used && (only == "" || s.Zone == only) {
			weights[i] = s.Weight
			zones[s.Zone] += s.Weight
		}
	}
	for i, s := range p.Sidecars {
		share := (1 - file.Load.ZoneSkew) / float64(len(file.Fleet.Zones))
		if s.Zone == file.Fleet.Zones[0] {
			share += file.Load.ZoneSkew
		}
		if weights[i] > 0 {
			weights[i] *= share / zones[s.Zone]
		}
	}
	return weights
}
