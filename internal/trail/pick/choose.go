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
	most := max(r.Route.MaxTries, 1)
	switch {
	case offered && !r.Route.Repeatable(),
		r.arrived >= most,
		len(tried) >= most+unsentTries:
		c.Verdict = Exhaust
		return c
	}
	o := p.rotation(r.Route)
	due := o.next()
	prompt := chainOf(r)
	spent, room := false, math.Inf(1)
	// The due group; then the next ones with a weight; those of weight 0 only where all these are empty.
	for _, weighted := range [...]bool{true, false} {
		for i := range o.shares {
			share := &o.shares[(due+i)%len(o.shares)]
			g := p.groups[share.Service]
			if (share.Weight > 0) != weighted || g == nil || g.service == nil || len(g.servers) == 0 {
				continue
			}
			if r.arrived > 0 && !g.budget.allows(now, p.set.RetryRatio, p.set.RetrySlack/float64(p.peers.count())) {
				spent = true
				continue
			}
			s, at, wait := p.inGroup(now, r, g, &prompt, tried)
			if s != nil {
				return p.send(now, c, r, s, at, &prompt)
			}
			room = min(room, wait)
		}
	}
	if !spent {
		if s, at := p.leastDoubted(now, r, o, due, &prompt, tried); s != nil {
			return p.send(now, c, r, s, at, &prompt)
		}
	}
	c.RetryAfter = retryNone
	if !math.IsInf(room, 1) {
		c.RetryAfter = span(room)
	}
	c.RetryAfter = max(min(c.RetryAfter, r.Left/3), retryLeast)
	c.Verdict = Refuse
	if len(tried) > 0 {
		c.Verdict = Exhaust
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
	case r != nil && len(r.Route.Homes) > 0 && !slices.Contains(r.Route.Homes, s.Region):
		return abroad
	case len(tried) > 0 && slices.Contains(tried, s.ID):
		return usedUp
	case s.gone:
		return misdirected
	case s.doubted(now):
		return doubted
	case s.cold(now) && !p.coldToken(now, s):
		return coldNow
	}
	return fit
}

// inGroup finds the group's server for r: in the order of the rotation, the first of those that cost about the least,
// where a due server with more of this proxy's requests in flight yields to the next. Without one it tells in how many
// milliseconds there may be room; infinite: no server could take it.
func (p *Picker) inGroup(now Time, r *Request, g *group, prompt *chain, tried []string) (best *server, at cost, wait float64) {
	n := len(g.servers)
	if cap(p.costs) < n {
		p.costs = make([]cost, n+n/2)
	}
	costs := p.costs[:n]
	least, used, slots := math.Inf(1), 0, 0
	var w weigher
	p.weigh(&w, now, r, g, prompt)
	for i, s := range g.servers {
		if p.bars(now, s, r, tried) != fit {
			costs[i].total = math.Inf(1)
			continue
		}
		costs[i] = p.price(&w, now, r, s)
		least = min(least, costs[i].total)
		used += costs[i].load
		slots += s.slots()
	}
	if math.IsInf(least, 1) {
		return nil, cost{}, math.Inf(1)
	}
	limit := least + w.tolerance
	first, second := -1, -1
	for k := range n {
		i := (g.cursor + k) % n
		if costs[i].total > limit {
			continue
		}
		if first < 0 {
			first = i
		} else {
			second = i
			break
		}
	}
	if second >= 0 && g.servers[first].own.Requests > g.servers[second].own.Requests {
		first = second
	}
	at = costs[first]
	// A refusal while under half of the places are taken is never right: the estimate is.
	if used*2 >= slots {
		if wait, refused := p.crowded(r, g.servers[first], at); refused {
			return nil, at, wait
		}
	}
	g.cursor = (first + 1) % n
	return g.servers[first], at, 0
}

// crowded tells whether r is better refused than sent to s, which would cost it the least, and in how many milliseconds
// there may be room. A new request is refused where it would come late by waiting for others: a client that comes back
// and is then served in time is worth more than a late answer, and every answer that is late makes others late. One that
// was refused before is refused again only where it can't be served at all.
func (p *Picker) crowded(r *Request, s *server, at cost) (wait float64, refused bool) {
	left, aim := ms(r.Left), ms(r.Route.Aim)
	back := min(max(at.wait, 100), 2000)
	switch {
	case at.first > left, at.load >= queueFactor*s.slots():
		return back, true
	case aim > 0 && at.wait > waitShare*aim && !r.returned(),
		aim > 0 && at.wait > returnShare*aim:
		return back, true
	}
	return 0, false
}

// returned tells whether r seems to be a client's later try: a part of its time is over.
func (r *Request) returned() bool {
	return r.Route.Timeout > 0 && r.Left+r.Age < r.Route.Timeout-returnedLeast
}

const (
	waitShare     = 0.6 // of the aim that a new request may wait for others
	returnShare   = 1 // and one that comes back
	returnedLeast = 80 * time.Millisecond
)

// queueFactor times its slots is what a server is believed to take, running and waiting.
const queueFactor = 3

// leastDoubted finds a doubted server where no other can be had: the one whose time is over first. It gets one trial at
// a time, as long as none of a request's tries went to one.
func (p *Picker) leastDoubted(now Time, r *Request, o *rotation, due int, prompt *chain, tried []string) (best *server, at cost) {
	for i := range o.shares {
		g := p.groups[o.shares[(due+i)%len(o.shares)].Service]
		if g == nil || g.service == nil {
			continue
		}
		for _, s := range g.servers {
			if p.bars(now, s, r, tried) != doubted || s.cold(now) && !p.coldToken(now, s) || s.own.Requests >= s.slots() {
				continue
			}
			if best == nil || s.outUntil < best.outUntil || s.outUntil == best.outUntil && s.own.Requests < best.own.Requests {
				best = s
			}
		}
		if best != nil {
			var w weigher
			p.weigh(&w, now, r, g, prompt)
			return best, p.price(&w, now, r, best)
		}
	}
	return nil, cost{}
}
