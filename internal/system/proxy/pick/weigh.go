package pick

import (
	"math"
	"slices"
)

const (
	regionPrice         = 15   // milliseconds that a request between regions is worth, beside its time
	regionToken         = 0.01 // and each token of its prompt: the bytes are priced
	zonePrice           = 3    // the same between zones of a region
	zoneToken           = 0.003
	longOutsidePoolCost = 300  // a long prompt outside its lane
	shortInsidePoolCost = 150  // a short one inside it
	coldPrice           = 100  // a cold server is the last choice
	leavingPrice        = 2000 // so is one that is about to leave
	fullPrice           = 250  // it just said that it is full
	memoryPrice         = 500  // its memory would not hold the request
	toleranceModel      = 4    // costs this near to the least are left to the rotation
	toleranceOther      = 3
	homeCertainty       = 0.9    // that a prefix's home keeps it, where this proxy has not seen it
	secondHomeCertainty = 0.1    // and its second home
	pairTime            = 0.4    // milliseconds for a million pairs of a token read and one before it
	queuePairs          = 0.4e-2 // milliseconds for each token that is waited for: a prompt of 20,000 tokens' pairs
	rereadToken         = 0.1    // milliseconds that a token is worth which some server keeps and another reads again
)

// weigher is what is worked out once for all servers that a request is weighed against.
type weigher struct {
	model           bool
	rate            float64 // tokens in a millisecond
	prompt          *prefixChain
	in, out         int
	shared          int
	tolerance       float64
	memory          int64
	home            *server // first by rendezvous, the same at all proxies
	second          *server
	holders         [maxChainParts][]*prefixEntry
	step            float64
	long            bool             // worth a lane
	hasPromptPool   [maxRegions]bool // regions where long and short prompts go to servers of their own
	regionsSeparate bool             // long prompts go to the other regions, where no short ones come
}

const maxRegions = 16

func (p *Picker) weigh(w *weigher, now Time, r *Request, g *group, prompt *prefixChain) {
	e := g.service.Engine
	*w = weigher{tolerance: toleranceOther}
	if e == nil {
		return
	}
	w.model, w.rate, w.prompt, w.memory, w.tolerance = true, p.prefillRate.tokensPerMS, prompt, e.CacheTokens, toleranceModel
	w.step = ms(p.set.StepTime)
	w.in, w.out = max(r.TokensIn, 0), max(r.TokensOut, 0)
	for i := range prompt.n {
		w.holders[i] = p.prefixes.byKey[prompt.keys[i]]
		if len(w.holders[i]) == 0 {
			break // without this part, none after it helps
		}
	}
	key, shared := prompt.shared()
	w.shared = min(shared, w.in)
	w.long = p.isLongPrompt(w.in)
	p.observePromptMix(w, now, r, g)
	if shared > 0 {
		w.home, w.second = p.homes(w, now, r, g, key)
	}
}

// homes names the servers that are to keep a shared prefix: the first two by rendezvous hashing among those that the
// request may go to at all, all regions together. A prefix that is read in two regions is read twice, which costs more
// than the way between them.
func (p *Picker) homes(w *weigher, now Time, r *Request, g *group, key uint64) (home, next *server) {
	var first, second uint64
	for _, s := range g.servers {
		if s.Draining || s.misdirected || p.world.Evacuated[s.Zone] || s.ejectedUntil > 0 || s.warmingUp(now) || !w.matchesPool(s) ||
			len(r.Route.HomeRegions) > 0 && !slices.Contains(r.Route.HomeRegions, s.Region) {
			continue
		}
		switch h := mix(key ^ s.hash); {
		case home == nil || h > first:
			next, second = home, first
			home, first = s, h
		case next == nil || h > second:
			next, second = s, h
		}
	}
	return home, next
}

// matchesPool tells whether s is one of the servers for prompts of this length, while there is room on them.
func (w *weigher) matchesPool(s *server) bool {
	switch {
	case s.region >= maxRegions:
		return true
	case w.regionsSeparate:
		return !w.long || !w.hasPromptPool[s.region]
	case w.hasPromptPool[s.region]:
		return w.long == s.inPromptPool
	}
	return true
}

// cachedTokens is how many tokens of the prompt s is believed to keep, from what this proxy sent there.
func (w *weigher) cachedTokens(s *server) int {
	n := 0
	for i := range w.prompt.n {
		found := false
		for _, b := range w.holders[i] {
			if b.server == s {
				found = true
				break
			}
		}
		if !found {
			break
		}
		n = w.prompt.tokens[i]
	}
	return min(n, w.in)
}

// roundTrip is how long the way to s and back takes, in milliseconds.
func (p *Picker) roundTrip(s *server) float64 {
	switch {
	case s.region != 0:
		return 2 * ms(p.set.CrossRegionLatency)
	case s.Zone != p.set.Zone:
		return 2 * ms(p.set.CrossZoneLatency)
	}
	return 0
}

// price weighs s for r.
func (p *Picker) price(w *weigher, now Time, r *Request, s *server) (c cost) {
	c.first = p.roundTrip(s)
	extra := 0.0
	switch {
	case s.region != 0:
		extra += regionPrice + regionToken*float64(r.TokensIn)
	case s.Zone != p.set.Zone:
		extra += zonePrice + zoneToken*float64(r.TokensIn)
	}
	c.load = s.load(now, p.othersAt)
	slots := s.slots()
	if over := c.load + 1 - slots; over > 0 {
		c.wait = s.group.serviceTime * float64(over) / float64(slots)
		c.first += c.wait
	}
	if w.model {
		rate := w.rate * s.speed
		queued := s.own.Prefill
		held := s.own.Tokens
		if now-p.othersAt < othersLife {
			queued += s.others.Prefill
			held += s.others.Tokens
		}
		dial, handshake := p.connecting(now, s)
		extra += dial
		c.first += handshake
		kept := w.cachedTokens(s)
		sure := float64(w.in - kept)
		again := float64(max(w.shared-kept, 0)) // shared tokens that would be read here, and are likely kept elsewhere
		if again > 0 {
			switch s {
			case w.home:
				sure -= homeCertainty * again
				again *= 1 - homeCertainty
			case w.second:
				sure -= secondHomeCertainty * again
				again *= 1 - secondHomeCertainty
			}
		}
		read := sure/rate + sure*(float64(w.in)-sure/2)/1e6*pairTime
		queue := float64(max(queued, 0)) * (1/rate + queuePairs)
		c.wait += queue
		c.first += queue + read + w.step
		extra += again * rereadToken
		if !w.matchesPool(s) {
			if w.long {
				extra += longOutsidePoolCost + read
			} else {
				extra += shortInsidePoolCost
			}
		}
		if w.memory > 0 && held+int64(w.in-kept+w.out) > w.memory {
			extra += memoryPrice
		}
	} else {
		// Some servers slow down when they are nearly full: fill them evenly.
		extra += 0.3 * s.group.serviceTime * float64(c.load) / float64(slots)
	}
	late := s.overdue(now)
	c.first += late
	c.wait += late
	if s.warmingUp(now) {
		extra += coldPrice
	}
	if now < s.fullUntil {
		extra += fullPrice
	}
	if now < s.drainHintUntil {
		extra += leavingPrice
	}
	c.total = c.first + extra
	if math.IsNaN(c.total) {
		c.total = math.Inf(1)
	}
	return c
}
