package balance

// warmthOf is the share of its capacity that an endpoint has: it rises evenly from its start.
func (b *Balancer) warmthOf(e *endpoint, now Time) float64 {
	age := now - e.warmUpStart
	if e.warmUpStart <= 0 || age >= b.settings.WarmUpTime {
		return 1
	}
	return b.settings.StartCapacity + (1-b.settings.StartCapacity)*max(age.Seconds(), 0)/
		b.settings.WarmUpTime.Seconds()
}

// hasWarmUpTurn tells whether an endpoint is warm, or has its next turn for the share of its capacity that it
// has. Danger: sidecars that all turn to a cold endpoint, as it alone seems free, push it over. When each
// keeps to its turns, it gets no more for its warmth than half the fall multiple of the fleet's mean,
// whatever the number of sidecars.
func (b *Balancer) hasWarmUpTurn(e *endpoint) bool { return e.warmth >= 1 || e.turnCredit >= 1 }

// creditWarmingUp lets cold endpoints earn turns by a request that found none open, where all that are used
// are cold: the part of it that they can do of what a whole warm fleet could. Danger: turns earned by sends
// to others alone would leave a fleet that restarts, or is put back by hand, without any until it is warm.
func (b *Balancer) creditWarmingUp() {
	var whole, ready, used float64
	for _, g := range b.groups {
		whole += g.maxReadySize
		for _, e := range g.ready {
			ready += e.Size
		}
	}
	for _, e := range b.inUse {
		if used += e.Size * b.zoneWeight[e.zoneIndex]; e.warmth >= 1 {
			return
		}
	}
	for _, e := range b.inUse {
		e.turnCredit += e.Size * e.warmth * b.zoneWeight[e.zoneIndex] / used * ready / whole
	}
}

// resetEndpoint has what was seen of an endpoint's former process not count, and the present one be cold from
// a time on. Its first turn is drawn from one round of its own: sidecars that are told at once must neither
// send at once, nor all wait for a round that takes those with little traffic a minute.
//
// Danger: a server is resetEndpoint while it is out, and the list tells late. One taken for warm is pushed
// over. Whether it may have been is told by the start that counts: the listed one may lie ahead of this
// clock.
func (b *Balancer) resetEndpoint(e *endpoint, from Time) {
	e.latencySum, e.loadSum, e.failures, e.ejectedUntil = 0, 0, 0, 0
	e.warmUpStart, e.lastServed, e.failureKind = from, 0, 0
	e.rejections, e.reportedDegraded, e.condemnedSince = 0, false, 0
	e.turnCredit = b.rng.Float64()
}
