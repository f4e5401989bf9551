package pick

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/retrybudget"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/rotation"
)

// Picker decides for one proxy. It is not safe for concurrent use: the caller locks. The zero value is not usable.
type Picker struct {
	settings      Settings
	state         ClusterState
	started       Time
	hasState      bool // SetWorld was called
	servers       map[string]*server
	groups        map[string]*group // by service
	rotations     rotation.Table
	regionIndexes map[string]int // small numbers for regions; 0 is this proxy's own
	regionNames   []string       // of the regions, by number
	attempts      map[uint64]*attempt
	freeAttempts  *attempt // sends to be used again
	lastTicket    uint64
	costs         []cost            // scratch, one for each server of the group that is looked at
	prompt        prefixcache.Chain // scratch, of the request that is looked at
	costModel     costModel
	fleet         fleetView
	warmUps       warmUpPacer
	peerLoadsAt   Time // of the last SetLoads
	prefixes      *prefixcache.Index
	prefillRate   prefillRate
	stats         Stats
}

// Stats count what a Picker has done since it was made. They only rise.
type Stats struct {
	WarmUpStarts uint64 // servers that turned cold or may have, as far as this proxy knows
	WarmUpSends  uint64 // requests chosen for a server that this proxy took for cold
	WarmUpEnds   uint64 // first requests chosen for such a server once this proxy took it for warm
}

// Stats gives the counts as they are now.
func (p *Picker) Stats() Stats { return p.stats }

// New makes a Picker that knows no world yet: it refuses all until SetWorld.
func New(s Settings) *Picker {
	s.setDefaults()
	p := &Picker{
		settings:      s,
		servers:       map[string]*server{},
		groups:        map[string]*group{},
		regionIndexes: map[string]int{s.Region: 0},
		regionNames:   []string{s.Region},
		attempts:      map[uint64]*attempt{},
		prefixes:      prefixcache.NewIndex(),
		prefillRate:   prefillRate{tokensPerMS: s.PrefillRate},
	}
	p.warmUps = warmUpPacer{settings: &p.settings, state: &p.state, fleet: &p.fleet, stats: &p.stats, zoneChanges: zoneChanges{}}
	return p
}

// UpdateClusterState replaces what is known of configuration, servers, zones and proxies. Servers whose id stays keep what was
// learned of them.
func (p *Picker) UpdateClusterState(now Time, w ClusterState) {
	if !p.hasState {
		p.hasState, p.started = true, now
	}
	reconfigured := p.state.Config != w.Config
	before := p.state
	p.state = w
	p.warmUps.zoneChanges.update(now, w.ZoneChanges)
	p.fleet.update(now, &before, &p.state)

	listed := make(map[string]*server, len(w.Servers))
	for _, g := range p.groups {
		g.servers, g.service = g.servers[:0], nil
	}
	for i := range w.Servers {
		told := &w.Servers[i]
		if listed[told.ID] != nil {
			continue // an id that is listed twice is one server
		}
		s := p.servers[told.ID]
		if s == nil || s.Service != told.Service || s.Address != told.Address {
			if s != nil {
				p.prefixes.RemoveServer(&s.prefixes)
			}
			s = &server{relativeSpeed: 1, hash: rendezvous.Hash(told.ID)}
		}
		p.updateServer(now, s, *told)
		listed[told.ID] = s
	}
	for id, s := range p.servers {
		if listed[id] != s {
			p.prefixes.RemoveServer(&s.prefixes)
		}
	}
	p.servers = listed
	if w.Config != nil {
		for name, sv := range w.Config.Services {
			p.group(name).service = sv
		}
	}
	for name, g := range p.groups {
		p.assignPromptPools(now, g)
		if len(g.servers) == 0 && (w.Config == nil || w.Config.Services[name] == nil) {
			delete(p.groups, name)
		}
	}
	if reconfigured {
		var routes []*config.Route
		if w.Config != nil {
			routes = w.Config.Routes
		}
		p.rotations.Update(routes)
	}
}

// updateServer takes what the platform's updateServer tells of one server.
func (p *Picker) updateServer(now Time, s *server, told Server) {
	if told.Region == "" {
		told.Region = p.settings.Regions[told.Zone]
	}
	s.Server = told
	s.WarmUpMax = max(0, s.WarmUpMax-p.state.Age)
	s.WarmUpMin = max(0, s.WarmUpMin-p.state.Age)
	s.regionIndex = p.regionIndex(told.Region)
	p.warmUps.update(now, s)
	if s.misdirected && now-s.misdirectedAt > misdirectedTimeout {
		s.misdirected = false
	}
	p.warmUps.updateSender(now, s)
	s.listed = true
	g := p.group(told.Service)
	s.group = g
	g.servers = append(g.servers, s)
}

// regionIndex gives a small number to a region, stable for the Picker's life.
func (p *Picker) regionIndex(name string) int {
	n, ok := p.regionIndexes[name]
	if !ok {
		n = len(p.regionIndexes)
		p.regionIndexes[name] = n
		p.regionNames = append(p.regionNames, name)
	}
	return n
}

func (p *Picker) group(service string) *group {
	g := p.groups[service]
	if g == nil {
		g = &group{name: service, cursor: int(rendezvous.Weight(p.settings.Seed, rendezvous.Hash(service)) % 1024), serviceTimeMS: 60, capacityPerSlot: maxCapacityPerSlot,
			idleTimeout: DefaultIdleTimeout}
		g.budget = retrybudget.New(p.settings.RetryWindow)
		p.groups[service] = g
	}
	return g
}

// UpdatePeerLoads replaces what all other proxies together have outstanding, by server id, and their demands by key.
func (p *Picker) UpdatePeerLoads(now Time, loads map[string]Load) {
	p.peerLoadsAt = now
	for id, s := range p.servers {
		s.peerLoad = loads[id]
		if p.bringsLongPrompts(s.peerLoad) {
			s.group.mix.RecordLong(now)
		}
	}
	for name, g := range p.groups {
		if g.service == nil || g.service.Engine == nil {
			continue
		}
		g.peerDemand = loads[demandKey(name)]
		p.assignPromptPools(now, g)
	}
}

// Loads tells what this proxy has outstanding, by server id, to be shared with the other proxies. The map is the caller's.
func (p *Picker) Loads() map[string]Load {
	m := make(map[string]Load, len(p.servers))
	for id, s := range p.servers {
		if s.ownLoad != (Load{}) {
			m[id] = s.ownLoad
		}
	}
	return m
}

// PromptDemands tells the prompt tokens that this proxy had read of late for long prompts (Prefill) and for short ones (Tokens), by
// keys that no server's id equals. They are shared with the loads, and come back summed in SetLoads. The map is the caller's.
func (p *Picker) PromptDemands() map[string]Load {
	m := map[string]Load{}
	for name, g := range p.groups {
		if l := (Load{Prefill: int64(g.demand.Long), Tokens: int64(g.demand.Short)}); l != (Load{}) {
			m[demandKey(name)] = l
		}
	}
	return m
}

// Route finds the rule for a request: of the host's routes the one with the longest prefix of the path; nil: none.
func (p *Picker) Route(host, path string) *config.Route {
	if p.state.Config == nil {
		return nil
	}
	return p.state.Config.Match(host, path)
}

// RecordRequest counts a client's request for its services' budget of repeats. Call it once for each request that was read.
func (p *Picker) RecordRequest(now Time, r *Request) {
	total := 0.0
	for _, s := range r.Route.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return
	}
	for _, s := range r.Route.Shares {
		if s.Weight > 0 {
			p.group(s.Service).budget.RecordRequest(now, s.Weight/total)
		}
	}
}

// sortedIDs lists the known servers, for output that does not change from call to call.
func (p *Picker) sortedIDs() []string {
	ids := make([]string, 0, len(p.servers))
	for id := range p.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
