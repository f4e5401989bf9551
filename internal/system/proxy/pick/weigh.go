package pick

import (
	"math"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"
)

const (
	crossRegionCost            = 15   // milliseconds that a request between regions is worth, beside its time
	crossRegionTokenCost       = 0.01 // and each token of its prompt: the bytes are priced
	crossZoneCost              = 3    // the same between zones of a region
	crossZoneTokenCost         = 0.003
	longOutsidePoolCost        = 300  // a long prompt outside its lane
	shortInsidePoolCost        = 150  // a short one inside it
	warmUpCost                 = 100  // a cold server is the last choice
	drainHintCost              = 2000 // so is one that is about to leave
	fullCost                   = 250  // it just said that it is full
	memoryCost                 = 500  // its memory would not hold the request
	engineTolerance            = 4    // costs this near to the least are left to the rotation
	plainTolerance             = 3
	homeCertainty              = 0.9    // that a prefix's home keeps it, where this proxy has not seen it
	secondHomeCertainty        = 0.1    // and its second home
	attentionMSPerMillionPairs = 0.4    // milliseconds for a million pairs of a token read and one before it
	queuedAttentionMSPerToken  = 0.4e-2 // milliseconds for each token that is waited for: a prompt of 20,000 tokens' pairs
	duplicatePrefillCost       = 0.1    // milliseconds that a token is worth which some server keeps and another reads again
)

// costModel is what is worked out once for all servers that a request is weighed against.
type costModel struct {
	hasEngine              bool
	prefillRate            float64 // tokens in a millisecond
	tokensIn, maxTokensOut int
	sharedTokens           int
	tolerance              float64
	cacheTokens            int64
	home                   *server // first by rendezvous, the same at all proxies
	secondHome             *server
	cached                 prefixcache.Lookup
	stepMS                 float64
	placement              promptPlacement
}

func (p *Picker) initCostModel(w *costModel, now Time, r *Request, g *group, prompt *prefixcache.Chain) {
	e := g.service.Engine
	*w = costModel{tolerance: plainTolerance}
	if e == nil {
		return
	}
	w.hasEngine, w.prefillRate, w.cacheTokens, w.tolerance = true, p.prefillRate.tokensPerMS, e.CacheTokens, engineTolerance
	w.stepMS = ms(p.settings.StepTime)
	w.tokensIn, w.maxTokensOut = max(r.TokensIn, 0), max(r.MaxTokensOut, 0)
	p.prefixes.Find(prompt, &w.cached)
	key, shared := prompt.Shared()
	w.sharedTokens = min(shared, w.tokensIn)
	isLong := p.isLongPrompt(w.tokensIn)
	p.recordPrompt(now, r, g, isLong)
	w.placement = p.placePrompt(now, r, g, isLong)
	if shared > 0 {
		w.home, w.secondHome = p.homes(w, now, r, g, key)
	}
}

// homes names the servers that are to keep a shared prefix: the first two by rendezvous hashing among those that the
// request may go to at all, all regions together. A prefix that is read in two regions is read twice, which costs more
// than the way between them.
func (p *Picker) homes(w *costModel, now Time, r *Request, g *group, key uint64) (home, next *server) {
	var first, second uint64
	for _, s := range g.servers {
		if !p.isAvailable(s) || s.warmingUp(now) || !w.placement.matches(s) || !r.allowsRegion(s.Region) {
			continue
		}
		switch h := rendezvous.Weight(key, s.hash); {
		case home == nil || h > first:
			next, second = home, first
			home, first = s, h
		case next == nil || h > second:
			next, second = s, h
		}
	}
	return home, next
}

// cachedTokens is how many tokens of the prompt s is estimated to have cached, from what this proxy sent there.
func (w *costModel) cachedTokens(s *server) int {
	return min(w.cached.CachedTokens(&s.prefixes), w.tokensIn)
}

// roundTrip is how long the way to s and back takes, in milliseconds.
func (p *Picker) roundTrip(s *server) float64 {
	switch {
	case s.regionIndex != 0:
		return 2 * ms(p.settings.CrossRegionLatency)
	case s.Zone != p.settings.Zone:
		return 2 * ms(p.settings.CrossZoneLatency)
	}
	return 0
}

// estimateCost weighs s for r.
func (p *Picker) estimateCost(w *costModel, now Time, r *Request, s *server) (c cost) {
	c.firstEvent = p.roundTrip(s)
	extra := 0.0
	switch {
	case s.regionIndex != 0:
		extra += crossRegionCost + crossRegionTokenCost*float64(r.TokensIn)
	case s.Zone != p.settings.Zone:
		extra += crossZoneCost + crossZoneTokenCost*float64(r.TokensIn)
	}
	c.load = s.load(now, p.peerLoadsAt)
	slots := s.slots()
	if over := c.load + 1 - slots; over > 0 {
		c.queueing = s.group.serviceTimeMS * float64(over) / float64(slots)
		c.firstEvent += c.queueing
	}
	if w.hasEngine {
		rate := w.prefillRate * s.relativeSpeed
		queued := s.ownLoad.Prefill
		held := s.ownLoad.Tokens
		if now-p.peerLoadsAt < peerLoadTTL {
			queued += s.peerLoad.Prefill
			held += s.peerLoad.Tokens
		}
		dial, handshake := p.connectCost(now, s)
		extra += dial
		c.firstEvent += handshake
		kept := w.cachedTokens(s)
		sure := float64(w.tokensIn - kept)
		again := float64(max(w.sharedTokens-kept, 0)) // shared tokens that would be read here, and are likely kept elsewhere
		if again > 0 {
			switch s {
			case w.home:
				sure -= homeCertainty * again
				again *= 1 - homeCertainty
			case w.secondHome:
				sure -= secondHomeCertainty * again
				again *= 1 - secondHomeCertainty
			}
		}
		read := sure/rate + sure*(float64(w.tokensIn)-sure/2)/1e6*attentionMSPerMillionPairs
		queue := float64(max(queued, 0)) * (1/rate + queuedAttentionMSPerToken)
		c.queueing += queue
		c.firstEvent += queue + read + w.stepMS
		extra += again * duplicatePrefillCost
		if !w.placement.matches(s) {
			if w.placement.isLong {
				extra += longOutsidePoolCost + read
			} else {
				extra += shortInsidePoolCost
			}
		}
		if w.cacheTokens > 0 && held+int64(w.tokensIn-kept+w.maxTokensOut) > w.cacheTokens {
			extra += memoryCost
		}
	} else {
		// Some servers slow down when they are nearly full: fill them evenly.
		extra += 0.3 * s.group.serviceTimeMS * float64(c.load) / float64(slots)
	}
	late := s.overdue(now)
	c.firstEvent += late
	c.queueing += late
	if s.warmingUp(now) {
		extra += warmUpCost
	}
	if now < s.fullUntil {
		extra += fullCost
	}
	if now < s.drainHintUntil {
		extra += drainHintCost
	}
	c.total = c.firstEvent + extra
	if math.IsNaN(c.total) {
		c.total = math.Inf(1)
	}
	return c
}
