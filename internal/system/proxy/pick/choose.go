package pick

import (
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

const (
	defaultRetryAfter = 400 * time.Millisecond // Retry-After when no server is known that could take the request
	minRetryAfter     = 50 * time.Millisecond
	maxUnsentAttempts = 3 // servers beyond MaxTries that may be tried when nothing reaches them
)

// cost is what a server would cost a request, in milliseconds.
type cost struct {
	total      float64 // what is compared; infinite: it can't be had
	firstEvent float64 // the estimated time to the first event, the network included
	queueing   float64 // its part that is waiting for others
	load       int     // requests that are believed there
}

// Pick decides where r goes now. tried holds the ids of the servers that this try was sent to, offered tells that one
// of these sends may have run. With Send it registers the send: Done has to follow, exactly once.
func (p *Picker) Pick(now Time, r *Request, tried []string, offered bool) Result {
	c := Result{Priority: min(max(r.Route.Priority, 0), 9)}
	most := max(r.Route.MaxTries, 1)
	switch {
	case offered && !r.Route.Idempotent(),
		r.arrived >= most,
		len(tried) >= most+maxUnsentAttempts:
		c.Verdict = GiveUp
		return c
	}
	o := p.rotations.Of(r.Route)
	due, shares := o.Next(), o.Shares()
	prompt := &p.prompt
	*prompt = prefixcache.NewChain(r.Prefix)
	wait := math.Inf(1)
	// The due group; then the next ones with a weight; those of weight 0 only where all these are empty. A group that
	// is full is not empty: shares follow the weights, not the load.
	for _, weighted := range [...]bool{true, false} {
		for i := range shares {
			share := &shares[(due+i)%len(shares)]
			g := p.groups[share.Service]
			if (share.Weight > 0) != weighted || g == nil || g.service == nil || len(g.servers) == 0 {
				continue
			}
			got := p.pickInGroup(now, r, g, prompt, tried)
			wait = min(wait, got.retryAfterMS)
			if got.server == nil && !got.overloaded {
				continue
			}
			if got.overloaded {
				return c.withoutServer(r, tried, got.retryAfterMS)
			}
			return p.sendWithinBudget(now, c, r, got.server, got.cost, prompt, tried)
		}
	}
	if s, at := p.pickProbe(now, r, shares, due, prompt, tried); s != nil {
		return p.sendWithinBudget(now, c, r, s, at, prompt, tried)
	}
	return c.withoutServer(r, tried, wait)
}

// sendWithinBudget sends r to s, unless it would be a repeat that the budget of s's service does not hold.
func (p *Picker) sendWithinBudget(now Time, c Result, r *Request, s *server, at cost, prompt *prefixcache.Chain, tried []string) Result {
	if r.arrived > 0 && !s.group.budget.Allows(now, p.settings.RetryRatio, p.retrySlack()) {
		return c.withoutServer(r, tried, math.Inf(1))
	}
	return p.send(now, c, r, s, at, prompt)
}

// retrySlack is this proxy's part of the repeats that all may make beside the ratio; none while it does not know how many there
// are.
func (p *Picker) retrySlack() float64 {
	if p.state.MembershipIncomplete {
		return 0
	}
	return p.settings.RetrySlack / float64(p.fleet.size.count())
}

// withoutServer is the verdict when r can't be sent: there may be room in wait milliseconds; infinite: not known.
func (c Result) withoutServer(r *Request, tried []string, wait float64) Result {
	c.RetryAfter = defaultRetryAfter
	if !math.IsInf(wait, 1) {
		c.RetryAfter = durationMS(wait)
	}
	c.RetryAfter = max(min(c.RetryAfter, r.TimeLeft/3), minRetryAfter)
	c.Verdict = Reject
	if len(tried) > 0 || r.arrived > 0 {
		c.Verdict = GiveUp
	}
	return c
}

// eligibility says why a server can't get a request.
type eligibility uint8

const (
	eligible eligibility = iota
	draining
	evacuated
	outsideHomeRegions // not in the route's home regions
	alreadyTried       // this try was sent there
	misdirected
	ejected
	warmUpPaced // cold, and this proxy has no send for it now
)

func (b eligibility) String() string {
	return [...]string{"ready", "draining", "in an evacuated zone", "outside the home regions", "tried", "gone: its address answers for another",
		"doubted", "cold: its allowance is used or held by others"}[b]
}

// eligibility tells why s can't get r. The first four are rules and never relaxed.
func (p *Picker) eligibility(now Time, s *server, r *Request, tried []string) eligibility {
	switch {
	case s.Draining:
		return draining
	case p.state.Evacuated[s.Zone]:
		return evacuated
	case r != nil && !r.allowsRegion(s.Region):
		return outsideHomeRegions
	case len(tried) > 0 && slices.Contains(tried, s.ID):
		return alreadyTried
	case s.misdirected:
		return misdirected
	case s.outlier.Ejected(now), r != nil && s.outlier.Suspected() && !s.outlier.MayProbe(now, len(tried) == 0 && r.Route.MaxTries > 1):
		return ejected
	case s.warmingUp(now) && !p.warmUps.maySend(now, s):
		return warmUpPaced
	}
	return eligible
}

// groupResult is what a group has for a request.
type groupResult struct {
	server       *server // nil: none
	cost         cost
	overloaded   bool    // one could take it, but not in time
	retryAfterMS float64 // without a server: milliseconds until there may be one; infinite: not known
}

// pickInGroup finds the group's server for r: in the order of the rotation, the first of those that cost about the least,
// where a due server with more of this proxy's requests in flight yields to the next.
func (p *Picker) pickInGroup(now Time, r *Request, g *group, prompt *prefixcache.Chain, tried []string) groupResult {
	n := len(g.servers)
	if cap(p.costs) < n {
		p.costs = make([]cost, n+n/2)
	}
	costs := p.costs[:n]
	least, used, slots, warm := math.Inf(1), 0, 0, math.Inf(1)
	w := &p.costModel
	p.initCostModel(w, now, r, g, prompt)
	for i, s := range g.servers {
		switch p.eligibility(now, s, r, tried) {
		case eligible:
			costs[i] = p.estimateCost(w, now, r, s)
			least = min(least, costs[i].total)
			used += costs[i].load
			slots += s.slots()
			continue
		case warmUpPaced:
			warm = min(warm, p.warmUps.waitMS(now, s))
		}
		costs[i].total = math.Inf(1)
	}
	if math.IsInf(least, 1) {
		return groupResult{retryAfterMS: warm}
	}
	limit := least + w.tolerance
	first, second := -1, -1
	for k := range n {
		i := (g.cursor + k) % n
		if costs[i].total > limit {
			continue
		}
		if first >= 0 {
			second = i
			break
		}
		first = i
	}
	if second >= 0 && g.servers[first].ownLoad.Requests > g.servers[second].ownLoad.Requests {
		first = second
	}
	s, at := g.servers[first], costs[first]
	// A refusal while under half of the places are taken is never right: the estimate is wrong then.
	if used*2 >= slots && p.overloaded(r, s, at) {
		return groupResult{overloaded: true, retryAfterMS: min(max(retryAfterFactor*at.queueing, 100), 2000)}
	}
	g.cursor = (first + 1) % n
	return groupResult{server: s, cost: at}
}

// overloaded tells whether r is better refused than sent to s, which would cost it the least. It is refused where it can't
// be served at all, and where it would come late by waiting for others: every answer that is late then makes the next
// ones late, and a client that comes back a little later may be in time.
func (p *Picker) overloaded(r *Request, s *server, at cost) bool {
	aim := ms(r.Route.LatencyTarget)
	return at.firstEvent > ms(r.TimeLeft) || float64(at.load) >= s.group.capacityPerSlot*float64(s.slots()) || aim > 0 && at.queueing > maxQueueingShare*aim
}

const (
	maxQueueingShare = 1.5 // of the aim that a request may be believed to wait for others; beliefs are high rather than low
	retryAfterFactor = 2   // times what it would have waited, a client is told to come back after
)

// pickProbe finds a doubted server where no other can be had: the one whose time is over first. It gets one trial at
// a time, as long as none of a request's tries went to one.
func (p *Picker) pickProbe(now Time, r *Request, shares []config.Share, due int, prompt *prefixcache.Chain, tried []string) (best *server, at cost) {
	for i := range shares {
		g := p.groups[shares[(due+i)%len(shares)].Service]
		if g == nil || g.service == nil {
			continue
		}
		for _, s := range g.servers {
			if p.eligibility(now, s, r, tried) != ejected || s.warmingUp(now) && !p.warmUps.maySend(now, s) || !p.hasProbeCapacity(s) {
				continue
			}
			if best == nil || s.outlier.EjectedUntil() < best.outlier.EjectedUntil() || s.outlier.EjectedUntil() == best.outlier.EjectedUntil() && s.ownLoad.Requests < best.ownLoad.Requests {
				best = s
			}
		}
		if best != nil {
			p.initCostModel(&p.costModel, now, r, g, prompt)
			return best, p.estimateCost(&p.costModel, now, r, best)
		}
	}
	return nil, cost{}
}
