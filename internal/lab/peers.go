package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// peers is the network between sidecars, behind a relay that gives each link between two of them faults of its own.
type peers struct {
	fleet        *Fleet
	relay        *child
	reservations []*link.PortReservation // where each sidecar listens, then each lying member
	relayPorts   []int                   // ports of the relay, by sidecar

	mu           sync.Mutex
	activeFaults []*plan.Step // faults of links
	sentStates   [][]link.State
}

// startPeers starts the relay, and opens a port before each sidecar.
func (f *Fleet) startPeers() (err error) {
	count := len(f.plan.Sidecars)
	network := &peers{fleet: f, sentStates: make([][]link.State, count)}
	f.peers = network
	if network.relay, err = f.startStandIn("peers", []string{"peers", "--gossip", f.records(recordsOfGossip, 0)}); err != nil {
		return err
	}
	for i := range count { // all before the first port of the relay, which is then none of theirs
		p, err := link.Reserve(link.Near(i))
		if err != nil {
			return err
		}
		network.reservations = append(network.reservations, p)
		network.sentStates[i] = make([]link.State, count)
	}
	for i := range count {
		news, err := network.relay.order(ctl.Order{Do: ctl.CommandFront, UID: f.plan.Sidecars[i].Name, Front: network.reservations[i].Addr.String()})
		if err != nil {
			return err
		}
		network.relayPorts = append(network.relayPorts, news.Ports[0])
	}
	return nil
}

const maxJoinAddresses = 4 // of peers, in a sidecar's configuration

// memberConfig is the part of the i-th sidecar's configuration that concerns the other members.
func (ps *peers) memberConfig(index int) map[string]any {
	experiment := ps.fleet.plan
	own := link.Near(index).String()
	var standing []int
	for k, s := range experiment.Sidecars {
		if k != index && s.Started() == 0 {
			standing = append(standing, k)
		}
	}
	r := rand.New(rand.NewPCG(experiment.Seed, uint64(index)))
	r.Shuffle(len(standing), func(a, b int) { standing[a], standing[b] = standing[b], standing[a] })
	join := []string{}
	for _, k := range standing[:min(maxJoinAddresses, len(standing))] {
		join = append(join, fmt.Sprintf("%s:%d", own, ps.relayPorts[k]))
	}
	return map[string]any{"listen": ps.reservations[index].Addr.String(), "advertise": fmt.Sprintf("%s:%d", own, ps.relayPorts[index]), "reach": own, "join": join,
		"bound_s": experiment.File.Members.BoundMS / 1000}
}

// applyLinkFault begins or ends a fault of the links between sidecars, and sends the relay the states that all faults make of
// them.
func (ps *peers) applyLinkFault(s *plan.Step) (at int64, err error) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if s.Do != plan.Link {
		return ps.orderStreams(s)
	}
	if s.On {
		ps.activeFaults = append(ps.activeFaults, s)
	} else {
		ps.activeFaults = slices.DeleteFunc(ps.activeFaults, func(a *plan.Step) bool { return a.Fault == s.Fault })
	}
	for far := range ps.sentStates {
		for state, nears := range ps.changedStates(far) {
			took, err := ps.order(far, ctl.Order{Do: ctl.CommandLink, Nears: nears, State: &state})
			at = max(at, took)
			if err != nil {
				return at, err
			}
		}
	}
	return at, nil
}

// order gives the relay an order for the links to a sidecar.
func (ps *peers) order(far int, o ctl.Order) (at int64, err error) {
	o.UID = ps.fleet.plan.Sidecars[far].Name
	n, err := ps.relay.order(o)
	return n.At, err
}

// orderStreams resets or forgets all streams between the sidecars that a step affects and the others. The caller holds ps.mu.
func (ps *peers) orderStreams(s *plan.Step) (at int64, err error) {
	for far := range ps.sentStates {
		var nears []int
		for near := range ps.sentStates {
			if ps.affects(s, far, near) || ps.affects(s, near, far) {
				nears = append(nears, near)
			}
		}
		if len(nears) == 0 {
			continue
		}
		took, err := ps.order(far, ctl.Order{Do: ctl.Command(s.Do), Nears: nears})
		at = max(at, took)
		if err != nil {
			return at, err
		}
	}
	return at, nil
}

// changedStates are the near ends whose link to a sidecar has another state than the relay was sent, by the new state, which
// counts as sent from now on. The caller holds ps.mu.
func (ps *peers) changedStates(far int) map[link.State][]int {
	changed := map[link.State][]int{}
	for near := range ps.sentStates {
		if state := ps.linkState(far, near); state != ps.sentStates[far][near] {
			changed[state] = append(changed[state], near)
			ps.sentStates[far][near] = state
		}
	}
	return changed
}

// affects reports whether a fault affects the links of one, as the far end, from another.
func (ps *peers) affects(s *plan.Step, one, other int) bool {
	return one != other && slices.Contains(s.Nears, one) && (s.From == "" || ps.fleet.plan.Sidecars[other].Zone == s.From)
}

// linkState is what all faults make of the link from a near end to a far one. The caller holds ps.mu.
func (ps *peers) linkState(far, near int) (state link.State) {
	for _, s := range ps.activeFaults {
		far, near := ps.affects(s, far, near), ps.affects(s, near, far) // the second is of the near end's own calls, where directions are swapped
		if !far && !near {
			continue
		}
		e := s.Effect
		e.HoldFar, e.HoldNear = far && e.HoldFar || near && e.HoldNear, far && e.HoldNear || near && e.HoldFar
		addEffect(&state, e)
	}
	return state
}

func (ps *peers) releasePorts() {
	for _, p := range ps.reservations {
		_ = p.Close() // a descriptor that the lab's end would close as well
	}
}
