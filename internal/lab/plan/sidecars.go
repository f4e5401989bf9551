package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// joinLead is from the start of a sidecar that joins until clients send to it.
const joinLead = 2 * time.Second

func sidecarName(i int) string { return fmt.Sprintf("n%d", i) }

// there tells whether a sidecar runs throughout a time.
func (s *Sidecar) there(from, to time.Duration) bool {
	return s.Started() <= from && (s.To == 0 || s.To >= to)
}

// Started is when its first process starts; 0: before the load.
func (s *Sidecar) Started() time.Duration { return max(0, s.From-joinLead) }

// drawSidecars draws those that stand, and when which others join and leave.
func (p *Plan) drawSidecars() error {
	f := p.File
	r := stream(p.Seed, "sidecars")
	for i := range f.Fleet.Sidecars {
		p.addSidecar(r, i, 0, f.Fleet.Sidecars)
	}
	for i := range f.Faults {
		t := &f.Faults[i]
		at := Seconds(t.At)
		r := stream(p.Seed, fmt.Sprintf("fault %d", i))
		switch t.Do {
		case "join":
			if t.Count+len(p.Sidecars) > mostSidecars {
				return f.bad("fault", i, "count", "%d sidecars at most", mostSidecars)
			}
			peers := p.present(at) + t.Count
			for j := range t.Count {
				p.addSidecar(r, len(p.Sidecars), at+Seconds(t.For*float64(j)/float64(t.Count))+joinLead, peers)
				p.Sidecars[len(p.Sidecars)-1].joined = i + 1
			}
		case "leave":
			var all []int
			for k, s := range p.Sidecars {
				if s.there(at, at+Seconds(t.For)) && (t.Zone == "" || s.Zone == t.Zone) {
					all = append(all, k)
				}
			}
			chosen, err := choose(r, t, all, func(k int) string { return p.Sidecars[k].Name })
			if err != nil {
				return f.bad("fault", i, "do", "%v", err)
			}
			for j, k := range chosen {
				p.Sidecars[k].left = i + 1
				p.Sidecars[k].To = at + Seconds(t.For*float64(j)/float64(len(chosen)))
			}
		}
	}
	for _, s := range p.Sidecars {
		if !slices.ContainsFunc(p.Sidecars, func(o Sidecar) bool { return o.Zone == s.Zone && o.From == 0 && o.To == 0 }) {
			return f.bad("fault", -1, "do", "no sidecar of %s stays throughout", s.Zone)
		}
	}
	if f.Registry.Count > 0 {
		for i := range p.Sidecars {
			p.Sidecars[i].Group = 0 // a server registers one address for all
		}
	}
	return nil
}

// present is how many sidecars there are at a time.
func (p *Plan) present(at time.Duration) (n int) {
	for _, s := range p.Sidecars {
		if s.there(at, at) {
			n++
		}
	}
	return n
}

// addSidecar draws a sidecar's weight, before it is shared out within its zone.
func (p *Plan) addSidecar(r *rand.Rand, i int, from time.Duration, peers int) {
	f := p.File
	// A log-normal spread of the wished coefficient of variation (mean 1).
	sigma := math.Sqrt(math.Log(1 + f.Load.Uneven*f.Load.Uneven))
	zone := i % len(f.Fleet.Zones)
	w := math.Exp(r.NormFloat64()*sigma - sigma*sigma/2)
	p.Sidecars = append(p.Sidecars, Sidecar{Name: sidecarName(i), Zone: f.Fleet.Zones[zone], Group: zone, Weight: w, Peers: peers, From: from})
}

// sidecarSums gives the sums of the weights of the sidecars that clients send to at a time, "" or only in one zone. The first zone has
// its part of the traffic and zone_skew of the others' besides, whoever is there. Times have to rise.
func (p *Plan) sidecarSums(only string) func(time.Duration) []float64 {
	f := p.File
	var changes []time.Duration
	for _, s := range p.Sidecars {
		changes = append(changes, s.From, s.To)
	}
	slices.Sort(changes)
	changes = slices.DeleteFunc(slices.Compact(changes), func(t time.Duration) bool { return t == 0 })
	var now []float64
	return func(at time.Duration) []float64 {
		stale := now == nil
		for len(changes) > 0 && changes[0] <= at {
			changes, stale = changes[1:], true
		}
		if !stale {
			return now
		}
		weights := make([]float64, len(p.Sidecars))
		zones := map[string]float64{}
		for i, s := range p.Sidecars {
			if s.From <= at && (s.To == 0 || s.To > at) && (only == "" || s.Zone == only) {
				weights[i] = s.Weight
				zones[s.Zone] += s.Weight
			}
		}
		for i, s := range p.Sidecars {
			part := (1 - f.Load.ZoneSkew) / float64(len(f.Fleet.Zones))
			if s.Zone == f.Fleet.Zones[0] {
				part += f.Load.ZoneSkew
			}
			if weights[i] > 0 {
				weights[i] *= part / zones[s.Zone]
			}
		}
		now = sums(weights)
		return now
	}
}
