package pick

import (
	"iter"
	"math"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

const (
	// defaultRetryAfter is the Retry-After where no server is known that could take the request. It is not the proxy's constant of that
	// name, which is shorter and stands for responses for which the picker has named no wait.
	defaultRetryAfter = 400 * time.Millisecond
	// minRetryAfter is the least Retry-After of a Result. The proxy has a constant of the same name and value for the waits that do not
	// come from a Result; this package may not import it.
	minRetryAfter = 50 * time.Millisecond
	// retryAfterDivisor: a client is told to wait for at most one part in so many of the time that it has left.
	retryAfterDivisor = 3
	// retryAfterFactor is how many times what it would have waited a client is told to come back after.
	retryAfterFactor = 2
	// minOverloadRetryAfterMS and maxOverloadRetryAfterMS bound that, in milliseconds.
	minOverloadRetryAfterMS, maxOverloadRetryAfterMS = 100, 2000
	// maxUnsentAttempts is how many servers beyond MaxAttempts may be tried where nothing reaches them.
	maxUnsentAttempts = 3
	// maxQueueingShare is how long, as a multiple of the latency target, a request may be estimated to wait for others. Estimates are high
	// rather than low.
	maxQueueingShare = 1.5
	// maxPriority is the highest priority of a Result.
	maxPriority = 9
)

// pickInput is what one call of Pick is about.
type pickInput struct {
	now     Time
	request *Request // nil: any request
	tried   []string // ids of the servers that were tried
	prompt  *prefixcache.Chain
}

// Pick decides where r goes now. tried has the ids of the servers that this request was sent to, mayHaveRun says that one of these attempts
// may have run. With Send it registers the attempt: Done has to follow, exactly once.
func (p *Picker) Pick(now Time, r *Request, tried []string, mayHaveRun bool) Result {
	result := Result{Priority: min(max(r.Priority(), 0), maxPriority)}
	if mayHaveRun && !r.Route.Idempotent() || r.hasNoTriesLeft(len(tried)) {
		result.Decision = GiveUp
		return result
	}
	rotation := p.rotations.Of(r.Route)
	due, shares := rotation.Next(), rotation.Shares()
	input := &p.scratch.input
	*input = pickInput{now: now, request: r, tried: tried, prompt: &p.scratch.prompt}
	p.scratch.prompt = prefixcache.NewChain(r.Prefix)

	retryAfterMS := math.Inf(1)
	for g := range p.groupsInTurn(shares, due) {
		found := p.pickInGroup(input, g)
		retryAfterMS = min(retryAfterMS, found.retryAfterMS)
		switch {
		case found.overloaded:
			return result.withoutServer(input, found.retryAfterMS)
		case found.server != nil:
			return p.sendWithinBudget(input, result, found.server, found.cost)
		}
	}
	if s, estimated := p.pickProbe(input, shares, due); s != nil {
		return p.sendWithinBudget(input, result, s, estimated)
	}
	return result.withoutServer(input, retryAfterMS)
}

// hasNoTriesLeft reports whether r has used up its attempts. tried is how many servers it was sent to by the caller's count.
//
// The proxy counts the attempts as well, and applies this rule and that on requests that may have run (mayRetry). Both count on purpose.
// The proxy needs the answer where it does not ask the picker. The picker needs its own count, arrived, to tell retries from first
// attempts for the retry budget; it includes the attempt under way, and goes back where nothing of it was sent. And the limit holds though
// one of the two counts is wrong.
func (r *Request) hasNoTriesLeft(tried int) bool {
	return r.arrived >= r.maxTries() || tried >= r.maxTries()+maxUnsentAttempts
}

// groupsInTurn gives the groups that a request may go to: the due one; then the next ones with a weight; then those of weight 0, which are
// for when all others are empty. A group that is full is not empty: shares follow the weights, not the load.
func (p *Picker) groupsInTurn(shares []config.Share, due int) iter.Seq[*group] {
	return func(yield func(*group) bool) {
		for _, weighted := range [...]bool{true, false} {
			for i := range shares {
				share := &shares[(due+i)%len(shares)]
				if (share.Weight > 0) != weighted {
					continue
				}
				g := p.groups[share.Service]
				if g == nil || g.service == nil || len(g.servers) == 0 {
					continue
				}
				if !yield(g) {
					return
				}
			}
		}
	}
}

// sendWithinBudget sends the request to s, unless it would be a retry that the budget of s's service does not hold.
func (p *Picker) sendWithinBudget(input *pickInput, result Result, s *server, estimated cost) Result {
	if input.request.arrived > 0 && !s.group.budget.Allows(input.now, p.settings.RetryRatio, p.retrySlack()) {
		return result.withoutServer(input, math.Inf(1))
	}
	return p.send(input, result, s, estimated)
}

// retrySlack is this proxy's part of the retries that all may make beside the ratio; none while it does not know how many there are.
func (p *Picker) retrySlack() float64 {
	if p.state.MembershipIncomplete {
		return 0
	}
	return p.settings.RetrySlack / float64(p.fleet.size.count())
}

// withoutServer is the result where the request can't be sent: there may be capacity in that many milliseconds; infinite: not known.
func (result Result) withoutServer(input *pickInput, retryAfterMS float64) Result {
	result.RetryAfter = defaultRetryAfter
	if !math.IsInf(retryAfterMS, 1) {
		result.RetryAfter = durationMS(retryAfterMS)
	}
	result.RetryAfter = max(min(result.RetryAfter, input.request.TimeLeft/retryAfterDivisor), minRetryAfter)
	result.Decision = Reject
	if len(input.tried) > 0 || input.request.arrived > 0 {
		result.Decision = GiveUp
	}
	return result
}

// groupResult is what a group has for a request.
type groupResult struct {
	server       *server // nil: none
	cost         cost
	overloaded   bool    // a server could take the request, but not in time
	retryAfterMS float64 // without a server: milliseconds until there may be one; infinite: not known
}

// pickInGroup finds the group's server for a request: in the order of the rotation, the first of those that cost about the least, where a
// due server with more of this proxy's requests in flight yields to the next.
func (p *Picker) pickInGroup(input *pickInput, members *group) groupResult {
	p.recordPrompt(input, members)
	model := p.initCostModel(input, members)
	estimates := p.estimateCosts(input, members, model)
	if math.IsInf(estimates.minTotalMS, 1) {
		return groupResult{retryAfterMS: estimates.warmUpWaitMS}
	}
	index := members.nextWithin(estimates.costs, estimates.minTotalMS+model.toleranceMS)
	s, estimated := members.servers[index], estimates.costs[index]
	// A rejection while under half of the slots are taken is never right: the estimate is wrong then.
	halfTaken := estimates.requests*2 >= estimates.slots
	if halfTaken && isOverloaded(input.request, s, estimated) {
		retryAfterMS := min(max(retryAfterFactor*estimated.queueingMS, minOverloadRetryAfterMS), maxOverloadRetryAfterMS)
		return groupResult{overloaded: true, retryAfterMS: retryAfterMS}
	}
	members.cursor = (index + 1) % len(members.servers)
	return groupResult{server: s, cost: estimated}
}

// groupEstimates are the costs of a group's servers.
type groupEstimates struct {
	costs           []cost  // of each server; infinite: it is not eligible
	minTotalMS      float64 // infinite: none is eligible
	requests, slots int     // of the eligible servers
	warmUpWaitMS    float64 // until this proxy may send to one that warms up; infinite: not known
}

// estimateCosts finds out what each server of a group costs. The costs are valid until the next call.
func (p *Picker) estimateCosts(input *pickInput, g *group, model *costModel) groupEstimates {
	count := len(g.servers)
	if cap(p.scratch.costs) < count {
		p.scratch.costs = make([]cost, count+count/2)
	}
	estimates := groupEstimates{costs: p.scratch.costs[:count], minTotalMS: math.Inf(1), warmUpWaitMS: math.Inf(1)}
	for i, s := range g.servers {
		estimated := &estimates.costs[i]
		switch p.eligibility(input, s) {
		case eligible:
			model.estimate(s, estimated)
			estimates.minTotalMS = min(estimates.minTotalMS, estimated.totalMS)
			estimates.requests += estimated.requests
			estimates.slots += s.slots()
			continue
		case warmUpPaced:
			estimates.warmUpWaitMS = min(estimates.warmUpWaitMS, p.warmUps.waitMS(input.now, s))
		}
		estimated.totalMS = math.Inf(1)
	}
	return estimates
}

// nextWithin is the index of the server whose turn it is among those that cost at most limitMS, of which there is one: the first from the
// cursor on, or the second if this proxy has fewer requests in flight there.
func (g *group) nextWithin(costs []cost, limitMS float64) int {
	count := len(g.servers)
	first, second := -1, -1
	for i := range count {
		index := (g.cursor + i) % count
		if costs[index].totalMS > limitMS {
			continue
		}
		if first >= 0 {
			second = index
			break
		}
		first = index
	}
	if second >= 0 && g.servers[first].load.own.Requests > g.servers[second].load.own.Requests {
		return second
	}
	return first
}

// isOverloaded reports whether r is better rejected than sent to s, which would cost it the least. It is rejected where it can't be served
// at all, and where it would be late by waiting for others: every answer that is late then makes the next ones late, and a client that
// comes back a little later may be in time.
func isOverloaded(r *Request, s *server, estimated cost) bool {
	missesDeadline := estimated.firstEventMS > ms(r.TimeLeft)
	exceedsCapacity := float64(estimated.requests) >= s.group.capacityPerSlot*float64(s.slots())
	target := ms(r.Route.LatencyTarget)
	missesTarget := target > 0 && estimated.queueingMS > maxQueueingShare*target
	return missesDeadline || exceedsCapacity || missesTarget
}
