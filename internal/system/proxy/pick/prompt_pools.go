package pick

import (
	"cmp"
	"slices"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/promptpool"
)

// The prefill of a long prompt delays everything that runs at its server. Long prompts use the regions that get
// no short prompts and, if these do not suffice, a pool of servers in each other region, which short prompts
// avoid while there is capacity elsewhere. The total number of servers for long prompts follows the share of the
// work that they cause, as observed by all proxies together; a pool leaves short prompts the slots that they use.

const (
	minLongPromptMS = 80     // a prompt is long from this many milliseconds of prefill at the configured rate
	maxSlotFill     = 0.55   // maximum fill of the slots that a pool leaves to short prompts, which need slots where long prompts need prefill
	maxPoolShare    = 0.9    // some servers are left to short prompts, because using a pool's server costs them shortInsidePoolCost
	minDemandTokens = 20_000 // decayed tokens of all proxies below which the demand is not conclusive
)

// isLongPrompt reports whether a prompt is long. Its length is compared with the
// configured prefill rate, not the learned one, because all proxies have to agree.
func (p *Picker) isLongPrompt(tokens int) bool {
	return float64(tokens)/p.settings.PrefillRate >= minLongPromptMS
}

// hasLongPrompts reports whether some of the requests of a load have long prompts: the outstanding
// prefill is at least that of one long prompt, and at least a quarter of a long prompt per request.
func (p *Picker) hasLongPrompts(load Load) bool {
	long := minLongPromptMS * p.settings.PrefillRate // tokens
	prefill := float64(load.Prefill)
	return prefill >= long && prefill >= float64(load.Requests)*long/4
}

// promptPoolShare returns the share of the servers that long prompts should have. It is
// not known while the peers' demand is not known, because the proxies would disagree.
func (p *Picker) promptPoolShare(now Time, g *group) (share float64, known bool) {
	if fixed := p.settings.TestingKnobs.PromptPoolShare; fixed > 0 {
		return fixed, true
	}
	if now-p.peerLoadsAt >= peerLoadTTL {
		return 0, false
	}
	g.demand.Decay(now)
	long := g.demand.Long + float64(g.peerDemand.Long)
	short := g.demand.Short + float64(g.peerDemand.Short)
	if long+short < minDemandTokens {
		return 0, false
	}
	return min(long/(long+short), maxPoolShare), true
}

// assignPromptPools selects the servers of each region's pool: the first
// ones by hash, so that the proxies disagree at most about the last few.
func (p *Picker) assignPromptPools(now Time, members *group) {
	var byRegion [promptpool.MaxRegions][]*server
	for _, s := range members.servers {
		s.inPromptPool = false
		if s.regionIndex < promptpool.MaxRegions && p.isInService(s) {
			byRegion[s.regionIndex] = append(byRegion[s.regionIndex], s)
		}
	}
	share, known := p.promptPoolShare(now, members)
	counts := regionServers(now, &members.mix, &byRegion)
	var pooledShare float64
	if known {
		pooledShare = members.division.Divide(share, counts)
	} else {
		pooledShare = members.division.Presume(counts)
	}
	for region, servers := range byRegion {
		if len(servers) < 2 {
			continue
		}
		slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
		pool := &members.pools[region]
		pool.SetServers(len(servers))
		count := float64(len(servers))
		isPooled := members.mix.HasShort(now, region)
		switch {
		case known && isPooled:
			pool.Adjust(now, pooledShare*count, p.spareSlotShare(now, servers)*count)
		case known: // the pool has no effect until short prompts arrive
			pool.Adjust(now, share*count, count)
		case isPooled:
			pool.Presume(pooledShare * count)
		}
		for _, s := range servers[:pool.Size()] {
			s.inPromptPool = true
		}
	}
}

// spareSlotShare returns the share of a region's servers that remain unused
// if its requests fill the slots of the other servers up to maxSlotFill.
func (p *Picker) spareSlotShare(now Time, servers []*server) float64 {
	requests, slots := 0, 0
	for _, s := range servers {
		requests += s.load.requests(now, p.peerLoadsAt)
		slots += s.slots()
	}
	return max(0, 1-float64(requests)/(maxSlotFill*float64(slots)))
}

// regionServers counts the servers in the regions that get short prompts and in those that do not.
func regionServers(now Time, mix *promptpool.Mix, byRegion *[promptpool.MaxRegions][]*server) (servers promptpool.RegionServers) {
	for region, members := range byRegion {
		if mix.HasShort(now, region) {
			servers.Pooled += len(members)
		} else {
			servers.Separate += len(members)
		}
	}
	return servers
}

// recordPrompt records the kind of a request's prompt for a group of model servers. It
// must be called before the group's costs are estimated, because they depend on the mix.
func (p *Picker) recordPrompt(input *pickInput, g *group) {
	if g.engine() == nil {
		return
	}
	if p.isLongPrompt(max(input.request.TokensIn, 0)) {
		g.mix.RecordLong(input.now)
		return
	}
	for region, name := range p.regions.names {
		if region < promptpool.MaxRegions && input.request.allowsRegion(name) {
			g.mix.RecordShort(input.now, region)
		}
	}
}

// promptPlacement determines which servers are meant for a request's prompt. The zero value allows all.
type promptPlacement struct {
	isLong             bool
	pooled             [promptpool.MaxRegions]bool // regions that get short prompts, so that their servers are divided into pools
	useSeparateRegions bool                        // long prompts go to the other regions, short ones to these
}

// placePrompt returns which members of a group are meant for r's prompt, based on the kinds of prompts that the group got recently.
func (p *Picker) placePrompt(now Time, r *Request, members *group, isLong bool) promptPlacement {
	placement := promptPlacement{isLong: isLong}
	justStarted := now-p.startedAt <= promptpool.MixTTL // not known yet: assume that there are both kinds
	if !justStarted && !members.mix.HasLong(now) {
		return placement
	}
	for region := range placement.pooled {
		placement.pooled[region] = members.mix.HasShort(now, region)
	}
	placement.useSeparateRegions = members.division.Suffices() && p.hasSeparateRegions(r, members, &placement)
	return placement
}

// hasSeparateRegions reports whether a request may go to a region that gets no short prompts.
func (p *Picker) hasSeparateRegions(r *Request, g *group, placement *promptPlacement) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool {
		isSeparate := s.regionIndex < promptpool.MaxRegions && !placement.pooled[s.regionIndex]
		return isSeparate && p.isAvailable(s) && (!placement.isLong || r.allowsRegion(s.Region))
	})
}

// matches reports whether s is meant for the prompt while there is capacity on the servers meant for it.
func (m *promptPlacement) matches(s *server) bool {
	switch {
	case s.regionIndex >= promptpool.MaxRegions:
		return true
	case m.useSeparateRegions:
		return !m.isLong || !m.pooled[s.regionIndex]
	case m.pooled[s.regionIndex]:
		return m.isLong == s.inPromptPool
	}
	return true
}

// isAvailable reports whether s accepts requests at all, according to the list, the evacuations and its own responses.
// Unlike eligibility it does not depend on a request. A server that was ejected is not available until it has responded,
// even while it may get a probe, so that homes of prefixes and separate regions do not change with each probe.
func (p *Picker) isAvailable(s *server) bool {
	return p.isInService(s) && !s.misdirected && !s.outlier.WasEjected()
}

// isInService reports whether the published state allows requests to s: it is neither draining nor in an evacuated zone.
// All proxies with the same state agree on this. eligibility checks the two separately because they are different reasons.
func (p *Picker) isInService(s *server) bool {
	return !s.Draining && !p.state.Evacuated[s.Zone]
}
