package pick

import (
	"iter"
	"math"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

const (
	// defaultRetryAfter is the Retry-After if no known server could take the request. It differs from the proxy's
	// constant of the same name, which is shorter and applies to responses for which the picker has given no wait.
	defaultRetryAfter = 400 * time.Millisecond
	// minRetryAfter is the minimum Retry-After of a Result. The proxy has a constant of the same
	// name and value for waits that do not come from a Result; this package may not import it.
	minRetryAfter = 50 * time.Millisecond
	// retryAfterDivisor limits the Retry-After to 1/retryAfterDivisor of the time that the client has left.
	retryAfterDivisor = 3
	// retryAfterFactor multiplies the estimated queueing time of a rejected request to give its Retry-After.
	retryAfterFactor = 2
	// minOverloadRetryAfterMS and maxOverloadRetryAfterMS bound that Retry-After, in milliseconds.
	minOverloadRetryAfterMS, maxOverloadRetryAfterMS = 100, 2000
	// maxUnsentAttempts is how many servers beyond MaxAttempts may be tried if the attempts do not reach a server.
	maxUnsentAttempts = 3
	// maxQueueingShare limits the estimated time that a request waits for others, as a
	// multiple of the latency target. Estimates tend to be too high rather than too low.
	maxQueueingShare = 1.5
	// maxPriority is the highest priority number of a Result.
	maxPriority = 9
)

// pickInput holds the arguments of one call of Pick.
type pickInput struct {
	now     Time
	request *Request // nil: any request
	tried   []string // ids of the servers that were tried before
	prompt  *prefixcache.Chain
}

// Pick decides where r goes now. tried holds the ids of the servers that this request was sent to; mayHaveRun reports whether
// one of these attempts may have run. If the decision is Send, the attempt is registered, and Done must follow exactly once.
func (p *Picker) Pick(now Time, r *Request, tried []string, mayHaveRun bool) Result {
	result := Result{Priority: min(max(r.Priority(), 0), maxPriority)}
	if mayHaveRun && !r.Route.Idempotent() || r.attemptsExhausted(len(tried)) {
		result.Decision = GiveUp
		return result
	}
	rotation := p.rotations.ForRoute(r.Route)
	due, shares := rotation.Next(), rotation.Shares()
	input := &p.scratch.input
	*input = pickInput{now: now, request: r, tried: tried, prompt: &p.scratch.prompt}
	p.scratch.prompt = prefixcache.NewChain(r.Prefix)

	retryAfterMS := math.Inf(1)
	for g := range p.groupsInOrder(shares, due) {
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

// attemptsExhausted reports whether r has used up its attempts. tried is
// the number of servers that it was sent to, as counted by the caller.
//
// The proxy counts attempts as well, and applies this rule and the one about requests that may have run (mayRetry).
// Both count on purpose. The proxy needs the answer where it does not ask the picker. The picker needs its own count,
// countedAttempts, to tell retries from first attempts for the retry budget; it includes the attempt in flight, and
// is decremented if nothing of the attempt was sent. And the limit holds even if one of the two counts is wrong.
func (r *Request) attemptsExhausted(tried int) bool {
	return r.countedAttempts >= r.maxAttempts() || tried >= r.maxAttempts()+maxUnsentAttempts
}

// groupsInOrder yields the groups that a request may go to: the one that is due; then the next ones with a weight; then those with weight
// 0, which are used only if all others are empty. A group that is full is not empty: requests are divided by weight, not by load.
func (p *Picker) groupsInOrder(shares []config.Share, due int) iter.Seq[*group] {
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

// sendWithinBudget sends the request to s, unless it is a retry that exceeds the retry budget of s's service.
func (p *Picker) sendWithinBudget(input *pickInput, result Result, s *server, estimated cost) Result {
	if input.request.countedAttempts > 0 && !s.group.budget.Allows(input.now, p.settings.RetryRatio, p.retrySlack()) {
		return result.withoutServer(input, math.Inf(1))
	}
	return p.send(input, result, s, estimated)
}

// retrySlack is this proxy's share of the retries that all proxies may make
// in addition to the ratio; 0 while the number of proxies is not known.
func (p *Picker) retrySlack() float64 {
	if p.state.MembershipIncomplete {
		return 0
	}
	return p.settings.RetrySlack / float64(p.fleet.size.count())
}

// withoutServer completes the result for a request that cannot be sent. retryAfterMS
// is the time in milliseconds until there may be capacity; infinite: not known.
func (result Result) withoutServer(input *pickInput, retryAfterMS float64) Result {
	result.RetryAfter = defaultRetryAfter
	if !math.IsInf(retryAfterMS, 1) {
		result.RetryAfter = durationMS(retryAfterMS)
	}
	result.RetryAfter = max(min(result.RetryAfter, input.request.TimeLeft/retryAfterDivisor), minRetryAfter)
	result.Decision = Reject
	if len(input.tried) > 0 || input.request.countedAttempts > 0 {
		result.Decision = GiveUp
	}
	return result
}

// groupResult is the outcome of looking for a server in one group.
type groupResult struct {
	server       *server // nil: none
	cost         cost
	overloaded   bool    // a server could take the request, but not in time
	retryAfterMS float64 // without a server: milliseconds until there may be one; infinite: not known
}

// pickInGroup finds the group's server for a request: in rotation order, the first of the servers whose cost is about
// the lowest. A server that is due is skipped for the next one if this proxy has more requests in flight there.
func (p *Picker) pickInGroup(input *pickInput, members *group) groupResult {
	p.recordPrompt(input, members)
	model := p.initCostModel(input, members)
	estimates := p.estimateCosts(input, members, model)
	if math.IsInf(estimates.minTotalMS, 1) {
		return groupResult{retryAfterMS: estimates.warmUpWaitMS}
	}
	index := members.nextWithinCost(estimates.costs, estimates.minTotalMS+model.toleranceMS)
	s, estimated := members.servers[index], estimates.costs[index]
	// Rejecting while less than half of the slots are taken is never right: the estimate must be wrong.
	halfTaken := estimates.requests*2 >= estimates.slots
	if halfTaken && isOverloaded(input.request, s, estimated) {
		retryAfterMS := min(max(retryAfterFactor*estimated.queueingMS, minOverloadRetryAfterMS), maxOverloadRetryAfterMS)
		return groupResult{overloaded: true, retryAfterMS: retryAfterMS}
	}
	members.cursor = (index + 1) % len(members.servers)
	return groupResult{server: s, cost: estimated}
}

// groupEstimates holds the estimated costs of a group's servers.
type groupEstimates struct {
	costs           []cost  // by server; infinite if it is not eligible
	minTotalMS      float64 // infinite if no server is eligible
	requests, slots int     // sums over the eligible servers
	warmUpWaitMS    float64 // until this proxy may send to one of the warming servers; infinite: not known
}

// estimateCosts estimates the cost of each server of a group. The result is valid until the next call.
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

// nextWithinCost returns the index of the server whose turn it is among those that cost at most limitMS, of which there
// is at least one: the first from the cursor on, or the second if this proxy has fewer requests in flight there.
func (g *group) nextWithinCost(costs []cost, limitMS float64) int {
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

// isOverloaded reports whether r should be rejected rather than sent to s, its cheapest server. A request
// is rejected if it cannot be served at all, or if it would be late because it waits for others: each late
// response makes the next ones late, and a client that comes back a little later may be served in time.
func isOverloaded(r *Request, s *server, estimated cost) bool {
	missesDeadline := estimated.firstEventMS > ms(r.TimeLeft)
	exceedsCapacity := float64(estimated.requests) >= s.group.capacityPerSlot*float64(s.slots())
	target := ms(r.Route.LatencyTarget)
	missesTarget := target > 0 && estimated.queueingMS > maxQueueingShare*target
	return missesDeadline || exceedsCapacity || missesTarget
}
