package main

import (
	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/replication"
)

// controlChain adapts this node's replica or observer of the chain to the interfaces of the node's other components.
type controlChain struct {
	*replication.Node
}

// ServerLocations returns the voters of the view: first the chain's replicas in chain order, then the others.
func (c *controlChain) ServerLocations() []distribution.ServerLocation {
	view := c.View()
	locations := make([]distribution.ServerLocation, 0, len(view.Voters))
	add := func(m replication.Member) {
		locations = append(locations, distribution.ServerLocation{Address: m.Addr, Zone: m.Zone, Region: m.Region})
	}
	inChain := map[replication.ID]bool{}
	for _, id := range view.Chain {
		if m, ok := view.Voter(id); ok {
			inChain[id] = true
			add(m)
		}
	}
	for _, m := range view.Voters {
		if !inChain[m.ID] {
			add(m)
		}
	}
	return locations
}

// Addresses implements distribution.Source. It returns the addresses of ServerLocations.
func (c *controlChain) Addresses() []string {
	locations := c.ServerLocations()
	addresses := make([]string, 0, len(locations))
	for _, p := range locations {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// ChainAddresses returns the epoch of the view and the addresses of the chain's replicas, to which singleton roles are assigned.
func (c *controlChain) ChainAddresses() (epoch uint64, addresses []string) {
	view := c.View()
	for _, id := range view.Chain {
		if m, ok := view.Voter(id); ok {
			addresses = append(addresses, m.Addr)
		}
	}
	return view.Epoch, addresses
}
