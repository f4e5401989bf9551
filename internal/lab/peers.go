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
	relayPorts   []int                   // ports of the relay, by index of the sidecar behind them

	mu           sync.Mutex
	activeFaults []*plan.Step   // faults of links
	sentStates   [][]link.State // as the relay has them, by the far and then the near sidecar
}

// startPeers starts the relay, reserves a port for each sidecar, and opens a port of the relay in front of each. All are reserved before
// the first port of the relay is opened, which is then none of theirs.
func (f *Fleet) startPeers() (err error) {
	count := len(f.plan.Sidecars)
	network := &peers{fleet: f, sentStates: make([][]link.State, count)}
	f.peers = network
	if network.relay, err = f.startStandIn("peers", []string{"peers", "--gossip", f.records(recordsOfGossip, 0)}); err != nil {
		return err
	}
	for index := range count {
		reservation, err := link.Reserve(link.Near(index))
		if err != nil {
			return err
		}
		network.reservations = append(network.reservations, reservation)
		network.sentStates[index] = make([]link.State, count)
	}
	for index, planned := range f.plan.Sidecars {
		order := ctl.Order{Do: ctl.CommandFront, UID: planned.Name, Front: network.reservations[index].Addr.String()}
		front, err := network.relay.order(order)
		if err != nil {
			return err
		}
		network.relayPorts = append(network.relayPorts, front.Ports[0])
	}
	return nil
}

const maxJoinAddresses = 4 // of other members, in a sidecar's configuration

// memberConfig is the part of a sidecar's configuration that concerns the other members: it joins some, drawn, of those that run from the
// start.
func (ps *peers) memberConfig(index int) map[string]any {
	experiment := ps.fleet.plan
	own := link.Near(index).String()
	var initial []int
	for other, planned := range experiment.Sidecars {
		if other != index && planned.Started() == 0 {
			initial = append(initial, other)
		}
	}
	rng := rand.New(rand.NewPCG(experiment.Seed, uint64(index)))
	rng.Shuffle(len(initial), func(a, b int) { initial[a], initial[b] = initial[b], initial[a] })
	join := []string{}
	for _, other := range initial[:min(maxJoinAddresses, len(initial))] {
		join = append(join, fmt.Sprintf("%s:%d", own, ps.relayPorts[other]))
	}
	return map[string]any{
		"listen":    ps.reservations[index].Addr.String(),
		"advertise": fmt.Sprintf("%s:%d", own, ps.relayPorts[index]),
		"reach":     own,
		"join":      join,
		"bound_s":   experiment.File.Members.BoundMS / 1000,
	}
}

// applyLinkFault begins or ends a fault of the links between sidecars, and sends the relay the states of links that changed by it. It
// returns when the last one had.
func (ps *peers) applyLinkFault(step *plan.Step) (at int64, err error) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if step.Do != plan.Link {
		return ps.orderStreams(step)
	}
	if step.On {
		ps.activeFaults = append(ps.activeFaults, step)
	} else {
		ps.activeFaults = slices.DeleteFunc(ps.activeFaults, func(active *plan.Step) bool { return active.Fault == step.Fault })
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

// order gives the relay an order for the links to a sidecar, and returns when it took effect.
func (ps *peers) order(far int, order ctl.Order) (at int64, err error) {
	order.UID = ps.fleet.plan.Sidecars[far].Name
	event, err := ps.relay.order(order)
	return event.At, err
}

// orderStreams resets or forgets all streams between the sidecars that a step affects and the others. The caller holds ps.mu.
func (ps *peers) orderStreams(step *plan.Step) (at int64, err error) {
	for far := range ps.sentStates {
		var nears []int
		for near := range ps.sentStates {
			if ps.affects(step, far, near) || ps.affects(step, near, far) {
				nears = append(nears, near)
			}
		}
		if len(nears) == 0 {
			continue
		}
		took, err := ps.order(far, ctl.Order{Do: ctl.Command(step.Do), Nears: nears})
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

// affects reports whether a fault acts on a sidecar and its links to another one.
func (ps *peers) affects(step *plan.Step, target, other int) bool {
	reachesZone := step.From == "" || ps.fleet.plan.Sidecars[other].Zone == step.From
	return target != other && slices.Contains(step.Nears, target) && reachesZone
}

// linkState is what all faults make of the link from a near end to a far one. A fault that acts on the near end has its directions swapped:
// what it holds on the way to its target is here on the way to the near end. The caller holds ps.mu.
func (ps *peers) linkState(far, near int) (state link.State) {
	for _, step := range ps.activeFaults {
		onFar, onNear := ps.affects(step, far, near), ps.affects(step, near, far)
		if !onFar && !onNear {
			continue
		}
		effect := step.Effect
		effect.HoldFar = onFar && step.Effect.HoldFar || onNear && step.Effect.HoldNear
		effect.HoldNear = onFar && step.Effect.HoldNear || onNear && step.Effect.HoldFar
		addEffect(&state, effect)
	}
	return state
}

// releasePorts releases the ports of all sidecars and lying members. Errors are left alone: the lab's end closes the descriptors as well.
func (ps *peers) releasePorts() {
	for _, reservation := range ps.reservations {
		_ = reservation.Close()
	}
}
