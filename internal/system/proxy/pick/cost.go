package pick

import (
	"math"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

// Cost terms. All are milliseconds: times as they are estimated, and what else counts as its worth in time. Those of a crossing are in
// network.go.
const (
	longOutsidePoolCost  = 300  // a long prompt outside its pool, beside its prefill
	shortInsidePoolCost  = 150  // a short prompt inside the pool of long ones
	warmUpCost           = 100  // a warming server is among the last choices
	drainHintCost        = 2000 // one that is about to leave is the last choice
	fullCost             = 250  // it just said that it is full
	memoryCost           = 500  // its memory would not hold the request
	connectCost          = 30   // a new connection, beside the time that it takes
	duplicatePrefillCost = 0.1  // for each token that some server is likely to have cached and another prefills again
	fillCost             = 0.3  // of the service time, at a server without an engine whose slots are all taken
)

const (
	engineTolerance = 4 // milliseconds: costs this near to the least are left to the rotation
	plainTolerance  = 3 // the same for servers without an engine

	homeCertainty       = 0.9 // that a prefix's first home has it cached, where this proxy has not seen it
	secondHomeCertainty = 0.1 // the same of its second home

	attentionMSPerMillionPairs = 0.4    // prefill time for a million pairs of a token and one before it
	queuedAttentionMSPerToken  = 0.4e-2 // the same for each token that is waited for: the pairs of a prompt of 20,000 tokens
)

// cost is what a server would cost a request.
type cost struct {
	totalMS      float64 // what is compared; infinite: it can't be had
	firstEventMS float64 // the estimated time to the first event, the network included
	queueingMS   float64 // its part that is waiting for others
	penaltyMS    float64 // what else counts, as its worth in milliseconds
	requests     int     // that are estimated to be there
}

// addQueueing adds time that is spent waiting for others.
func (c *cost) addQueueing(waitMS float64) {
	c.queueingMS += waitMS
	c.firstEventMS += waitMS
}

// costModel is what is worked out once for all servers of a group that a request may go to.
type costModel struct {
	now         Time
	request     *Request
	network     *network
	peerLoadsAt Time
	toleranceMS float64 // costs this near to the least are left to the rotation
	hasEngine   bool
	engine      engineCostModel // with hasEngine
}

// engineCostModel is what it takes to estimate the prefill of a request's prompt at a model server.
type engineCostModel struct {
	tokensPerMS  float64 // the fleet's prefill rate
	stepMS       float64 // one decoding step
	cacheTokens  int64   // of a server's memory; 0: not known
	tokensIn     int
	maxTokensOut int
	sharedTokens int // leading tokens that other requests may share
	cached       prefixcache.Lookup
	homes        prefixHomes // of the shared tokens
	placement    promptPlacement
}

// initCostModel works out what the costs of a group's servers have in common. The model is valid until the next call.
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
		terms.homes = p.homesOf(key, input, members, &terms.placement)
	}
	return model
}

// estimate works out in total what a candidate would cost the request. The terms are summed in a fixed order, so that costs are the same to the bit.
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

// slotQueueingMS is how long a further request waits for a slot of s.
func (s *server) slotQueueingMS(requests int) float64 {
	slots := s.slots()
	excess := requests + 1 - slots
	if excess <= 0 {
		return 0
	}
	return s.group.serviceTimeMS * float64(excess) / float64(slots)
}

// fillPenaltyMS fills servers without an engine evenly, as some slow down when they are nearly full.
func (s *server) fillPenaltyMS(requests int) float64 {
	return fillCost * s.group.serviceTimeMS * float64(requests) / float64(s.slots())
}

// addEngineTerms adds what a candidate costs as a model server.
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

// cachedTokens is how many tokens of the prompt s is estimated to have cached, from what this proxy sent there.
func (e *engineCostModel) cachedTokens(s *server) int {
	return min(e.cached.CachedTokens(&s.prefixes), e.tokensIn)
}

// expectedPrefill is what of a prompt a server is expected to prefill, in tokens.
type expectedPrefill struct {
	tokens          float64
	duplicateTokens float64 // of shared parts that are likely cached elsewhere
}

// expectedPrefill is what is left of the prompt beside the tokens that s has cached. The homes of a prefix are likely to have it cached
// though this proxy has not sent it there.
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

// prefillMS is how long s takes to prefill that many tokens at the end of the prompt: a part that grows with the tokens, and attention,
// which grows with the pairs of them and of tokens before them.
func (e *engineCostModel) prefillMS(s *server, tokens float64) float64 {
	return tokens/e.rateOf(s) + tokens*(float64(e.tokensIn)-tokens/2)/1e6*attentionMSPerMillionPairs
}

// queueingMS is how long s takes to prefill the tokens that are already there.
func (e *engineCostModel) queueingMS(s *server, tokens int64) float64 {
	return float64(max(tokens, 0)) * (1/e.rateOf(s) + queuedAttentionMSPerToken)
}

// rateOf is the prefill rate of s, in tokens in a millisecond.
func (e *engineCostModel) rateOf(s *server) float64 { return e.tokensPerMS * s.relativeSpeed }

// poolPenaltyMS is for a server that is for prompts of the other kind. A long prompt delays what runs there by its prefill.
func (e *engineCostModel) poolPenaltyMS(s *server, prefillMS float64) float64 {
	switch {
	case e.placement.matches(s):
		return 0
	case e.placement.isLong:
		return longOutsidePoolCost + prefillMS
	}
	return shortInsidePoolCost
}

// exceedsMemory reports whether a server with that many tokens in use and of the prompt cached could not hold the request.
func (e *engineCostModel) exceedsMemory(usedTokens int64, cachedTokens int) bool {
	return e.cacheTokens > 0 && usedTokens+int64(e.tokensIn-cachedTokens+e.maxTokensOut) > e.cacheTokens
}
