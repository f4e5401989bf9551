package main

import (
	"net"
	"strconv"

	"gradeusher.example/gradeusher/internal/system/directory"
	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/failuredetector"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// liveMembers are the members of an update that are neither down nor draining, in the forms that the components of the process need.
type liveMembers struct {
	nodes     []string
	watchable []failuredetector.Member // for the failure detector
	endpoints []directory.Endpoint     // of those that are ready for clients
}

// applyUpdate passes an update to the components of the process. The subscriber calls it from a single goroutine.
func (p *proxyProcess) applyUpdate(update distribution.Update) {
	live := p.liveMembers(update.Members)
	if configured, listed := update.State.Config != nil, update.HasList; !p.isSynced && (configured || listed) {
		p.log.WithField("configured", configured).WithField("listed", listed).Info("proxy: synchronizing")
	}
	p.dataPlane.UpdateClusterState(update.AsOf, pick.ClusterState{
		Config:               update.State.Config,
		Evacuated:            update.State.Evacuated,
		ZoneChanges:          zoneChanges(update),
		Servers:              update.Servers,
		ListCoversSeq:        update.ListCoversSeq,
		ContactAge:           update.ContactAge,
		Self:                 p.settings.Node,
		Peers:                live.nodes,
		DownCount:            update.DownCount,
		MembershipIncomplete: update.MembershipIncomplete,
		Stale:                update.Stale,
	})
	p.updateQuotas(update)
	p.subscriber.NotifyListUpdates(p.dataPlane.AwaitsServerList())
	p.directory.SetEndpoints(live.endpoints)
	p.agent.SetMembers(live.watchable)
	if !p.isSynced && update.State.Config != nil && update.HasList {
		p.markSynced(update)
	}
}

// markSynced starts accepting clients. It is called once there are a configuration and a list of servers.
func (p *proxyProcess) markSynced(update distribution.Update) {
	p.isSynced = true
	close(p.synced)
	p.subscriber.SetReady(true)
	p.log.WithField("revision", update.State.Config.Revision).WithField("servers", len(update.Servers)).Info("proxy: ready")
}

// liveMembers selects the live members. This proxy is not among the endpoints while it drains.
func (p *proxyProcess) liveMembers(members []softstate.Member) liveMembers {
	live := liveMembers{
		nodes:     make([]string, 0, len(members)),
		watchable: make([]failuredetector.Member, 0, len(members)),
		endpoints: make([]directory.Endpoint, 0, len(members)),
	}
	for _, m := range members {
		if m.Draining || m.Down {
			continue
		}
		live.nodes = append(live.nodes, m.Node)
		live.watchable = append(live.watchable, failuredetector.Member{
			Node:        m.Node,
			Incarnation: m.Incarnation,
			Address:     net.JoinHostPort(m.IP, strconv.Itoa(p.settings.ProxyPort())),
		})
		if m.Ready && (m.Node != p.settings.Node || !p.draining.Load()) {
			live.endpoints = append(live.endpoints, directory.Endpoint{Address: m.ClientAddress, Zone: m.Zone, Region: m.Region})
		}
	}
	return live
}

// zoneChanges returns, for each zone with servers, the number of the record that last changed it.
func zoneChanges(update distribution.Update) map[string]uint64 {
	changes := map[string]uint64{}
	for _, server := range update.Servers {
		changes[server.Zone] = update.State.ZoneChangeSeq(server.Zone)
	}
	return changes
}
