package pick

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A long prompt stalls all that run at its server. Where long and short prompts come, the long ones get a part of each
// region's servers, their lane, which the short ones avoid while there is room elsewhere. The lane's share of the servers
// follows the share of the work that long prompts bring, as all proxies together observe it.

const (
	minLongPromptMS       = 80               // milliseconds of reading from which a prompt is long
	minSeparateSlotShare  = 0.25             // of all places of a group: a region apart that has fewer does not bear its long prompts
	promptMixTTL          = 10 * time.Second // long and short prompts count as mixed this long after the last one
	initialPoolShare      = 0.5              // of a region's servers, while no work has been observed
	maxPoolShare          = 0.9              // short prompts keep some servers, as those of a lane cost them shortInsidePoolCost
	minPoolResizeInterval = time.Second      // between two moves of a lane, as each one moves homes of prompts
	poolResizeFraction    = 0.25             // of what a lane is off that it moves at once; one server at least
	maxPoolDeviation      = 0.75             // servers by which a lane may be off what the work asks for
	minDemandTokens       = 20_000           // tokens that all proxies together have read of late before their work tells anything
)

// demandKey names the entry of a service's demand among the loads that proxies tell each other. No server's id begins so.
func demandKey(service string) string { return "\x00demand " + service }

// promptDemand is the prompt tokens that were read for long and for short prompts, each counted less the longer ago it was, by
// 1/e in promptMixTTL. Sums of several proxies' demands mean the same for all of them together.
type promptDemand struct {
	long, short float64
	at          Time
}

func (d *promptDemand) decay(now Time) {
	left := math.Exp(-float64(now-d.at) / float64(promptMixTTL))
	d.long, d.short, d.at = d.long*left, d.short*left, now
}

func (d *promptDemand) add(now Time, long bool, tokens int64) {
	d.decay(now)
	if long {
		d.long += float64(tokens)
	} else {
		d.short += float64(tokens)
	}
}

// promptPoolShare is the share of the servers that long prompts should have; unknown while what the others read is not known, as
// the proxies would disagree.
func (p *Picker) promptPoolShare(now Time, g *group) (share float64, known bool) {
	if p.fixedPoolShare > 0 {
		return p.fixedPoolShare, true
	}
	if now-p.peerLoadsAt >= peerLoadTTL {
		return 0, false
	}
	g.demand.decay(now)
	long := g.demand.long + float64(g.peerDemand.Prefill)
	short := g.demand.short + float64(g.peerDemand.Tokens)
	if long+short < minDemandTokens {
		return 0, false
	}
	return min(long/(long+short), maxPoolShare), true
}

// isLongPrompt tells whether a prompt is worth a lane. Its length is held against the rate that all proxies are set to, not the
// learned one, as all have to agree.
func (p *Picker) isLongPrompt(tokens int) bool {
	return float64(tokens)/p.settings.PrefillRate >= minLongPromptMS
}

// observePromptMix notes what kinds of prompts come to a group, and tells where they have lanes.
func (p *Picker) observePromptMix(w *costModel, now Time, r *Request, g *group) {
	if w.isLongPrompt {
		g.lastLongAt, g.longSeen = now, true
	} else {
		for i, name := range p.regionNames {
			if i < maxRegions && (len(r.Route.HomeRegions) == 0 || slices.Contains(r.Route.HomeRegions, name)) {
				g.lastShortAt[i], g.shortSeen[i] = now, true
			}
		}
	}
	// A proxy that has just started does not know yet: it takes it that both kinds come.
	if now-p.started > promptMixTTL && (!g.longSeen || now-g.lastLongAt > promptMixTTL) {
		return
	}
	for i := range maxRegions {
		w.hasPromptPool[i] = g.shortSeen[i] && now-g.lastShortAt[i] <= promptMixTTL
	}
	// Where a region sees no short prompts at all, the long ones go there, if it is large enough.
	room, all := 0, 0
	for _, s := range g.servers {
		if s.Draining || s.misdirected || p.state.Evacuated[s.Zone] || s.outlier.WasEjected() ||
			w.isLongPrompt && len(r.Route.HomeRegions) > 0 && !slices.Contains(r.Route.HomeRegions, s.Region) {
			continue
		}
		all += s.slots()
		if s.regionIndex < maxRegions && !w.hasPromptPool[s.regionIndex] {
			room += s.slots()
		}
	}
	w.regionsSeparate = room > 0 && float64(room) >= minSeparateSlotShare*float64(all)
}

// assignPromptPools names the servers of each region's lane: the first by hash, so that proxies agree but for the last few.
func (p *Picker) assignPromptPools(now Time, g *group) {
	var byRegion [maxRegions][]*server
	for _, s := range g.servers {
		s.inPromptPool = false
		if s.regionIndex < maxRegions && !s.Draining && !p.state.Evacuated[s.Zone] {
			byRegion[s.regionIndex] = append(byRegion[s.regionIndex], s)
		}
	}
	share, known := p.promptPoolShare(now, g)
	for region, servers := range byRegion {
		if len(servers) < 2 {
			continue
		}
		slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
		l := &g.promptPools[region]
		l.resizeTo(len(servers))
		if known {
			l.adjust(now, share*float64(len(servers)))
		}
		for _, s := range servers[:l.size] {
			s.inPromptPool = true
		}
	}
}

// promptPool is how many of a region's servers are for long prompts.
type promptPool struct {
	size, servers int
	resizedAt     Time
}

// resizeTo keeps the lane's share where the number of the region's servers has changed.
func (l *promptPool) resizeTo(servers int) {
	if l.servers == servers {
		return
	}
	share := initialPoolShare
	if l.servers > 0 {
		share = float64(l.size) / float64(l.servers)
	}
	l.servers = servers
	l.setSize(int(math.Round(share * float64(servers))))
}

// adjust takes the lane towards what is wanted, within bounds on how far and how often.
func (l *promptPool) adjust(now Time, want float64) {
	off := want - float64(l.size)
	if math.Abs(off) <= maxPoolDeviation || now-l.resizedAt < minPoolResizeInterval {
		return
	}
	l.resizedAt = now
	step := max(1, int(math.Abs(off)*poolResizeFraction))
	if off < 0 {
		step = -step
	}
	l.setSize(l.size + step)
}

// setSize bounds the lane: both kinds of prompts keep a server at least.
func (l *promptPool) setSize(size int) { l.size = min(max(size, 1), l.servers-1) }
