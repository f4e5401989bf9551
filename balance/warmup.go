package balance

// warmthOf is the share of its capacity that an endpoint has: it rises evenly from StartCapacity to 1 within
// WarmUpTime.
func (b *Balancer) warmthOf(e *endpoint, now Time) float64 {
	age := now - e.warmUpStart
	if e.warmUpStart <= 0 || age >= b.settings.WarmUpTime {
		return 1
	}
	start := b.settings.StartCapacity
	return start + (1-start)*max(age.Seconds(), 0)/b.settings.WarmUpTime.Seconds()
}

// hasWarmUpTurn tells whether an endpoint is warm, or has earned its next turn by the share of its capacity
// that it has. Sidecars that all turned to an endpoint that warms up, as it alone seems free, would overload
// it. As each keeps to its turns, the endpoint gets no more for its warmth than half of OverloadMultiple
// times the fleet's mean, whatever the number of sidecars.
func (e *endpoint) hasWarmUpTurn() bool { return e.isWarm() || e.turnCredit >= 1 }

// creditBySend credits endpoints with their part of a turn as a request is sent to one, which has had its
// turn then.
//
// The part is of the least that an endpoint that warms up can do. Most can do more, and warm up by what they
// are given, so it is half of what would overload one that can do no more than the least.
func (b *Balancer) creditBySend(to *endpoint) {
	share := max(b.settings.OverloadMultiple/2, 1) / b.capacityInUse
	for _, e := range b.inUse {
		e.turnCredit += share * e.Size * e.warmth * b.zoneWeight[e.zoneIndex]
	}
	to.turnCredit = 0
}

// creditWarmingUp has endpoints that warm up earn turns by a request that found none eligible, where all in
// use warm up: the part of it that they can do of what a complete warm fleet could. With turns earned by
// sends to others alone, a fleet that restarts, or returns to service, would have none until it is warm.
func (b *Balancer) creditWarmingUp() {
	var maxSize, readySize, usedSize float64
	for _, g := range b.groups {
		maxSize += g.maxReadySize
		for _, e := range g.ready {
			readySize += e.Size
		}
	}
	for _, e := range b.inUse {
		usedSize += e.Size * b.zoneWeight[e.zoneIndex]
		if e.isWarm() {
			return
		}
	}
	for _, e := range b.inUse {
		e.turnCredit += e.Size * e.warmth * b.zoneWeight[e.zoneIndex] / usedSize * readySize / maxSize
	}
}

// resetEndpoint forgets what was seen of an endpoint's former process, and has the present one warm up from a
// time on. Its first turn is drawn from one round of its own: sidecars that are notified at once must neither
// send at once, nor all wait for a round, which takes those with little traffic a minute.
//
// An endpoint may restart while it is out of service, and the list say so late; one that is taken for warm
// then would be overloaded. Whether it may have restarted goes by the start that counts: the listed one may
// lie ahead of this clock.
func (b *Balancer) resetEndpoint(e *endpoint, warmUpStart Time) {
	e.latencySums = latencySums{}
	e.outlierState = outlierState{}
	e.reportedDegraded = false
	e.condemnedSince = 0
	e.warmUpStart = warmUpStart
	e.turnCredit = b.rng.Float64()
}
