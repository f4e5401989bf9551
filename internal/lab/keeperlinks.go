package lab

import (
	"slices"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// links begins or ends a fault of a keeper's links, and tells the relay what all of them make of every link.
func (ks *keepers) links(k *keeper, s *plan.Step) (at int64, err error) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	nears := ks.nears(k, s.From)
	if s.Do != plan.Link {
		n, err := ks.relay.order(ctl.Order{Do: s.Do, UID: k.name, Nears: nears})
		if err != nil || s.From != "" && s.From != "peers" {
			return n.At, err
		}
		for _, other := range ks.all {
			if other != k {
				if n, err = ks.relay.order(ctl.Order{Do: s.Do, UID: other.name, Nears: []int{ks.fleet.plan.NearNode(k.index)}}); err != nil {
					return n.At, err
				}
			}
		}
		return n.At, nil
	}
	if s.On {
		on := *s
		on.Sidecar = plan.NodeIndex(k.index)
		ks.active = append(ks.active, &on)
	} else {
		ks.active = slices.DeleteFunc(ks.active, func(a *plan.Step) bool {
			return a.Fault == s.Fault && a.Sidecar == plan.NodeIndex(k.index)
		})
	}
	for _, far := range ks.all {
		groups := map[link.State][]int{}
		for near := range ks.fleet.plan.Nears() {
			state := ks.state(far, near)
			groups[state] = append(groups[state], near)
		}
		for state, nears := range groups {
			n, err := ks.relay.order(ctl.Order{Do: "link", UID: far.name, Nears: nears, State: &state})
			if err != nil {
				return n.At, err
			}
			at = max(at, n.At)
		}
	}
	return at, nil
}

// nears are the near ends of a keeper's links: its peers, its clients, or both.
func (ks *keepers) nears(k *keeper, from string) (all []int) {
	for near := range ks.fleet.plan.Nears() {
		if peer := ks.peer(near); peer != k && ks.meant(near, from) {
			all = append(all, near)
		}
	}
	return all
}

// meant tells whether a fault of a keeper's links, from some of its callers, is of the link from a near end.
func (ks *keepers) meant(near int, from string) bool {
	p := ks.fleet.plan
	switch from {
	case "peers":
		return ks.peer(near) != nil
	case "clients":
		return ks.peer(near) == nil
	case "sidecars":
		return near < len(p.Sidecars)
	case "servers":
		return near >= p.NearHost(0) && near < p.NearHost(p.Hosts())
	}
	return true
}

// peer is the keeper that a near end is; nil: a client.
func (ks *keepers) peer(near int) *keeper {
	if i := near - ks.fleet.plan.NearNode(0); i >= 0 && i < len(ks.all) {
		return ks.all[i]
	}
	return nil
}

// state is what all faults make of the link from a near end to a keeper. ks.mu is held.
func (ks *keepers) state(far *keeper, near int) (state link.State) {
	peer := ks.peer(near)
	for _, s := range ks.active {
		e := s.Effect
		switch k, _ := plan.NodeOf(s.Sidecar); {
		case k == far.index && ks.meant(near, s.From):
		case peer != nil && k == peer.index && (s.From == "" || s.From == "peers"): // its own calls: what it hears comes the other way
			e.HoldFar, e.HoldNear = e.HoldNear, e.HoldFar
		default:
			continue
		}
		addEffect(&state, e)
	}
	return state
}
