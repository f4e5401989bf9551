package lab

import (
	"slices"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// applyLinkFault begins or ends a fault of a node's links, and sends the relay the state that all faults make of every link.
func (ks *registryNodes) applyLinkFault(k *registryNode, s *plan.Step) (at int64, err error) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if s.Do != plan.Link {
		return ks.orderStreams(k, s)
	}
	if s.On {
		on := *s
		on.Sidecar = plan.NodeIndex(k.index)
		ks.activeFaults = append(ks.activeFaults, &on)
	} else {
		ks.activeFaults = slices.DeleteFunc(ks.activeFaults, func(a *plan.Step) bool {
			return a.Fault == s.Fault && a.Sidecar == plan.NodeIndex(k.index)
		})
	}
	for _, far := range ks.nodes {
		states := map[link.State][]int{}
		for near := range ks.fleet.plan.Nears() {
			state := ks.linkState(far, near)
			states[state] = append(states[state], near)
		}
		for state, nears := range states {
			n, err := ks.relay.order(ctl.Order{Do: ctl.CommandLink, UID: far.name, Nears: nears, State: &state})
			if err != nil {
				return n.At, err
			}
			at = max(at, n.At)
		}
	}
	return at, nil
}

// orderStreams resets or forgets the streams to a node, and those from it to its peers where the step affects peers.
func (ks *registryNodes) orderStreams(k *registryNode, s *plan.Step) (at int64, err error) {
	event, err := ks.relay.order(ctl.Order{Do: ctl.Command(s.Do), UID: k.name, Nears: ks.affectedNears(k, s.From)})
	affectsPeers := s.From == "" || s.From == plan.FromPeers
	if err != nil || !affectsPeers {
		return event.At, err
	}
	own := []int{ks.fleet.plan.NearNode(k.index)}
	for _, other := range ks.nodes {
		if other == k {
			continue
		}
		if event, err = ks.relay.order(ctl.Order{Do: ctl.Command(s.Do), UID: other.name, Nears: own}); err != nil {
			return event.At, err
		}
	}
	return event.At, nil
}

// affectedNears are the near ends of a node's links that a fault of its links from some of its callers affects.
func (ks *registryNodes) affectedNears(k *registryNode, from string) (all []int) {
	for near := range ks.fleet.plan.Nears() {
		if peer := ks.peerAt(near); peer != k && ks.affects(near, from) {
			all = append(all, near)
		}
	}
	return all
}

// affects reports whether a fault of a node's links from some of its callers affects the link from a near end.
func (ks *registryNodes) affects(near int, from string) bool {
	p := ks.fleet.plan
	switch from {
	case plan.FromPeers:
		return ks.peerAt(near) != nil
	case plan.FromClients:
		return ks.peerAt(near) == nil
	case plan.FromSidecars:
		return near < len(p.Sidecars)
	case plan.FromServers:
		return near >= p.NearHost(0) && near < p.NearHost(p.Hosts())
	}
	return true
}

// peerAt is the registry node that a near end is; nil: a client.
func (ks *registryNodes) peerAt(near int) *registryNode {
	if i := near - ks.fleet.plan.NearNode(0); i >= 0 && i < len(ks.nodes) {
		return ks.nodes[i]
	}
	return nil
}

// linkState is what all faults make of the link from a near end to a node. The caller holds ks.mu.
func (ks *registryNodes) linkState(far *registryNode, near int) (state link.State) {
	peer := ks.peerAt(near)
	for _, s := range ks.activeFaults {
		e := s.Effect
		switch k, _ := plan.NodeOf(s.Sidecar); {
		case k == far.index && ks.affects(near, s.From):
		case peer != nil && k == peer.index && (s.From == "" || s.From == plan.FromPeers): // its own calls, where directions are swapped
			e.HoldFar, e.HoldNear = e.HoldNear, e.HoldFar
		default:
			continue
		}
		addEffect(&state, e)
	}
	return state
}
