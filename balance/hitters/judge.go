package hitters

import (
	"math"
	"time"
)

const (
	// Standard deviations from a share to the bar: of few requests it may be chance.
	confidenceDeviations        = 2.5
	maxTotalRatio               = 4          // times the next origin's total, that the largest counts for
	growthFactor, backoffFactor = 1.01, 0.95 // of what is served, that is let in next
	servedThreshold             = 0.99       // of what was let in
	// Of the way to that, which what was served before goes in a window,.
	riseRate, fallRate = 0.25, 0.02
	// And where less than that share is served, the part of the rest let in besides.
	usedThreshold, fillRate = 0.9, 0.2
	// Of the lower bar: the share of what is served that is kept at the worst.
	minAdmittedFraction = 0.1
	minRetryDelay       = time.Second // at the least for one that gives way, and as much more at random
)

// EndWindow ends a window and moves the clients on. It returns the report that the others are to get, and the
// clients whose state is another now. The host calls it every Window.
func (j *Detector) EndWindow(now Time) (own OriginReport, changed []Client) {
	own = j.closeWindow(now)
	// Danger: one origin could hide all clients behind a total without bound.
	_, next := j.largestTotals()
	f, clients := j.sumReports(maxTotalRatio * next)
	for _, t := range clients {
		c := j.client(t.key)
		share, sure := f.share(t)
		c.setShare(share, t, f)
		if to := j.nextState(c, share, sure, now); to != c.State {
			c.State, c.Since = to, now
			j.storeClient(c)
			changed = append(changed, *c)
		}
	}
	j.setAdmittedShares(f, clients)
	return own, changed
}

// share is a client's share of the fleet's work, less what the other origin that tells most of it tells, and
// the same less a margin for chance. Danger: one origin that lies could have any client be held for heavy.
// What it tells adds to the total; to this sum it adds nothing, or less than the honest one left out for it.
// So a client that comes by one sidecar alone is heavy there, by its own count, and nowhere else.
func (f fleet) share(t tally) (share, sure float64) {
	share = float64(t.total-t.largestOther) / math.Max(float64(f.total), 1)
	return share, share - confidenceDeviations*math.Sqrt(share*(1-share)/math.Max(float64(f.requests), 1))
}

// nextState is the state that a client goes to: up by what is sure, down by what is not even likely.
func (j *Detector) nextState(c *Client, share, sure float64, now Time) State {
	switch high, long := sure >= j.settings.HighThreshold, now-c.Since; {
	case c.State == Quiet && high:
		return Suspected
	case c.State == Suspected && !high, c.State == Cooling && !high && long >= j.settings.CoolingTime:
		return Quiet
	case c.State == Suspected && long >= j.settings.SuspicionTime, c.State == Cooling && high:
		return Heavy
	case c.State == Heavy && share < j.settings.LowThreshold:
		return Cooling
	}
	return c.State
}

// setAdmittedShares says which part of its requests a heavy client keeps while servers are full: what they do
// is shared by max-min. Those that are not among clients ask for little: under the level.
//
// Danger: what is served now, if no more is let in for good, only ever falls; and what is turned away for
// other reasons would take a heavy client's last. So a little more is let in each time, a little less only
// while some of it is turned away, and more again where servers do less than they did before.
func (j *Detector) setAdmittedShares(f fleet, clients []tally) {
	rest, sent := j.demand(f, clients)
	can := float64(f.served) * growthFactor
	if float64(f.served) < sent*servedThreshold {
		can = float64(f.served) * backoffFactor
	}
	j.capacity += max(riseRate*(can-j.capacity), fallRate*(can-j.capacity))
	j.unusedCapacity = max(0, j.unusedCapacity+fillRate*(usedThreshold*j.capacity-float64(f.served)))
	can += j.unusedCapacity
	// Danger: by a total that is not true, or where the others ask for all, it would be left with nothing.
	level := max(maxMin(can-max(rest, 0), clients), minAdmittedFraction*j.settings.LowThreshold*can)
	for _, t := range clients {
		c := j.client(t.key)
		c.AdmittedShare = min(1, level/max(float64(t.total), 1))
		c.rejecting = c.rejecting && c.AdmittedShare < 1
	}
}

// ShouldReject tells whether a request of a client is to give way to others, as servers are full, and after
// which time it may come back. Danger: clients that are told the same time come back together; and servers
// are full no more just because it gives way, which it goes on to do until there is room for all of it.
func (j *Detector) ShouldReject(now Time, full bool, key, request uint64) (after time.Duration, yields bool) {
	c := j.heavyClient(key)
	if c == nil || now-j.current.startedAt > j.settings.ReportTTL { // as after this process was stopped
		return 0, false
	}
	if c.rejecting = c.rejecting || full; !c.rejecting {
		return 0, false
	}
	if c.credit += c.AdmittedShare; c.credit >= 1 {
		c.credit--
		return 0, false
	}
	j.rejected++
	// Fibonacci hashing (Knuth).
	spread := float64((request^key^j.settings.Origin)*0x9e3779b97f4a7c15>>11) / (1 << 53)
	return minRetryDelay + time.Duration(spread*float64(minRetryDelay)), true
}
