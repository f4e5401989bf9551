package pick

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/config"
)

// shareRotation is the state of a route's turns: the smooth weighted round robin, whose turns interleave the groups as evenly
// as their weights allow.
type shareRotation struct {
	shares  []config.Share
	current []float64
}

// next gives the group that is due, by its place among the shares.
func (o *shareRotation) next() int {
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

// rotationOf gives the state of a route's turns. A route of a configuration that was replaced while its request was under
// way goes on without a kept state.
func (p *Picker) rotationOf(r *config.Route) *shareRotation {
	if o := p.rotations[r]; o != nil {
		return o
	}
	o := &shareRotation{shares: r.Shares, current: make([]float64, len(r.Shares))}
	if p.state.Config != nil && slices.Contains(p.state.Config.Routes, r) {
		p.rotations[r] = o
	}
	return o
}

// updateRotations takes a new configuration: routes whose shares stay keep the state of their turns.
func (p *Picker) updateRotations() {
	type name struct{ host, prefix string }
	old := make(map[name]*shareRotation, len(p.rotations))
	for r, o := range p.rotations {
		old[name{r.Host, r.Prefix}] = o
	}
	clear(p.rotations)
	if p.state.Config == nil {
		return
	}
	for _, r := range p.state.Config.Routes {
		o := old[name{r.Host, r.Prefix}]
		if o == nil || !slices.Equal(o.shares, r.Shares) {
			o = &shareRotation{shares: r.Shares, current: make([]float64, len(r.Shares))}
		}
		p.rotations[r] = o
	}
}
