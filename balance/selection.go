package balance

import "cmp"

const (
	// spillThreshold is the share of the shortest latency target above which an endpoint is full.
	spillThreshold = 0.5
	// fullThreshold is the multiple of the idle latency, scaled by size, below which no endpoint is full.
	fullThreshold = 2.5
)

// pickEndpoint schedules the request on an endpoint that is not full, or otherwise on one that is still
// expected to answer in time. If there is none, it returns nil and by how many seconds the expected answer
// exceeds its limit.
//
// Classes of lower value are shed only while all endpoints are full. Their threshold may be below the latency
// of an idle slow machine, so applying it under low load would make the rotation uneven.
func (b *Balancer) pickEndpoint(req *request, now Time) (chosen *endpoint, excessSeconds float64) {
	threshold := b.latencyThreshold(req, now)
	// An answer that arrives after the client has given up is wasted work with an unknown effect. So a short
	// client deadline prefers fast endpoints, but it neither refuses the request nor triggers shedding of
	// others.
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
		// The threshold of a class being shed may be below the latency of an idle endpoint, so shedding must not
		// prolong itself.
		if likelySeconds >= threshold && now >= b.sheddingUntil {
			b.sheddingUntil = now + sheddingTime
			threshold = min(threshold, b.sheddingThreshold(req.Class))
		}
	}
	return nil, excessSeconds
}

// placementLimits restricts the endpoints that a request may be sent to.
type placementLimits struct {
	notFull       bool    // only endpoints that are not full
	threshold     float64 // expected latency in seconds above which the request is refused
	likelySeconds float64 // expected latency in seconds up to which the answer is likely to arrive in time
}

// markEligible marks the endpoints in use that the request may be sent to. It returns the smallest number of
// seconds by which a permitted endpoint exceeds its limit, but no more than the shortest latency target.
func (b *Balancer) markEligible(req *request, limits placementLimits, now Time) (excessSeconds float64) {
	excessSeconds = b.shortestTarget
	for _, e := range b.inUse {
		e.eligible = b.mayRoute(req, e, now)
		excess := b.expectedLatency(e, now) - b.latencyLimit(e, limits)
		if !e.eligible {
			continue
		}
		excessSeconds = min(excessSeconds, excess)
		pendingLimit := limits.threshold * float64(e.pendingAnswers())
		e.eligible = excess <= 0 && e.pendingSeconds(now) <= pendingLimit
	}
	return excessSeconds
}

// mayRoute reports whether the request may be sent to an endpoint, regardless of its latency.
func (b *Balancer) mayRoute(q *request, e *endpoint, now Time) bool {
	return e.isReady() && (b.inPanic || !e.isEjected(now)) && b.maySendTo(q, e, now) && e.hasWarmUpTurn()
}

// latencyLimit returns the expected answer time, in seconds, up to which an endpoint may get a request. If
// only endpoints that are not full are allowed, the limit is above the gain that justifies a zone crossing,
// and it scales with the idle latency so that an endpoint does not count as full just because its kind is
// slow.
func (b *Balancer) latencyLimit(e *endpoint, limits placementLimits) float64 {
	if !limits.notFull {
		return limits.threshold
	}
	idle := cmp.Or(b.idleSeconds, b.fleet.secondsPerLoad())
	full := max(spillThreshold*b.shortestTarget, fullThreshold*(1+unseenLoad)*idle/e.Size)
	return min(limits.threshold, limits.likelySeconds, full)
}
