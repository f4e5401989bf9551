package pick

import (
	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/rotation"
)

// ownRegion is the index of this proxy's region.
const ownRegion = 0

// Picker picks servers for one proxy. It is not safe for concurrent use:
// the caller must lock. The zero value is not usable; create it with New.
type Picker struct {
	settings  Settings
	state     ClusterState
	hasState  bool // UpdateClusterState was called
	startedAt Time // when it was first called
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

// scratch is memory that each call reuses.
type scratch struct {
	costs     []cost // of the servers of the current group
	prompt    prefixcache.Chain
	input     pickInput
	costModel costModel
	lookup    prefixcache.Lookup
}

// Stats counts what a Picker has done since it was created. The counts only increase.
type Stats struct {
	WarmUpStarts uint64 // servers that began, or may have begun, to warm up, as far as this proxy knows
	WarmUpSends  uint64 // requests chosen for a server that was warming up, as far as this proxy knew
	WarmUpEnds   uint64 // first requests chosen for such a server after its warm-up
}

// Stats returns the current counts.
func (p *Picker) Stats() Stats { return p.stats }

// New creates a Picker without a cluster state: it rejects all requests until UpdateClusterState is called.
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

// Config returns the configuration that Route uses; nil if none has been received yet.
func (p *Picker) Config() *config.Config { return p.state.Config }

// Route returns the route for a request: among the host's routes the one with the longest matching path prefix; nil if there is none.
func (p *Picker) Route(host, path string) *config.Route {
	if p.state.Config == nil {
		return nil
	}
	return p.state.Config.Match(host, path)
}

// RecordRequest counts a client's request for the retry budgets of its services. It must be called once for each request that was read.
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
