package pick

import (
	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/rotation"
)

// ownRegion is the index of this proxy's region.
const ownRegion = 0

// Picker decides for one proxy. It is not safe for concurrent use: the caller locks. The zero value is not usable; make it with New.
type Picker struct {
	settings  Settings
	state     ClusterState
	hasState  bool // UpdateClusterState was called
	startedAt Time // when it was called first
	fleet     fleetView
	network   network
	regions   regionTable

	servers     map[string]*server // by id
	groups      map[string]*group  // by service
	rotations   rotation.Table
	attempts    attemptTable
	prefixes    *prefixcache.Index
	prefillRate prefillRate
	warmUps     warmUpPacer
	peerLoadsAt Time // of the last UpdatePeerLoads
	stats       Stats

	scratch scratch
}

// scratch is memory that each call uses anew.
type scratch struct {
	costs     []cost // of the servers of the group that is looked at
	prompt    prefixcache.Chain
	input     pickInput
	costModel costModel
	lookup    prefixcache.Lookup
}

// Stats count what a Picker has done since it was made. They only rise.
type Stats struct {
	WarmUpStarts uint64 // servers that began to warm up or may have, as far as this proxy knows
	WarmUpSends  uint64 // requests chosen for a server that warmed up, as far as this proxy knew
	WarmUpEnds   uint64 // first requests chosen for such a server as a warm one
}

// Stats are the counts as they are now.
func (p *Picker) Stats() Stats { return p.stats }

// New makes a Picker that knows no cluster state yet: it rejects all requests until UpdateClusterState.
func New(settings Settings) *Picker {
	settings.setDefaults()
	p := &Picker{
		settings:    settings,
		network:     network{settings.Zone, settings.CrossRegionLatency, settings.CrossZoneLatency},
		regions:     newRegionTable(settings.Region),
		servers:     map[string]*server{},
		groups:      map[string]*group{},
		attempts:    attemptTable{byTicket: map[uint64]*attempt{}},
		prefixes:    prefixcache.NewIndex(),
		prefillRate: prefillRate{tokensPerMS: settings.PrefillRate},
	}
	p.warmUps = warmUpPacer{settings: &p.settings, state: &p.state, fleet: &p.fleet, stats: &p.stats, zoneChanges: zoneChanges{}}
	return p
}

// Config is the configuration that Route goes by; nil: none has come yet.
func (p *Picker) Config() *config.Config { return p.state.Config }

// Route finds the rule for a request: of the host's routes the one with the longest prefix of the path; nil: none.
func (p *Picker) Route(host, path string) *config.Route {
	if p.state.Config == nil {
		return nil
	}
	return p.state.Config.Match(host, path)
}

// RecordRequest counts a client's request for its services' retry budgets. Call it once for each request that was read.
func (p *Picker) RecordRequest(now Time, r *Request) {
	total := 0.0
	for _, share := range r.Route.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return
	}
	for _, share := range r.Route.Shares {
		if share.Weight > 0 {
			p.group(share.Service).budget.RecordRequest(now, share.Weight/total)
		}
	}
}
