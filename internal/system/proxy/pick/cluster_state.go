package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// Server is one incarnation of a server, as described in the platform's list.
type Server struct {
	ID, Service, Address string
	Zone, Region         string
	Slots                int // requests that it runs concurrently; 0: not known
	Draining             bool
	Remaining            time.Duration // for a server that is withdrawn at short notice: the time until then; 0: not known
	WarmUpMax            time.Duration // maximum remaining warm-up time, as of ClusterState.Age before the update; 0: it is warm
	WarmUpMin            time.Duration // minimum remaining warm-up time, as of the same moment
}

// ClusterState is everything a Picker knows apart from traffic. A new state replaces the previous one as a whole.
type ClusterState struct {
	Age       time.Duration // since the durations in this state were current
	Config    *config.Config
	Evacuated map[string]bool // by zone
	Servers   []Server
	// ContactAge is the maximum time since an up-to-date control-plane node published this state.
	ContactAge time.Duration
	// ZoneChanges holds, for each zone, the sequence number of the control-state record that last
	// evacuated it or ended its evacuation; 0: there is none. ListCoversSeq is the number of the newest
	// record such that everything that happened to servers before it is certain to show in Servers.
	ZoneChanges   map[string]uint64
	ListCoversSeq uint64
	// Self is this proxy's name. Peers are the names of all live proxies, including this one, sorted: quotas such as that of a warming
	// server are divided among them. A proxy that is not among them, or does not know them yet, sends nothing to warming servers.
	Self  string
	Peers []string
	// DownCount is the number of proxies that were given up recently but may still be running. Quotas are divided among them, too.
	DownCount int
	// MembershipIncomplete is set if Peers may lack live proxies, because no control-plane node that knows them all has published them yet.
	MembershipIncomplete bool
	// Stale is set if others may have given this proxy up by now, because they have not heard from it or it has not heard from them.
	Stale bool
}

// service returns the configuration of a service; nil if there is none.
func (c *ClusterState) service(name string) *config.Service {
	if c.Config == nil {
		return nil
	}
	return c.Config.Services[name]
}

// routes returns the configured routes.
func (c *ClusterState) routes() []*config.Route {
	if c.Config == nil {
		return nil
	}
	return c.Config.Routes
}

// hasContactSince reports whether the control plane published the state at the time since or later.
func (c *ClusterState) hasContactSince(now, since Time) bool { return now-c.ContactAge-c.Age >= since }

// UpdateClusterState replaces the known configuration, servers, zones and proxies. What
// was learned about a server is kept if its id, service and address are unchanged.
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

// updateServers applies the list of servers, and adds them to their groups in list order.
func (p *Picker) updateServers(now Time) {
	for _, g := range p.groups {
		g.servers, g.service = g.servers[:0], nil
	}
	listed := make(map[string]*server, len(p.state.Servers))
	for _, entry := range p.state.Servers {
		if listed[entry.ID] != nil {
			continue // duplicate ids are one server
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

// serverFor returns the known server for a list entry, or a new one: if
// the service or address has changed, the id belongs to another server.
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

// updateServer applies the list entry of one server.
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

// updateGroups applies the configured services, and deletes groups that have no servers and are not configured.
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

// regionTable assigns regions small indexes that are stable for the lifetime of a Picker. Index 0 is the region of the proxy itself.
type regionTable struct {
	indexes map[string]int
	names   []string
}

func newRegionTable(own string) regionTable {
	return regionTable{indexes: map[string]int{own: 0}, names: []string{own}}
}

// index returns the index of a region, and assigns one if necessary.
func (t *regionTable) index(name string) int {
	index, ok := t.indexes[name]
	if !ok {
		index = len(t.names)
		t.indexes[name] = index
		t.names = append(t.names, name)
	}
	return index
}
