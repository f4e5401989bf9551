package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// Server is one incarnation of a server, as the platform's list describes it.
type Server struct {
	ID, Service, Address string
	Zone, Region         string
	Slots                int // requests that it runs at once; 0: not known
	Draining             bool
	Remaining            time.Duration // of a server withdrawn at short notice: what is left to it; 0: not known
	WarmUpMax            time.Duration // how much longer it warms up at most, counted from ClusterState.Age before the update; 0: it is warm
	WarmUpMin            time.Duration // and at least
}

// ClusterState is what is known beside traffic. A new one replaces the former as a whole.
type ClusterState struct {
	Age       time.Duration // since the durations in it were right
	Config    *config.Config
	Evacuated map[string]bool // zones
	Servers   []Server
	// ContactAge is how long ago, at most, a current control-plane node published this state.
	ContactAge time.Duration
	// ZoneChanges has for each zone the sequence number of the record of the control state that last evacuated it or ended its evacuation;
	// 0: none did. ListCoversSeq is the number of the newest record before which all that happened to servers certainly shows in Servers.
	ZoneChanges   map[string]uint64
	ListCoversSeq uint64
	// Self is this proxy's name and Peers the names of all live proxies, this one included, sorted: quotas such as a warming server's are
	// divided over them. A proxy that is not among them, or does not know them yet, sends nothing to warming servers.
	Self  string
	Peers []string
	// DownCount is how many proxies were given up lately, which may live on. Quotas are divided over them, too.
	DownCount int
	// MembershipIncomplete says that Peers may lack live proxies, as no control-plane node that knows them all has published them yet.
	MembershipIncomplete bool
	// Stale says that others may have given this proxy up by now, as it has not been heard from or has heard nothing.
	Stale bool
}

// service is what the configuration says of a service; nil: nothing.
func (c *ClusterState) service(name string) *config.Service {
	if c.Config == nil {
		return nil
	}
	return c.Config.Services[name]
}

// routes are the configured routes.
func (c *ClusterState) routes() []*config.Route {
	if c.Config == nil {
		return nil
	}
	return c.Config.Routes
}

// hasContactSince reports whether the state shows what the control plane knew at a time or later.
func (c *ClusterState) hasContactSince(now, since Time) bool { return now-c.ContactAge-c.Age >= since }

// UpdateClusterState replaces what is known of configuration, servers, zones and proxies. Servers whose id, service and address stay keep
// what was learned of them.
func (p *Picker) UpdateClusterState(now Time, state ClusterState) {
	if !p.hasState {
		p.hasState, p.startedAt = true, now
	}
	before := p.state
	p.state = state
	p.warmUps.zoneChanges.update(now, state.ZoneChanges)
	p.fleet.update(now, &before, &p.state)
	p.updateServers(now)
	p.updateGroups(now)
	if before.Config != state.Config {
		p.rotations.Update(state.routes())
	}
}

// updateServers takes in the list of servers, and puts them into their groups in its order.
func (p *Picker) updateServers(now Time) {
	for _, g := range p.groups {
		g.servers, g.service = g.servers[:0], nil
	}
	listed := make(map[string]*server, len(p.state.Servers))
	for _, entry := range p.state.Servers {
		if listed[entry.ID] != nil {
			continue // an id that is listed twice is one server
		}
		s := p.serverFor(&entry)
		p.updateServer(now, s, entry)
		listed[entry.ID] = s
	}
	for id, s := range p.servers {
		if listed[id] != s {
			p.prefixes.RemoveServer(&s.prefixes)
		}
	}
	p.servers = listed
}

// serverFor is the known server that a list's entry describes, or a new one: where service or address changed, another server has the id.
func (p *Picker) serverFor(entry *Server) *server {
	known := p.servers[entry.ID]
	if known != nil && known.Service == entry.Service && known.Address == entry.Address {
		return known
	}
	if known != nil {
		p.prefixes.RemoveServer(&known.prefixes)
	}
	return &server{relativeSpeed: 1, hash: rendezvous.Hash(entry.ID)}
}

// updateServer takes in what the list says of one server.
func (p *Picker) updateServer(now Time, known *server, entry Server) {
	if entry.Region == "" {
		entry.Region = p.settings.Regions[entry.Zone]
	}
	known.Server = entry
	known.WarmUpMax = max(0, known.WarmUpMax-p.state.Age)
	known.WarmUpMin = max(0, known.WarmUpMin-p.state.Age)
	known.regionIndex = p.regions.index(entry.Region)
	p.warmUps.update(now, known)
	if known.misdirected && now-known.misdirectedAt > misdirectedTimeout {
		known.misdirected = false
	}
	p.warmUps.updateSender(now, known)
	known.listed = true
	known.group = p.group(entry.Service)
	known.group.servers = append(known.group.servers, known)
}

// updateGroups takes in the configured services, and forgets services that neither have servers nor are configured.
func (p *Picker) updateGroups(now Time) {
	if p.state.Config != nil {
		for name, service := range p.state.Config.Services {
			p.group(name).service = service
		}
	}
	for name, g := range p.groups {
		p.assignPromptPools(now, g)
		if len(g.servers) == 0 && p.state.service(name) == nil {
			delete(p.groups, name)
		}
	}
}

// regionTable gives regions small numbers, stable for a Picker's life. 0 is the region of the proxy itself.
type regionTable struct {
	indexes map[string]int
	names   []string
}

func newRegionTable(own string) regionTable {
	return regionTable{indexes: map[string]int{own: 0}, names: []string{own}}
}

// index is the number of a region, a new one if need be.
func (t *regionTable) index(name string) int {
	index, ok := t.indexes[name]
	if !ok {
		index = len(t.names)
		t.indexes[name] = index
		t.names = append(t.names, name)
	}
	return index
}
