package main

import (
	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/invariant"
	"gradeusher.example/gradeusher/internal/system/ownership"
	"gradeusher.example/gradeusher/internal/system/replication"
)

// status is what staff see of this keeper.
func (k *keeper) status() any {
	view := k.chain.View()
	state, _ := k.chain.Committed()
	out := admin.NodeStatus{Version: admin.Version, Node: k.settings.Node, Observer: !k.settings.HasDisk(), Current: k.chain.Current(),
		Capacity: capacity(k.chain.Capacity()), Epoch: view.Epoch, Number: state.Seq, Revision: state.Revision(), Evacuated: admin.EvacuatedZones(state), ListAgeMS: -1,
		Proxies: []admin.ProxyProgress{}, Violations: invariant.Violations()}
	_, out.Chain = k.chain.Live()
	out.ListOwner = ownership.Owner(listDuty, out.Chain)
	for _, m := range view.Voters {
		out.Voters = append(out.Voters, admin.Voter{Address: m.Addr, Zone: m.Zone, Region: m.Region})
	}
	if k.feed != nil {
		k.feed.tell(&out)
	}
	return out
}

func capacity(c replication.Capacity) *admin.Capacity {
	return &admin.Capacity{ToleranceMet: c.ToleranceMet, Nodes: c.Nodes, Observers: c.Observers, Voters: c.Voters, VotersTimedOut: c.SilentVoters,
		VotersDesired: c.VotersDesired, ChainReplicas: c.ChainReplicas, ChainReplicasRequired: c.ChainReplicasRequired, Remedy: c.Remedy}
}

// tell adds what a keeper that feeds proxies knows of them and of the platform's list.
func (f *feed) tell(out *admin.NodeStatus) {
	servers, age, listed := f.hub.List()
	out.Servers = len(servers)
	if listed {
		out.ListAgeMS = age.Milliseconds()
	}
	for _, p := range f.hub.Subscribers() {
		out.Proxies = append(out.Proxies, admin.ProxyProgress{Node: p.Node, Acknowledged: p.Seq, SinceLastCallMS: p.SinceLastCall.Milliseconds()})
	}
	for _, m := range f.hub.Members() {
		if !m.Down && !m.Draining {
			out.Members = append(out.Members, m.Node)
		}
	}
}
