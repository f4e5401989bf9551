package balance

import "cmp"

const (
	// spillThreshold is the share of the shortest latency target above which an endpoint is full.
	spillThreshold = 0.5
	// fullThreshold is the multiple of an idle endpoint's time, for its size, below which none is full.
	fullThreshold = 2.5
)

// pickEndpoint has the schedule choose among the endpoints that are not full, else among those where the
// request can still expect an answer in time. It returns nil if there is none, and then by how many seconds
// the answer would be late.
//
// Classes of lower value are shed only while all endpoints are full: their threshold may lie under what an
// idle slow machine takes, and quiet days would lose their even turns.
func (b *Balancer) pickEndpoint(req *request, now Time) (chosen *endpoint, excessSeconds float64) {
	threshold := b.latencyThreshold(req, now)
	// An answer that comes when the client has gone is work for nothing, and its effect is not known. One
	// client's haste prefers quick endpoints, but it refuses nothing and is no reason to shed others.
	likelySeconds := likelyShare * (req.clientDeadline(now) - now).Seconds()
	if probe := b.probeCandidate(req, now); probe != nil {
		return probe, 0
	}
	excessSeconds = b.shortestTarget
	for _, notFull := range []bool{true, false} {
		limits := placementLimits{notFull: notFull, threshold: threshold, likelySeconds: likelySeconds}
		excessSeconds = min(excessSeconds, b.markEligible(req, limits, now))
		if chosen = b.nextEndpoint(); chosen != nil {
			return chosen, 0
		}
		// The threshold of a class that is shed may lie under what an idle endpoint takes; it must not prolong
		// itself.
		if likelySeconds >= threshold && now >= b.sheddingUntil {
			b.sheddingUntil = now + sheddingTime
			threshold = min(threshold, b.sheddingThreshold(req.Class))
		}
	}
	return nil, excessSeconds
}

// placementLimits say which endpoints a request may be placed at.
type placementLimits struct {
	notFull       bool    // at those only that are not full
	threshold     float64 // expected seconds above which the request is refused
	likelySeconds float64 // expected seconds within which its answer mostly comes in time
}

// markEligible marks the endpoints in use at which the request may be placed. It returns by how many seconds
// the least of those that may get it exceeds its limit, or the shortest target where that is less.
func (b *Balancer) markEligible(req *request, limits placementLimits, now Time) (excessSeconds float64) {
	excessSeconds = b.shortestTarget
	for _, e := range b.inUse {
		e.eligible = b.mayRoute(req, e, now)
		excess := b.expectedLatency(e, now) - b.latencyLimit(e, limits)
		if !e.eligible {
			continue
		}
		excessSeconds = min(excessSeconds, excess)
		owedLimit := limits.threshold * float64(e.pendingAnswers())
		e.eligible = excess <= 0 && e.owedSeconds(now) <= owedLimit
	}
	return excessSeconds
}

// mayRoute tells whether the request may be sent to an endpoint, however long that takes.
func (b *Balancer) mayRoute(q *request, e *endpoint, now Time) bool {
	return e.isReady() && (b.inPanic || !e.isEjected(now)) && b.maySendTo(q, e, now) && e.hasWarmUpTurn()
}

// latencyLimit is the expected answer time in seconds up to which an endpoint may get a request. Where only
// those that are not full may, it is above what crossing zones is worth, but an endpoint is not full just
// because its kind is slow.
func (b *Balancer) latencyLimit(e *endpoint, limits placementLimits) float64 {
	if !limits.notFull {
		return limits.threshold
	}
	idle := cmp.Or(b.idleSeconds, b.fleet.secondsPerLoad())
	full := max(spillThreshold*b.shortestTarget, fullThreshold*(1+unseenLoad)*idle/e.Size)
	return min(limits.threshold, limits.likelySeconds, full)
}
