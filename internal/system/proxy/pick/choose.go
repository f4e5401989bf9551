package pick

import (
	"math"
	"slices"
	"time"
)

const (
	retryNone   = 400 * time.Millisecond // Retry-After when no server is known that could take the request
	retryLeast  = 50 * time.Millisecond
	unsentTries = 3 // servers beyond MaxTries that may be tried when nothing reaches them
)

// cost is what a server would cost a request, in milliseconds.
type cost struct {
	total float64 // what is compared; infinite: it can't be had
	first float64 // the estimated time to the first event, the network included
	wait  float64 // its part that is waiting for others
	load  int     // requests that are believed there
}

// Choose decides where r goes now. tried holds the ids of the servers that this try was sent to, offered tells that one
// of these sends may have run. With Send it registers the send: Done has to follow, exactly once.
func (p *Picker) Choose(now Time, r *Request, tried []string, offered bool) Choice {
	c := Choice{Priority: min(max(r.Route.Priority, 0), 9)}
	most := max(r.Route.MaxAttempts, 1)
	switch {
	case offered && !r.Route.Idempotent(),
		r.arrived >= most,
		len(tried) >= most+unsentTries:
		c.Verdict = GiveUp
		return c
	}
	o := p.rotation(r.Route)
	due := o.next()
	prompt := &p.prompt
	*prompt = chainOf(r)
	wait := math.Inf(1)
	// The due group; then the next ones with a weight; those of weight 0 only where all these are empty. A group that
	// is full is not empty: shares follow the weights, not the load.
	for _, weighted := range [...]bool{true, false} {
		for i := range o.shares {
			share := &o.shares[(due+i)%len(o.shares)]
			g := p.groups[share.Service]
			if (share.Weight > 0) != weighted || g == nil || g.service == nil || len(g.servers) == 0 {
				continue
			}
			got := p.inGroup(now, r, g, prompt, tried)
			wait = min(wait, got.wait)
			if got.server == nil && !got.crowded {
				continue
			}
			if got.crowded {
				return c.without(r, tried, got.wait)
			}
			return p.repeatOrSend(now, c, r, got.server, got.cost, prompt, tried)
		}
	}
	if s, at := p.leastDoubted(now, r, o, due, prompt, tried); s != nil {
		return p.repeatOrSend(now, c, r, s, at, prompt, tried)
	}
	return c.without(r, tried, wait)
}

// repeatOrSend sends r to s, unless it would be a repeat that the budget of s's service does not hold.
func (p *Picker) repeatOrSend(now Time, c Choice, r *Request, s *server, at cost, prompt *chain, tried []string) Choice {
	if r.arrived > 0 && !s.group.budget.allows(now, p.set.RetryRatio, p.retrySlack()) {
		return c.without(r, tried, math.Inf(1))
	}
	return p.send(now, c, r, s, at, prompt)
}

// retrySlack is this proxy's part of the repeats that all may make beside the ratio; none while it does not know how many there
// are.
func (p *Picker) retrySlack() float64 {
	if p.world.MembershipIncomplete {
		return 0
	}
	return p.set.RetrySlack / float64(p.peers.count())
}

// without is the verdict when r can't be sent: there may be room in wait milliseconds; infinite: not known.
func (c Choice) without(r *Request, tried []string, wait float64) Choice {
	c.RetryAfter = retryNone
	if !math.IsInf(wait, 1) {
		c.RetryAfter = span(wait)
	}
	c.RetryAfter = max(min(c.RetryAfter, r.TimeLeft/3), retryLeast)
	c.Verdict = Refuse
	if len(tried) > 0 || r.arrived > 0 {
		c.Verdict = GiveUp
	}
	return c
}

// bar says why a server can't get a request.
type bar uint8

const (
	fit bar = iota
	draining
	evacuated
	abroad // not in the route's home regions
	usedUp // this try was sent there
	misdirected
	doubted
	coldNow // cold, and this proxy has no send for it now
)

func (b bar) String() string {
	return [...]string{"ready", "draining", "in an evacuated zone", "outside the home regions", "tried", "gone: its address answers for another",
		"doubted", "cold: its allowance is used or held by others"}[b]
}

// bars tells why s can't get r. The first four are rules and never relaxed.
func (p *Picker) bars(now Time, s *server, r *Request, tried []string) bar {
	switch {
	case s.Draining:
		return draining
	case p.world.Evacuated[s.Zone]:
		return evacuated
	case r != nil && len(r.Route.HomeRegions) > 0 && !slices.Contains(r.Route.HomeRegions, s.Region):
		return abroad
	case len(tried) > 0 && slices.Contains(tried, s.ID):
		return usedUp
	case s.gone:
		return misdirected
	case s.doubted(now), r != nil && s.suspect() && !s.mayTry(now, r, tried):
		return doubted
	case s.cold(now) && !p.coldToken(now, s):
		return coldNow
	}
	return fit
}

// found is what a group has for a request.
type found struct {
	server  *server // nil: none
	cost    cost
	crowded bool    // one could take it, but not in time
	wait    float64 // without a server: milliseconds until there may be one; infinite: not known
}

// inGroup finds the group's server for r: in the order of the rotation, the first of those that cost about the least,
// where a due server with more of this proxy's requests in flight yields to the next.
func (p *Picker) inGroup(now Time, r *Request, g *group, prompt *chain, tried []string) found {
	n := len(g.servers)
	if cap(p.costs) < n {
		p.costs = make([]cost, n+n/2)
	}
	costs := p.costs[:n]
	least, used, slots, warm := math.Inf(1), 0, 0, math.Inf(1)
	w := &p.weigher
	p.weigh(w, now, r, g, prompt)
	for i, s := range g.servers {
		switch p.bars(now, s, r, tried) {
		case fit:
			costs[i] = p.price(w, now, r, s)
			least = min(least, costs[i].total)
			used += costs[i].load
			slots += s.slots()
			continue
		case coldNow:
			warm = min(warm, p.coldWait(now, s))
		}
		costs[i].total = math.Inf(1)
	}
	if math.IsInf(least, 1) {
		return found{wait: warm}
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
	if second >= 0 && g.servers[first].own.Requests > g.servers[second].own.Requests {
		first = second
	}
	s, at := g.servers[first], costs[first]
	// A refusal while under half of the places are taken is never right: the estimate is wrong then.
	if used*2 >= slots && p.crowded(r, s, at) {
		return found{crowded: true, wait: min(max(backFactor*at.wait, 100), 2000)}
	}
	g.cursor = (first + 1) % n
	return found{server: s, cost: at}
}

// crowded tells whether r is better refused than sent to s, which would cost it the least. It is refused where it can't
// be served at all, and where it would come late by waiting for others: every answer that is late then makes the next
// ones late, and a client that comes back a little later may be in time.
func (p *Picker) crowded(r *Request, s *server, at cost) bool {
	aim := ms(r.Route.LatencyTarget)
	return at.first > ms(r.TimeLeft) || float64(at.load) >= s.group.room*float64(s.slots()) || aim > 0 && at.wait > waitShare*aim
}

const (
	waitShare  = 1.5 // of the aim that a request may be believed to wait for others; beliefs are high rather than low
	backFactor = 2   // times what it would have waited, a client is told to come back after
)

// leastDoubted finds a doubted server where no other can be had: the one whose time is over first. It gets one trial at
// a time, as long as none of a request's tries went to one.
func (p *Picker) leastDoubted(now Time, r *Request, o *rotation, due int, prompt *chain, tried []string) (best *server, at cost) {
	for i := range o.shares {
		g := p.groups[o.shares[(due+i)%len(o.shares)].Service]
		if g == nil || g.service == nil {
			continue
		}
		for _, s := range g.servers {
			if p.bars(now, s, r, tried) != doubted || s.cold(now) && !p.coldToken(now, s) || !p.mayKnock(s) {
				continue
			}
			if best == nil || s.outUntil < best.outUntil || s.outUntil == best.outUntil && s.own.Requests < best.own.Requests {
				best = s
			}
		}
		if best != nil {
			p.weigh(&p.weigher, now, r, g, prompt)
			return best, p.price(&p.weigher, now, r, best)
		}
	}
	return nil, cost{}
}
