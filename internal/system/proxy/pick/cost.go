package pick

import (
	"math"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

// Cost terms, all in milliseconds: estimated times, and other penalties
// expressed as time. The costs of crossing zones and regions are in network.go.
const (
	longOutsidePoolCost  = 300  // a long prompt outside its pool, in addition to its prefill
	shortInsidePoolCost  = 150  // a short prompt inside the pool for long ones
	warmUpCost           = 100  // a warming server is among the last choices
	drainHintCost        = 2000 // a server that is about to leave is the last choice
	fullCost             = 250  // the server recently reported that it is full
	memoryCost           = 500  // the request would not fit into the server's memory
	connectCost          = 30   // a new connection, in addition to the time that it takes
	duplicatePrefillCost = 0.1  // for each token that another server is likely to have cached and this one would prefill again
	fillCost             = 0.3  // fraction of the service time, at a server without an engine whose slots are all taken
)

const (
	engineTolerance = 4 // milliseconds: costs this close to the lowest are left to the rotation
	plainTolerance  = 3 // the same for servers without an engine

	homeCertainty       = 0.9 // probability that a prefix's first home has it cached if this proxy has not sent it there
	secondHomeCertainty = 0.1 // the same for its second home

	attentionMSPerMillionPairs = 0.4    // prefill time per million pairs of a token and a token before it
	queuedAttentionMSPerToken  = 0.4e-2 // the same per token that is waited for: the pairs of a prompt of 20,000 tokens
)

// cost is the estimated cost of sending a request to a server.
type cost struct {
	totalMS      float64 // the value that is compared; infinite: the server is not available
	firstEventMS float64 // estimated time to the first event, including the network
	queueingMS   float64 // the part of firstEventMS that is spent waiting for others
	penaltyMS    float64 // everything else, expressed in milliseconds
	requests     int     // requests estimated to be at the server
}

// addQueueing adds time that is spent waiting for others.
func (c *cost) addQueueing(waitMS float64) {
	c.queueingMS += waitMS
	c.firstEventMS += waitMS
}

// costModel holds what is computed once for all servers of a group that a request may go to.
type costModel struct {
	now         Time
	request     *Request
	network     *network
	peerLoadsAt Time
	toleranceMS float64 // costs this close to the lowest are left to the rotation
	hasEngine   bool
	engine      engineCostModel // valid if hasEngine is set
}

// engineCostModel holds the inputs for estimating the prefill of a request's prompt at a model server.
type engineCostModel struct {
	tokensPerMS  float64 // the fleet's prefill rate
	stepMS       float64 // duration of one decoding step
	cacheTokens  int64   // size of a server's memory; 0: not known
	tokensIn     int
	maxTokensOut int
	sharedTokens int // leading tokens that other requests may share
	cached       prefixcache.Lookup
	homes        prefixHomes // of the shared tokens
	placement    promptPlacement
}

// initCostModel computes what the costs of a group's servers have in common. The model is valid until the next call.
func (p *Picker) initCostModel(input *pickInput, members *group) *costModel {
	model := &p.scratch.costModel
	*model = costModel{now: input.now, request: input.request, network: &p.network, peerLoadsAt: p.peerLoadsAt, toleranceMS: plainTolerance}
	engine := members.engine()
	if engine == nil {
		return model
	}
	model.hasEngine, model.toleranceMS = true, engineTolerance
	terms := &model.engine
	terms.tokensPerMS, terms.stepMS, terms.cacheTokens = p.prefillRate.tokensPerMS, ms(p.settings.StepTime), engine.CacheTokens
	terms.tokensIn, terms.maxTokensOut = max(input.request.TokensIn, 0), max(input.request.MaxTokensOut, 0)
	p.prefixes.Find(input.prompt, &terms.cached)
	key, shared := input.prompt.Shared()
	terms.sharedTokens = min(shared, terms.tokensIn)
	isLong := p.isLongPrompt(terms.tokensIn)
	terms.placement = p.placePrompt(input.now, input.request, members, isLong)
	if shared > 0 {
		terms.homes = p.findHomes(key, input, members, &terms.placement)
	}
	return model
}

// estimate computes the total cost of sending the request to a candidate. The
// terms are summed in a fixed order, so that the results are identical to the bit.
func (m *costModel) estimate(candidate *server, total *cost) {
	*total = cost{
		firstEventMS: m.network.roundTripMS(candidate),
		penaltyMS:    m.network.crossingCost(candidate, m.request.TokensIn),
		requests:     candidate.load.requests(m.now, m.peerLoadsAt),
	}
	total.addQueueing(candidate.slotQueueingMS(total.requests))
	if m.hasEngine {
		m.addEngineTerms(total, candidate)
	} else {
		total.penaltyMS += candidate.fillPenaltyMS(total.requests)
	}
	total.addQueueing(candidate.overdueMS(m.now))
	if candidate.warmingUp(m.now) {
		total.penaltyMS += warmUpCost
	}
	if m.now < candidate.fullUntil {
		total.penaltyMS += fullCost
	}
	if m.now < candidate.drainHintUntil {
		total.penaltyMS += drainHintCost
	}
	total.totalMS = total.firstEventMS + total.penaltyMS
	if math.IsNaN(total.totalMS) {
		total.totalMS = math.Inf(1)
	}
}

// slotQueueingMS returns how long one more request would wait for a slot of s.
func (s *server) slotQueueingMS(requests int) float64 {
	slots := s.slots()
	excess := requests + 1 - slots
	if excess <= 0 {
		return 0
	}
	return s.group.serviceTimeMS * float64(excess) / float64(slots)
}

// fillPenaltyMS is a penalty that fills servers without an engine evenly, because some slow down when they are nearly full.
func (s *server) fillPenaltyMS(requests int) float64 {
	return fillCost * s.group.serviceTimeMS * float64(requests) / float64(s.slots())
}

// addEngineTerms adds the cost terms that only model servers have.
func (m *costModel) addEngineTerms(total *cost, candidate *server) {
	load := candidate.load.outstanding(m.now, m.peerLoadsAt)
	if !candidate.hasIdleConn(m.now) {
		total.penaltyMS += connectCost
		total.firstEventMS += m.network.roundTripMS(candidate) // the handshake
	}
	e := &m.engine
	cachedTokens := e.cachedTokens(candidate)
	prefill := e.expectedPrefill(candidate, cachedTokens)
	prefillMS, queueingMS := e.prefillMS(candidate, prefill.tokens), e.queueingMS(candidate, load.Prefill)
	total.queueingMS += queueingMS
	total.firstEventMS += queueingMS + prefillMS + e.stepMS
	total.penaltyMS += prefill.duplicateTokens * duplicatePrefillCost
	total.penaltyMS += e.poolPenaltyMS(candidate, prefillMS)
	if e.exceedsMemory(load.Tokens, cachedTokens) {
		total.penaltyMS += memoryCost
	}
}

// cachedTokens returns how many tokens of the prompt s is estimated to have cached, based on what this proxy sent there.
func (e *engineCostModel) cachedTokens(s *server) int {
	return min(e.cached.CachedTokens(&s.prefixes), e.tokensIn)
}

// expectedPrefill is the part of a prompt that a server is expected to prefill, in tokens.
type expectedPrefill struct {
	tokens          float64
	duplicateTokens float64 // of shared parts that are likely cached elsewhere
}

// expectedPrefill returns what remains of the prompt after the tokens that s has cached. The
// homes of a prefix are likely to have it cached even if this proxy has not sent it there.
func (e *engineCostModel) expectedPrefill(s *server, cachedTokens int) expectedPrefill {
	tokens := float64(e.tokensIn - cachedTokens)
	duplicate := float64(max(e.sharedTokens-cachedTokens, 0))
	if duplicate > 0 {
		switch s {
		case e.homes.first:
			tokens -= homeCertainty * duplicate
			duplicate *= 1 - homeCertainty
		case e.homes.second:
			tokens -= secondHomeCertainty * duplicate
			duplicate *= 1 - secondHomeCertainty
		}
	}
	return expectedPrefill{tokens, duplicate}
}

// prefillMS returns how long s takes to prefill this many tokens at the end of the prompt: a part that is proportional
// to the tokens, and attention, which is proportional to the pairs of one of these tokens and a token before it.
func (e *engineCostModel) prefillMS(s *server, tokens float64) float64 {
	return tokens/e.tokensPerMSAt(s) + tokens*(float64(e.tokensIn)-tokens/2)/1e6*attentionMSPerMillionPairs
}

// queueingMS returns how long s takes to prefill the tokens that are already waiting there.
func (e *engineCostModel) queueingMS(s *server, tokens int64) float64 {
	return float64(max(tokens, 0)) * (1/e.tokensPerMSAt(s) + queuedAttentionMSPerToken)
}

// tokensPerMSAt returns the prefill rate of s, in tokens per millisecond.
func (e *engineCostModel) tokensPerMSAt(s *server) float64 { return e.tokensPerMS * s.relativeSpeed }

// poolPenaltyMS is the penalty for a server that is meant for prompts of
// the other kind. The prefill of a long prompt delays what runs there.
func (e *engineCostModel) poolPenaltyMS(s *server, prefillMS float64) float64 {
	switch {
	case e.placement.matches(s):
		return 0
	case e.placement.isLong:
		return longOutsidePoolCost + prefillMS
	}
	return shortInsidePoolCost
}

// exceedsMemory reports whether the request would not fit into the memory of a
// server with this many tokens in use and this many tokens of the prompt cached.
func (e *engineCostModel) exceedsMemory(usedTokens int64, cachedTokens int) bool {
	return e.cacheTokens > 0 && usedTokens+int64(e.tokensIn-cachedTokens+e.maxTokensOut) > e.cacheTokens
}
