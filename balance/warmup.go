package balance

// warmthOf returns the share of its full capacity that an endpoint has. It rises linearly from StartCapacity
// to 1 during WarmUpTime.
func (b *Balancer) warmthOf(e *endpoint, now Time) float64 {
	age := now - e.warmUpStart
	if e.warmUpStart <= 0 || age >= b.settings.WarmUpTime {
		return 1
	}
	start := b.settings.StartCapacity
	return start + (1-start)*max(age.Seconds(), 0)/b.settings.WarmUpTime.Seconds()
}

// hasWarmUpTurn reports whether an endpoint is warm or has earned its next turn, which it does in proportion
// to its current capacity. If it alone seems free, all sidecars might turn to an endpoint that is warming up
// and overload it. Because each sidecar keeps to the turns, the endpoint gets at most half of
// OverloadMultiple times the fleet's mean load relative to its warmth, whatever the number of sidecars.
func (e *endpoint) hasWarmUpTurn() bool { return e.isWarm() || e.turnCredit >= 1 }

// creditBySend credits all endpoints in use with a fraction of a turn when a request is sent, and resets the
// credit of the endpoint that gets it.
//
// The fraction is based on the minimum capacity of an endpoint that is warming up. Most can do more, and warm
// up through the requests they get, so it is half of what would overload an endpoint with only the minimum
// capacity.
func (b *Balancer) creditBySend(to *endpoint) {
	share := max(b.settings.OverloadMultiple/2, 1) / b.capacityInUse
	for _, e := range b.inUse {
		e.turnCredit += share * e.Size * e.warmth * b.zoneWeight[e.zoneIndex]
	}
	to.turnCredit = 0
}

// creditWarmingUp lets endpoints earn turns from a request that found no eligible endpoint, if all endpoints
// in use are warming up. They earn their current capacity's share of what a complete warm fleet could do. If
// turns were earned only by sends to other endpoints, a fleet that restarts or returns to service as a whole
// would get none until it is warm.
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

// resetEndpoint discards what was observed of an endpoint's previous process and makes the endpoint warm up
// from the given time. Its initial credit is random within one turn: sidecars that are notified together must
// neither all send at once nor all wait for a full round, which takes a minute for those with little traffic.
//
// An endpoint may restart while it is out of service and the list may show that late; if it counted as warm,
// it would be overloaded. So SetOutOfService compares with warmUpStart, not with the listed start, which may
// be ahead of this clock.
func (b *Balancer) resetEndpoint(e *endpoint, warmUpStart Time) {
	e.latencySums = latencySums{}
	e.outlierState = outlierState{}
	e.reportedDegraded = false
	e.condemnedSince = 0
	e.warmUpStart = warmUpStart
	e.turnCredit = b.rng.Float64()
}
