package pick

import (
	"cmp"
	"slices"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/promptpool"
)

// A long prompt's prefill delays all that runs at its server. The long ones get the regions to which no short ones come, and where these do not
// suffice a pool of each other region's servers, which the short ones avoid while there is capacity elsewhere. How many servers the long ones have
// in all follows the share of the work that they bring, as all proxies together observe it; a pool leaves the short ones the slots that they use.

const (
	minLongPromptMS = 80     // milliseconds of prefill at the configured rate from which a prompt is long
	maxSlotFill     = 0.55   // of the slots that a pool leaves to short prompts: they need slots where long ones need prefill
	maxPoolShare    = 0.9    // short prompts keep some servers, as those of a pool cost them shortInsidePoolCost
	minDemandTokens = 20_000 // decayed tokens of all proxies from which their work says anything
)

// isLongPrompt reports whether a prompt is long. Its length is compared with the rate that all proxies are configured with, not the
// learned one, as all have to agree.
func (p *Picker) isLongPrompt(tokens int) bool {
	return float64(tokens)/p.settings.PrefillRate >= minLongPromptMS
}

// bringsLongPrompts reports whether some of the requests behind a load have long prompts: the prefill that is left amounts to one, and
// to a quarter of one for each request.
func (p *Picker) bringsLongPrompts(load Load) bool {
	long := minLongPromptMS * p.settings.PrefillRate // tokens
	prefill := float64(load.Prefill)
	return prefill >= long && prefill >= float64(load.Requests)*long/4
}

// promptPoolShare is the share of the servers that long prompts should have; unknown while the peers' work is not known, as the proxies
// would disagree.
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

// assignPromptPools names the servers of each region's pool: the first by hash, so that proxies agree but for the last few.
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
		case known: // the pool has no effect until short prompts come
			pool.Adjust(now, share*count, count)
		case isPooled:
			pool.Presume(pooledShare * count)
		}
		for _, s := range servers[:pool.Size()] {
			s.inPromptPool = true
		}
	}
}

// spareSlotShare is the share of a region's servers that its requests leave over when they fill the others' slots to maxSlotFill.
func (p *Picker) spareSlotShare(now Time, servers []*server) float64 {
	requests, slots := 0, 0
	for _, s := range servers {
		requests += s.load.requests(now, p.peerLoadsAt)
		slots += s.slots()
	}
	return max(0, 1-float64(requests)/(maxSlotFill*float64(slots)))
}

// regionServers counts the servers of the regions to which short prompts come, and of those to which none do.
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

// recordPrompt notes which kind of prompt a request brings to a group, if its servers run a model. That comes before the group's costs are
// estimated, as they depend on the mix.
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

// promptPlacement says which servers are for a request's prompt. The zero value says that all are.
type promptPlacement struct {
	isLong          bool
	pooled          [promptpool.MaxRegions]bool // regions to which short prompts come, so that their servers are divided
	regionsSeparate bool                        // long prompts go to the other regions, short ones to these
}

// placePrompt finds the members of a group that are for r's prompt, by the prompts that have come to it of late.
func (p *Picker) placePrompt(now Time, r *Request, members *group, isLong bool) promptPlacement {
	placement := promptPlacement{isLong: isLong}
	justStarted := now-p.startedAt <= promptpool.MixTTL // it does not know yet, and assumes that both kinds come
	if !justStarted && !members.mix.HasLong(now) {
		return placement
	}
	for region := range placement.pooled {
		placement.pooled[region] = members.mix.HasShort(now, region)
	}
	placement.regionsSeparate = members.division.Suffices() && p.hasSeparateRegions(r, members, &placement)
	return placement
}

// hasSeparateRegions reports whether a request may go to a region to which no short prompts come.
func (p *Picker) hasSeparateRegions(r *Request, g *group, placement *promptPlacement) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool {
		isSeparate := s.regionIndex < promptpool.MaxRegions && !placement.pooled[s.regionIndex]
		return isSeparate && p.isAvailable(s) && (!placement.isLong || r.allowsRegion(s.Region))
	})
}

// matches reports whether s is one of the servers for the prompt, while there is capacity on them.
func (m *promptPlacement) matches(s *server) bool {
	switch {
	case s.regionIndex >= promptpool.MaxRegions:
		return true
	case m.regionsSeparate:
		return !m.isLong || !m.pooled[s.regionIndex]
	case m.pooled[s.regionIndex]:
		return m.isLong == s.inPromptPool
	}
	return true
}

// isAvailable reports whether s takes requests at all, as far as the list, the evacuations and its own answers say. Unlike eligibility it
// asks for no request, and a server that was ejected is not available until it has answered, also while it may get a probe: homes of
// prefixes and separate regions do not change with each probe.
func (p *Picker) isAvailable(s *server) bool {
	return p.isInService(s) && !s.misdirected && !s.outlier.WasEjected()
}

// isInService reports whether the published state lets requests go to s: it neither drains nor lies in an evacuated zone. All proxies that
// have the same state agree on it. eligibility has the two apart, as they are different reasons.
func (p *Picker) isInService(s *server) bool {
	return !s.Draining && !p.state.Evacuated[s.Zone]
}
