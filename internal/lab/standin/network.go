package standin

import (
	"maps"
	"slices"
	"sync"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

// network is the links of one far end, one for each near end. It is safe for concurrent use.
type network struct {
	mu           sync.Mutex
	links        map[int]*link.Link
	states       map[int]link.State // by near end; a link without a state of its own has defaultState
	defaultState link.State
}

// newNetwork returns a network whose links have no faults.
func newNetwork() *network {
	return &network{links: map[int]*link.Link{}, states: map[int]link.State{}}
}

// link returns the link to a near end, which it makes at the first call.
func (n *network) link(near int) *link.Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if existing := n.links[near]; existing != nil {
		return existing
	}
	state, ok := n.states[near]
	if !ok {
		state = n.defaultState
	}
	created := link.New()
	created.Set(state)
	n.links[near] = created
	return created
}

// setState changes the state of the links to some near ends. No nears stand for all, also for those that come later.
func (n *network) setState(nears []int, state link.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(nears) == 0 {
		n.defaultState, n.states = state, map[int]link.State{}
		for _, changed := range n.links {
			changed.Set(state)
		}
	}
	for _, near := range nears {
		n.states[near] = state
		if changed := n.links[near]; changed != nil {
			changed.Set(state)
		}
	}
}

// apply applies the part of an order that concerns links.
func (n *network) apply(order ctl.Order) {
	switch {
	case order.Do == ctl.CommandReset:
		n.forEach(order.Nears, (*link.Link).Reset)
	case order.Do == ctl.CommandForget:
		n.forEach(order.Nears, (*link.Link).Forget)
	case order.State != nil:
		n.setState(order.Nears, *order.State)
	}
}

// forEach calls visit with the links to some near ends; no nears stand for all. It doesn't hold the lock meanwhile.
func (n *network) forEach(nears []int, visit func(*link.Link) int) {
	for _, visited := range n.linksTo(nears) {
		visit(visited)
	}
}

// linksTo are the links to some near ends that there are; no nears stand for all.
func (n *network) linksTo(nears []int) []*link.Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(nears) == 0 {
		return slices.Collect(maps.Values(n.links))
	}
	var links []*link.Link
	for _, near := range nears {
		if existing := n.links[near]; existing != nil {
			links = append(links, existing)
		}
	}
	return links
}
