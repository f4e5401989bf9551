package standin

import (
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

func newNetwork() *network {
	return &network{links: map[int]*link.Link{}, states: map[int]link.State{}}
}

// link returns the link to a near end, which it makes at the first call.
func (n *network) link(near int) *link.Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[near]
	if l == nil {
		l = link.New()
		n.links[near] = l
		if s, ok := n.states[near]; ok {
			l.Set(s)
		} else {
			l.Set(n.defaultState)
		}
	}
	return l
}

// set changes the state of the links to some near ends; no nears stands for all, also for those that come later.
func (n *network) set(nears []int, s link.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(nears) == 0 {
		n.defaultState, n.states = s, map[int]link.State{}
		for _, l := range n.links {
			l.Set(s)
		}
	}
	for _, i := range nears {
		n.states[i] = s
		if l := n.links[i]; l != nil {
			l.Set(s)
		}
	}
}

// apply applies the part of an order that concerns links.
func (n *network) apply(o ctl.Order) {
	switch {
	case o.Do == ctl.CommandReset:
		n.forEach(o.Nears, (*link.Link).Reset)
	case o.Do == ctl.CommandForget:
		n.forEach(o.Nears, (*link.Link).Forget)
	case o.State != nil:
		n.set(o.Nears, *o.State)
	}
}

// forEach calls visit with the links to some near ends; no nears stands for all.
func (n *network) forEach(nears []int, visit func(*link.Link) int) {
	n.mu.Lock()
	var links []*link.Link
	for _, i := range nears {
		if l := n.links[i]; l != nil {
			links = append(links, l)
		}
	}
	if len(nears) == 0 {
		for _, l := range n.links {
			links = append(links, l)
		}
	}
	n.mu.Unlock()
	for _, l := range links {
		visit(l)
	}
}
