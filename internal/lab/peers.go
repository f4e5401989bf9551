package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// peers is what sidecars say to each other, behind a relay that gives each link between two of them faults of its own.
type peers struct {
	fleet  *Fleet
	relay  *child
	places []*link.PortReservation // where each listens; then the liars
	fronts []int                   // ports of the relay, by sidecar

	mu     sync.Mutex
	active []*plan.Step // faults of links
	told   [][]link.State
}

// startPeers starts the relay, and opens a port before each sidecar.
func (f *Fleet) startPeers() (err error) {
	n := len(f.plan.Sidecars)
	ps := &peers{fleet: f, told: make([][]link.State, n)}
	f.peers = ps
	ps.relay, err = startChild(f.starter, proc.Spec{Name: "peers", Path: f.self.Path, Log: f.log("peers"), Env: f.env("TMPDIR=" + f.work),
		Args: []string{"stand-in", "peers", "--gossip", f.records("gossip", 0)}}, f.hear)
	if err != nil {
		return err
	}
	f.all.Add(ps.relay.Process)
	for i := range n { // all before the first port of the relay, which is then none of theirs
		p, err := link.Reserve(link.Near(i))
		if err != nil {
			return err
		}
		ps.places = append(ps.places, p)
		ps.told[i] = make([]link.State, n)
	}
	for i := range n {
		news, err := ps.relay.order(ctl.Order{Do: "front", UID: f.plan.Sidecars[i].Name, Front: ps.places[i].Addr.String()})
		if err != nil {
			return err
		}
		ps.fronts = append(ps.fronts, news.Ports[0])
	}
	return nil
}

const joinThrough = 4 // peers that a sidecar is told of

// config is what the i-th sidecar is told of the others.
func (ps *peers) config(i int) map[string]any {
	p := ps.fleet.plan
	own := link.Near(i).String()
	var standing []int
	for k, s := range p.Sidecars {
		if k != i && s.Started() == 0 {
			standing = append(standing, k)
		}
	}
	r := rand.New(rand.NewPCG(p.Seed, uint64(i)))
	r.Shuffle(len(standing), func(a, b int) { standing[a], standing[b] = standing[b], standing[a] })
	join := []string{}
	for _, k := range standing[:min(joinThrough, len(standing))] {
		join = append(join, fmt.Sprintf("%s:%d", own, ps.fronts[k]))
	}
	return map[string]any{"listen": ps.places[i].Addr.String(), "advertise": fmt.Sprintf("%s:%d", own, ps.fronts[i]), "reach": own, "join": join,
		"bound_s": p.File.Members.BoundMS / 1000}
}

// step begins or ends a fault of the links between sidecars, and tells the relay what all faults make of every link.
func (ps *peers) step(s *plan.Step) (at int64, err error) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	order := func(far int, o ctl.Order) error {
		o.UID = ps.fleet.plan.Sidecars[far].Name
		n, err := ps.relay.order(o)
		at = max(at, n.At)
		return err
	}
	if s.Do != plan.Link { // of all streams between those meant and the others
		for far := range ps.told {
			var nears []int
			for near := range ps.told {
				if ps.meant(s, far, near) || ps.meant(s, near, far) {
					nears = append(nears, near)
				}
			}
			if len(nears) > 0 {
				if err := order(far, ctl.Order{Do: s.Do, Nears: nears}); err != nil {
					return at, err
				}
			}
		}
		return at, nil
	}
	if s.On {
		ps.active = append(ps.active, s)
	} else {
		ps.active = slices.DeleteFunc(ps.active, func(a *plan.Step) bool { return a.Fault == s.Fault })
	}
	for far := range ps.told {
		groups := map[link.State][]int{} // of links that change
		for near := range ps.told {
			if state := ps.state(far, near); state != ps.told[far][near] {
				groups[state] = append(groups[state], near)
				ps.told[far][near] = state
			}
		}
		for state, nears := range groups {
			if err := order(far, ctl.Order{Do: "link", Nears: nears, State: &state}); err != nil {
				return at, err
			}
		}
	}
	return at, nil
}

// meant tells whether a fault is of the links of one, as the far end, to another.
func (ps *peers) meant(s *plan.Step, one, other int) bool {
	return one != other && slices.Contains(s.Nears, one) && (s.From == "" || ps.fleet.plan.Sidecars[other].Zone == s.From)
}

// state is what all faults make of the link from a near end to a far one. ps.mu is held.
func (ps *peers) state(far, near int) (state link.State) {
	for _, s := range ps.active {
		far, near := ps.meant(s, far, near), ps.meant(s, near, far) // the near end's own calls: what it hears comes the other way
		if !far && !near {
			continue
		}
		e := s.Effect
		e.HoldFar, e.HoldNear = far && e.HoldFar || near && e.HoldNear, far && e.HoldNear || near && e.HoldFar
		addEffect(&state, e)
	}
	return state
}

func (ps *peers) leave() {
	for _, p := range ps.places {
		p.Close()
	}
}
