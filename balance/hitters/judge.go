package hitters

import (
	"math"
	"time"
)

const (
	sureBy     = 2.5         // standard deviations from a share to the bar: of few requests it may be chance
	mostWeight = 4           // times the next origin's total, that the largest counts for
	more, less = 1.01, 0.95  // of what is served, that is let in next
	nearlyAll  = 0.99        // of what was let in
	rise, fall = 0.25, 0.02  // of the way to that, which what was served before goes in a window,
	most, fill = 0.9, 0.2    // and where less than that share is served, the part of the rest let in besides
	leastKept  = 0.1         // of the lower bar: the share of what is served that is kept at the worst
	backAfter  = time.Second // at the least for one that gives way, and as much more at random
)

// Roll ends a window and moves the clients on. It returns the report that the others are to get, and the
// clients whose state is another now. The host calls it every Window.
func (j *Judge) Roll(now Time) (own News, changed []Client) {
	own = j.endWindow(now)
	// Danger: one origin could hide all clients behind a total without bound.
	_, next := j.totals()
	f, clients := j.sum(mostWeight * next)
	for _, t := range clients {
		c := j.client(t.key)
		share, sure := f.surely(t)
		c.take(share, t, f)
		if to := j.next(c, share, sure, now); to != c.State {
			c.State, c.Since = to, now
			j.hold(c)
			changed = append(changed, *c)
		}
	}
	j.share(f, clients)
	return own, changed
}

// surely is a client's share of the fleet's work, less what the other origin that tells most of it tells, and
// the same less a margin for chance. Danger: one origin that lies could have any client be held for heavy.
// What it tells adds to the total; to this sum it adds nothing, or less than the honest one left out for it.
// So a client that comes by one sidecar alone is heavy there, by its own count, and nowhere else.
func (f fleet) surely(t tally) (share, sure float64) {
	share = float64(t.sum-t.most) / math.Max(float64(f.total), 1)
	return share, share - sureBy*math.Sqrt(share*(1-share)/math.Max(float64(f.requests), 1))
}

// next is the state that a client goes to: up by what is sure, down by what is not even likely.
func (j *Judge) next(c *Client, share, sure float64, now Time) State {
	switch high, long := sure >= j.set.High, now-c.Since; {
	case c.State == Quiet && high:
		return Suspected
	case c.State == Suspected && !high, c.State == Cooling && !high && long >= j.set.Cool:
		return Quiet
	case c.State == Suspected && long >= j.set.Hold, c.State == Cooling && high:
		return Heavy
	case c.State == Heavy && share < j.set.Low:
		return Cooling
	}
	return c.State
}

// share says which part of its requests a heavy client keeps while servers are full: what they do is shared
// by max-min. Those that are not among clients ask for little: under the level.
//
// Danger: what is served now, if no more is let in for good, only ever falls; and what is turned away for
// other reasons would take a heavy client's last. So a little more is let in each time, a little less only
// while some of it is turned away, and more again where servers do less than they did before.
func (j *Judge) share(f fleet, clients []tally) {
	rest, sent := j.asked(f, clients)
	can := float64(f.served) * more
	if float64(f.served) < sent*nearlyAll {
		can = float64(f.served) * less
	}
	j.room += max(rise*(can-j.room), fall*(can-j.room))
	j.idle = max(0, j.idle+fill*(most*j.room-float64(f.served)))
	can += j.idle
	// Danger: by a total that is not true, or where the others ask for all, it would be left with nothing.
	level := max(maxMin(can-max(rest, 0), clients), leastKept*j.set.Low*can)
	for _, t := range clients {
		c := j.client(t.key)
		c.Keep = min(1, level/max(float64(t.sum), 1))
		c.yields = c.yields && c.Keep < 1
	}
}

// Yields tells whether a request of a client is to give way to others, as servers are full, and after which
// time it may come back. Danger: clients that are told the same time come back together; and servers are full
// no more just because it gives way, which it goes on to do until there is room for all of it.
func (j *Judge) Yields(now Time, full bool, key, request uint64) (after time.Duration, yields bool) {
	c := j.heavy(key)
	if c == nil || now-j.open.begun > j.set.Bound { // as after this process was stopped
		return 0, false
	}
	if c.yields = c.yields || full; !c.yields {
		return 0, false
	}
	if c.credit += c.Keep; c.credit >= 1 {
		c.credit--
		return 0, false
	}
	j.yielded++
	spread := float64((request^key^j.set.Origin)*0x9e3779b97f4a7c15>>11) / (1 << 53) // Fibonacci hashing (Knuth)
	return backAfter + time.Duration(spread*float64(backAfter)), true
}
