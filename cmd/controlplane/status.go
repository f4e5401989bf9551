package main

import (
	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/invariant"
	"gradeusher.example/gradeusher/internal/system/ownership"
	"gradeusher.example/gradeusher/internal/system/quota/quotarpc"
	"gradeusher.example/gradeusher/internal/system/replication"
)

// status returns the response to GET /status, an admin.NodeStatus.
func (n *node) status() any {
	view := n.chain.View()
	state, _ := n.chain.Committed()
	out := admin.NodeStatus{
		Version:    admin.Version,
		Node:       n.settings.Node,
		Observer:   !n.settings.HasDisk(),
		Current:    n.chain.Current(),
		Capacity:   capacityStatus(n.chain.Capacity()),
		Epoch:      view.Epoch,
		Number:     state.Seq,
		Revision:   state.Revision(),
		Evacuated:  admin.EvacuatedZones(state),
		ListAgeMS:  -1,
		Proxies:    []admin.ProxyProgress{},
		Violations: invariant.Violations(),
	}
	_, out.Chain = n.chain.ChainAddresses()
	out.ListOwner = ownership.Owner(listRole, out.Chain)
	out.Quota = n.quotaStatus(out.Chain)
	for _, m := range view.Voters {
		out.Voters = append(out.Voters, admin.Voter{Address: m.Addr, Zone: m.Zone, Region: m.Region})
	}
	if n.distributor != nil {
		n.distributor.addStatus(&out)
	}
	return out
}

// quotaStatus returns which of the chain's replicas is the allocator and, if it is this node, the shares that it has leased.
func (n *node) quotaStatus(chain []string) *admin.QuotaStatus {
	usages, learning := n.allocation.Usage()
	return &admin.QuotaStatus{
		Owner:    ownership.Owner(quotarpc.Role, chain),
		Learning: learning,
		Tenants:  admin.TenantQuotas(usages),
	}
}

// capacityStatus converts a capacity for the status.
func capacityStatus(c replication.Capacity) *admin.Capacity {
	return &admin.Capacity{
		ToleranceMet:          c.ToleranceMet,
		Nodes:                 c.Nodes,
		Observers:             c.Observers,
		Voters:                c.Voters,
		VotersTimedOut:        c.TimedOutVoters,
		VotersDesired:         c.VotersDesired,
		ChainReplicas:         c.ChainReplicas,
		ChainReplicasRequired: c.ChainReplicasRequired,
		Remedy:                c.Remedy,
	}
}

// addStatus adds the proxies that subscribe to this node, all live proxies, and the size and age of the platform's list.
func (d *distributor) addStatus(out *admin.NodeStatus) {
	servers, age, listed := d.server.List()
	out.Servers = len(servers)
	if listed {
		out.ListAgeMS = age.Milliseconds()
	}
	for _, p := range d.server.Subscribers() {
		out.Proxies = append(out.Proxies, admin.ProxyProgress{Node: p.Node, Acknowledged: p.Seq, SinceLastCallMS: p.SinceLastCall.Milliseconds()})
	}
	for _, m := range d.server.Members() {
		if !m.Down && !m.Draining {
			out.Members = append(out.Members, m.Node)
		}
	}
}
