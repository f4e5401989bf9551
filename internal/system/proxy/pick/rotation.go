package pick

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/config"
)

// rotation is the state of a route's turns: the smooth weighted round robin, whose turns interleave the groups as evenly
// as their weights allow.
type rotation struct {
	shares  []config.Share
	current []float64
}

// next gives the group that is due, by its place among the shares.
func (o *rotation) next() int {
	due, total := -1, 0.0
	for i, s := range o.shares {
		if s.Weight <= 0 {
			continue
		}
		o.current[i] += s.Weight
		total += s.Weight
		if due < 0 || o.current[i] > o.current[due] {
			due = i
		}
	}
	if due < 0 {
		return 0
	}
	o.current[due] -= total
	return due
}

// rotation gives the state of a route's turns. A route of a configuration that was replaced while its request was under
// way goes on without a kept state.
func (p *Picker) rotation(r *config.Route) *rotation {
	if o := p.rotations[r]; o != nil {
		return o
	}
	o := &rotation{shares: r.Shares, current: make([]float64, len(r.Shares))}
	if p.world.Config != nil && slices.Contains(p.world.Config.Routes, r) {
		p.rotations[r] = o
	}
	return o
}

// reroute takes a new configuration: routes whose shares stay keep the state of their turns.
func (p *Picker) reroute() {
	type name struct{ host, prefix string }
	old := make(map[name]*rotation, len(p.rotations))
	for r, o := range p.rotations {
		old[name{r.Host, r.Prefix}] = o
	}
	clear(p.rotations)
	if p.world.Config == nil {
		return
	}
	for _, r := range p.world.Config.Routes {
		o := old[name{r.Host, r.Prefix}]
		if o == nil || !slices.Equal(o.shares, r.Shares) {
			o = &rotation{shares: r.Shares, current: make([]float64, len(r.Shares))}
		}
		p.rotations[r] = o
	}
}
