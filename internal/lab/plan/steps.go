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

// drawer turns faults into steps, in the order of the file.
type drawer struct {
	*Plan
	fault  int
	r      *rand.Rand
	living []life // of servers, as far as faults decide it
	busy   map[string][]span
	liars  int // of the lies before
}

// life is when a server stands on a list.
type life struct {
	index    int // in Servers
	from, to time.Duration
}

type span struct {
	from, to time.Duration
	fault    int
}

const forever = time.Duration(math.MaxInt64)

func (p *Plan) drawSteps() error {
	d := &drawer{Plan: p, busy: map[string][]span{}}
	for i := range p.InitialServers {
		d.living = append(d.living, life{i, 0, forever})
	}
	for i := range p.File.Faults {
		d.fault, d.r = i, stream(p.Seed, fmt.Sprintf("fault %d", i))
		t := &p.File.Faults[i]
		if err := d.draw(t); err != nil {
			return p.File.bad("fault", i, "do", "%v", err)
		}
		p.Bands = append(p.Bands, Band{i, t.Do + d.target(t), Seconds(t.At), Seconds(t.At + t.For)})
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return nil
}

func (d *drawer) target(t *Fault) string {
	s := " " + t.On
	if len(t.Names) > 0 {
		s = " " + strings.Join(t.Names, ",")
	}
	if t.Zone != "" {
		s += " of " + t.Zone
	}
	if t.From != "" {
		s += " from " + t.From
	}
	if t.Part > 0 {
		s += fmt.Sprintf(" %.0f%%", t.Part*100)
	}
	return s
}

// claim keeps two faults from acting on one process, or one property of one server, at a time.
func (d *drawer) claim(what string, from, to time.Duration) error {
	for _, s := range d.busy[what] {
		if from < s.to && s.from < to {
			return fmt.Errorf("acts on %s while fault %d of the file does", what, s.fault+1)
		}
	}
	d.busy[what] = append(d.busy[what], span{from, to, d.fault})
	return nil
}

func (d *drawer) step(s Step) {
	s.Fault = d.fault
	d.Steps = append(d.Steps, s)
}

// choose draws n of what there is, by part, count or names.
func choose[T any](r *rand.Rand, t *Fault, all []T, name func(T) string) ([]T, error) {
	if len(t.Names) > 0 {
		var chosen []T
		for _, want := range t.Names {
			i := slices.IndexFunc(all, func(v T) bool { return name(v) == want })
			if i < 0 {
				return nil, fmt.Errorf("there is no %q to act on then", want)
			}
			chosen = append(chosen, all[i])
		}
		return chosen, nil
	}
	n := len(all)
	switch {
	case t.Count > len(all):
		return nil, fmt.Errorf("there are only %d to act on then, not %d", len(all), t.Count)
	case t.Count > 0:
		n = t.Count
	case t.Part > 0:
		n = max(1, int(math.Round(t.Part*float64(len(all)))))
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("there is nothing to act on then")
	}
	chosen := slices.Clone(all)
	r.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:n], nil
}

// sidecars are those that a fault on processes means.
func (d *drawer) sidecars(t *Fault) ([]int, error) {
	if t.On == "list" {
		return []int{ListIndex}, nil
	}
	if t.On == "keepers" {
		return d.keepers(t)
	}
	var all []int
	for i, s := range d.Sidecars {
		if s.there(Seconds(t.At), Seconds(t.At+t.For)) && (t.Zone == "" || s.Zone == t.Zone) {
			all = append(all, i)
		}
	}
	return choose(d.r, t, all, func(i int) string { return d.Sidecars[i].Name })
}

// keepers are those that a fault means, as process indexes: "leader" is drawn by the keepers themselves.
func (d *drawer) keepers(t *Fault) ([]int, error) {
	if slices.Equal(t.Names, []string{"leader"}) {
		return []int{LeaderIndex}, nil
	}
	var all []int
	for k := range d.File.Registry.Count {
		all = append(all, NodeIndex(k))
	}
	return choose(d.r, t, all, func(i int) string {
		k, _ := NodeOf(i)
		return NodeName(k)
	})
}

// servers are those that stand throughout a time, as indexes into living. A server is named "1", "2", ... in the order of
// the start.
func (d *drawer) servers(t *Fault, from, to time.Duration) ([]int, error) {
	var all []int
	for i, l := range d.living {
		if l.from <= from && l.to >= to && (t.Zone == "" || d.Servers[l.index].Zone == t.Zone) {
			all = append(all, i)
		}
	}
	return choose(d.r, t, all, func(i int) string { return fmt.Sprint(d.living[i].index + 1) })
}

func (d *drawer) draw(t *Fault) error {
	at, end := Seconds(t.At), Seconds(t.At+t.For)
	switch t.Do {
	case "backup", "restore":
		d.step(Step{At: at, Do: t.Do, Sidecar: LeaderIndex})
		return nil
	case "disk-torn", "disk-short":
		chosen, err := d.keepers(t)
		for _, i := range chosen {
			d.step(Step{At: at, Do: Tear, Sidecar: i, Mode: strings.TrimPrefix(t.Do, "disk-")})
		}
		return err
	case "kill", "term", "stop", "disk-full", "disk-readonly":
		return d.process(t, at, end)
	case "list-late", "list-old", "list-cut", "list-garbled":
		if err := d.claim("the list's answers", at, end); err != nil {
			return err
		}
		d.step(Step{At: at, Do: ListMode, Sidecar: ListIndex, Mode: strings.TrimPrefix(t.Do, "list-"), By: Seconds(t.Size)})
		d.step(Step{At: end, Do: ListMode, Sidecar: ListIndex})
		return nil
	case "burst", "flood":
		return nil // arrivals
	case "lie":
		all := 0.0
		for i := range d.Arrivals {
			if a := &d.Arrivals[i]; a.At >= at && a.At < end {
				all += a.Work.Seconds()
			}
		}
		s := Step{At: at, Do: FalseReports, Sidecar: ListIndex, Mode: strings.Join(t.Names, ","), On: true,
			By: Seconds(all / t.For * t.Size * float64(len(t.Names)))}
		for range t.Count {
			s.Nears = append(s.Nears, d.liars)
			d.liars++
		}
		d.step(s)
		s.At, s.On = end, false
		d.step(s)
		return nil
	case "join", "leave":
		return d.comeAndGo(t)
	case "roll":
		return d.roll(t, at)
	case "delay", "silence", "partition", "trickle", "loss", "reset", "half-open":
		return d.links(t, at, end)
	case "deploy":
		return d.deploy(t, at)
	}
	servers, err := d.servers(t, at, max(end, at+1))
	if err != nil {
		return err
	}
	for _, i := range servers {
		if err := d.server(t, i, at, end); err != nil {
			return err
		}
	}
	return nil
}
