package lab

import (
	"slices"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// applyLinkFault begins or ends a fault of a node's links, and sends the relay the state that all faults make of every link. It returns
// when the last one had it.
func (ks *registryNodes) applyLinkFault(node *registryNode, step *plan.Step) (at int64, err error) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if step.Do != plan.Link {
		return ks.orderStreams(node, step)
	}
	if step.On {
		begun := *step
		begun.Sidecar = plan.NodeIndex(node.index) // the step may address the leader, who may be another one later
		ks.activeFaults = append(ks.activeFaults, &begun)
	} else {
		ks.activeFaults = slices.DeleteFunc(ks.activeFaults, func(active *plan.Step) bool {
			return active.Fault == step.Fault && active.Sidecar == plan.NodeIndex(node.index)
		})
	}
	for _, far := range ks.nodes {
		sentAt, err := ks.sendStates(far)
		if err != nil {
			return sentAt, err
		}
		at = max(at, sentAt)
	}
	return at, nil
}

// sendStates sends the relay the states of all links to a node, and returns when the last one had its state. The caller holds ks.mu.
func (ks *registryNodes) sendStates(far *registryNode) (at int64, err error) {
	states := map[link.State][]int{}
	for near := range ks.fleet.plan.Nears() {
		state := ks.linkState(far, near)
		states[state] = append(states[state], near)
	}
	for state, nears := range states {
		event, err := ks.relay.order(ctl.Order{Do: ctl.CommandLink, UID: far.name, Nears: nears, State: &state})
		if err != nil {
			return event.At, err
		}
		at = max(at, event.At)
	}
	return at, nil
}

// orderStreams resets or forgets the streams to a node, and those from it to its peers where the step affects peers.
func (ks *registryNodes) orderStreams(node *registryNode, step *plan.Step) (at int64, err error) {
	command := ctl.Command(step.Do)
	event, err := ks.relay.order(ctl.Order{Do: command, UID: node.name, Nears: ks.affectedNears(node, step.From)})
	if err != nil || !affectsPeers(step) {
		return event.At, err
	}
	own := []int{ks.fleet.plan.NearNode(node.index)}
	for _, other := range ks.nodes {
		if other == node {
			continue
		}
		if event, err = ks.relay.order(ctl.Order{Do: command, UID: other.name, Nears: own}); err != nil {
			return event.At, err
		}
	}
	return event.At, nil
}

// affectsPeers reports whether a fault of a node's links acts on those to its peers.
func affectsPeers(step *plan.Step) bool { return step.From == "" || step.From == plan.FromPeers }

// affectedNears are the near ends of a node's links on which a fault from some of its callers (plan.FromPeers and the others) acts.
func (ks *registryNodes) affectedNears(node *registryNode, from string) (nears []int) {
	for near := range ks.fleet.plan.Nears() {
		if ks.peerAt(near) != node && ks.affects(near, from) {
			nears = append(nears, near)
		}
	}
	return nears
}

// affects reports whether a fault of a node's links from some of its callers acts on the link from a near end.
func (ks *registryNodes) affects(near int, from string) bool {
	experiment := ks.fleet.plan
	switch from {
	case plan.FromPeers:
		return ks.peerAt(near) != nil
	case plan.FromClients:
		return ks.peerAt(near) == nil
	case plan.FromSidecars:
		return near < len(experiment.Sidecars)
	case plan.FromServers:
		return near >= experiment.NearHost(0) && near < experiment.NearHost(experiment.Hosts())
	}
	return true
}

// peerAt is the registry node that a near end is; nil: a client.
func (ks *registryNodes) peerAt(near int) *registryNode {
	index := near - ks.fleet.plan.NearNode(0)
	if index >= 0 && index < len(ks.nodes) {
		return ks.nodes[index]
	}
	return nil
}

// linkState is what all faults make of the link from a near end to a node. A fault that acts on the near end, a peer, has its directions
// swapped: what it holds on the way to its target is here on the way to the near end. The caller holds ks.mu.
func (ks *registryNodes) linkState(far *registryNode, near int) (state link.State) {
	peer := ks.peerAt(near)
	for _, step := range ks.activeFaults {
		target, _ := plan.NodeOf(step.Sidecar) // always a node's, see applyLinkFault
		effect := step.Effect
		switch {
		case target == far.index && ks.affects(near, step.From):
		case peer != nil && target == peer.index && affectsPeers(step):
			effect.HoldFar, effect.HoldNear = effect.HoldNear, effect.HoldFar
		default:
			continue
		}
		addEffect(&state, effect)
	}
	return state
}
