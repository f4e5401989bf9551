package balance

import "cmp"

// pickEndpoint lets the schedule choose among the endpoints that are not full, else among those where the
// request can still hope for an answer in time, the first of them in late seconds. Lesser classes give way
// only while all are full. Danger: their bar may lie under an idle slow machine: quiet days would lose their
// even turns.
func (b *Balancer) pickEndpoint(q *request, now Time) (to *endpoint, late float64) {
	bar, late := refusalThreshold*b.shortestTarget, b.shortestTarget
	if now < b.sheddingUntil {
		bar = b.sheddingThreshold(q.Class)
	}
	if q.overAllowance {
		bar *= overAllowanceShare
	}
	// Danger: an answer that comes when the client is gone is work for nothing, and its effect is not known. One
	// client's hurry prefers quick endpoints, but it refuses nothing and is no reason for others to give way.
	left := likelyShare * (q.clientDeadline(now) - now).Seconds()
	if to = b.probeCandidate(q, now); to != nil {
		return to, 0
	}
	for pass := range 2 {
		for _, e := range b.inUse {
			limit := bar
			if pass == 0 { // full above the zones' bar, but not just because its kind is slow
				limit = min(limit, left, max(spillThreshold*b.shortestTarget,
					fullThreshold*(1+unseenLoad)*cmp.Or(b.idleSeconds, b.fleet.secondsPerLoad())/e.Size))
			}
			e.eligible = e.isReady() && (b.inPanic || now >= e.ejectedUntil) &&
				b.maySendTo(q, e, now) && b.hasWarmUpTurn(e)
			if excess := b.expectedLatency(e, now) - limit; e.eligible {
				late = min(late, excess)
				e.eligible = excess <= 0 && e.owedSeconds(now) <= bar*float64(e.pendingAnswers())
			}
		}
		if to = b.nextEndpoint(); to != nil {
			return to, 0
		}
		// Danger: a class's bar while tight may lie under what an idle server takes; it must not prolong itself.
		if left >= bar && now >= b.sheddingUntil {
			b.sheddingUntil, bar = now+memoryTTL, min(bar, b.sheddingThreshold(q.Class))
		}
	}
	return nil, late
}
