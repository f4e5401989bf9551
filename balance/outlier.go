package balance

import "math"

// observeResult takes in how an attempt ended.
func (b *Balancer) observeResult(a *attempt, r Result, now Time) {
	e := a.endpoint
	b.lastResultAt = now
	if r.Outcome == Served || r.Outcome == TimedOut && !a.flight.isLost() {
		e.latencySum += r.Latency.Seconds()
		e.loadSum += a.load
		e.freshness = 1
	}
	if r.Outcome == Served { // Danger: what a silent endpoint never answers would make its sound peers seem slow
		peers := []*group{e.homeGroup, b.fleet}
		if e.warmth < 1 {
			peers = []*group{&b.warmingUp}
		}
		for _, g := range peers {
			g.latencySum += r.Latency.Seconds()
			g.loadSum += a.load / e.capacity()
		}
	}
	switch r.Outcome {
	case Saturated: // its queue is full: as bad as an answer at the aim
		e.latencySum, e.freshness, e.rejections, e.failedAt = e.latencySum+b.shortestTarget, 1, e.rejections+1, now
	case Served:
		e.failures, e.lastServed, e.failureKind, e.rejections = e.failures*failureDecay, now, 0, 0
	case Errored, TimedOut, ConnectFailed, Reset:
		if r.Outcome == TimedOut && a.sentAt > e.lastServed {
			e.failureKind, e.failedAt = failureKinds[r.Outcome], now
		}
		// Danger: an endpoint that fails fast looks idle and draws all requests.
		if e.failures += math.Pow(failureDecay, float64(a.flight.overtaken)); e.failures >= ejectionThreshold {
			e.ejectedUntil = now + ejectionTime
			e.failures = 1 // the next fault after its return ejects it again
			e.failureKind, e.failedAt = failureKinds[r.Outcome], now
			b.actions.Log("ejected " + e.ID)
			b.regroup(now)
		}
	}
}
