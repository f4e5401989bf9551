package balance

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/signals"
	"gradeusher.example/gradeusher/balance/turns"
)

const (
	// defaultReportTTL is used if Settings.ReportTTL is not set.
	defaultReportTTL = 2 * time.Second
	// returnSpread is the time over which the sidecars return, one after the other, to an endpoint that is no
	// longer condemned.
	returnSpread = time.Second
	// probeInterval is how often each user of a condemned endpoint has a turn to probe it: one user in 20 does
	// so within 8 s.
	probeInterval = 160 * time.Second
	// minProbeInterval and maxProbeInterval bound the interval between the probes of all users together. Without
	// the upper bound no sidecar might notice that the endpoint works again.
	minProbeInterval = time.Second / 2
	maxProbeInterval = 8 * time.Second
	// probeTurnTTL is how long a turn to probe stays valid while waiting for a suitable request.
	probeTurnTTL = 2 * time.Second
	// ownAnswerTTL is how long an answer to this sidecar overrides the verdicts of others.
	ownAnswerTTL = time.Second
	// verdictTTL is how long a verdict ejects an endpoint unless renewed: two ticks.
	verdictTTL = 2 * tickInterval
	// overdueMultiple is the multiple of its class's mean time after which an unanswered attempt is reported.
	// A report alone ejects nothing, since a verdict needs three witnesses.
	overdueMultiple = 4.0
	// slowMultiple is the multiple of its group's latency above which an endpoint is slow.
	slowMultiple = 4.0
	// slowCount is the number of failures that slowness counts as in a report.
	slowCount = 2
)

// probeState is the state of an endpoint that results from the verdicts of the members.
type probeState struct {
	reportedDegraded bool // overloaded or slow according to the verdict
	condemnedSince   Time // since when the verdict ejects it; 0: it does not
	probeUntil       Time // until when it is this sidecar's turn to probe it
	probedAt         Time // when this sidecar last probed it
	reported         bool // this sidecar's last LocalReport named it
}

// ReceiveReport stores a member's statement about servers if it is newer than the member's previous one.
// Server processes are identified by their Endpoint.Started as known to this sidecar.
func (b *Balancer) ReceiveReport(now Time, statement signals.Statement) {
	b.reports.Receive(statement, now)
}

// RemoveMember handles that a sidecar is no longer a member, and discards its statement.
func (b *Balancer) RemoveMember(origin string) { b.reports.Remove(origin) }

// LocalReport returns this sidecar's report about servers, based only on its own observations.
func (b *Balancer) LocalReport(now Time) signals.Report {
	report := signals.Report{Zone: b.settings.Zone, TrafficLevel: b.trafficLevel}
	for _, used := range b.endpoints {
		if !used.inSubset || !used.isReady() {
			continue
		}
		countUse(&report, used.Zone)
		seen := b.localVerdict(used, now)
		// If hundreds of sidecars reported the same failure, their reports would exceed the capacity of gossip. So
		// once a verdict has enough witnesses, no new ones join. Those that have already reported continue, because
		// if every witness that hears of others stopped, none would be left.
		used.reported = seen.kind > signals.None &&
			(used.reported || !b.reports.WellWitnessed(used.process(), seen.kind))
		if used.reported {
			report.Verdicts = append(report.Verdicts, signals.Verdict{
				Process: used.process(),
				Zone:    used.Zone,
				Kind:    seen.kind,
				Count:   seen.count,
				Age:     now - seen.at,
			})
		}
	}
	return signals.LocalReport(report)
}

// countUse adds one server of a zone to the report's uses.
func countUse(report *signals.Report, zone string) {
	at := slices.IndexFunc(report.Uses, func(u signals.ZoneUse) bool { return u.Zone == zone })
	if at < 0 {
		at = len(report.Uses)
		report.Uses = append(report.Uses, signals.ZoneUse{Zone: zone})
	}
	report.Uses[at].Servers++
}

// observation describes how an endpoint fails, how often and when it last failed, or that it served this
// sidecar.
type observation struct {
	kind  signals.Kind
	count int
	at    Time
}

// localVerdict returns how an endpoint fails according to this sidecar's own observations, or that it served
// this sidecar although others report it as failing.
func (b *Balancer) localVerdict(e *endpoint, now Time) observation {
	overdue := b.overdueAnswers(e, now)
	switch {
	case overdue > 0:
		return observation{signals.Unresponsive, overdue, now}
	case e.failureKind > signals.None:
		return observation{e.failureKind, 1 + int(e.failures), e.failedAt}
	case e.rejections > 0:
		return observation{signals.Overloaded, e.rejections, e.failedAt}
	case e.isSlow():
		return observation{signals.Slow, slowCount, e.lastServed}
	case b.servesThoughCondemned(e, now):
		return observation{signals.Serving, 1, e.lastServed}
	}
	return observation{}
}

// servesThoughCondemned reports whether an endpoint that others condemn has recently served this sidecar.
func (b *Balancer) servesThoughCondemned(e *endpoint, now Time) bool {
	return b.reports.Witnesses(e.process()).Condemning > 0 &&
		e.lastServed > e.condemnedSince && now-e.lastServed <= b.reports.TTL
}

// overdueAnswers counts the attempts that have been in flight much longer than most answers take, without any
// later answer from the endpoint. Until it is answered, a heavy request looks the same as one sent to a dead
// server.
func (b *Balancer) overdueAnswers(e *endpoint, now Time) (count int) {
	for _, f := range e.flights {
		q := b.requests[f.requestID]
		if q == nil || f.isLost() || f.sentAt <= e.lastServed {
			continue
		}
		if (now - f.sentAt).Seconds() >= overdueMultiple*b.meanSeconds[q.Class] {
			count++
		}
	}
	return count
}

// isSlow reports whether an endpoint's own answers took much longer than those of its group.
func (e *endpoint) isSlow() bool {
	return e.loadSum*e.freshness >= priorLoad &&
		e.latencySum*e.capacity() > slowMultiple*e.loadSum*e.homeGroup.secondsPerLoad()
}

// applyVerdicts ejects endpoints for as long as the members' verdict is that they are unresponsive or
// failing, except those that have served this sidecar within ownAnswerTTL. These ejections count for panic
// like any other. A verdict of overloaded or slow only affects the estimates of sidecars that have few own
// answers from the endpoint.
func (b *Balancer) applyVerdicts(now Time) {
	verdicts, position := b.reports.Evaluate(now), b.turnPosition()
	for _, e := range b.endpoints {
		kind := verdicts[e.process()]
		e.reportedDegraded = kind > signals.None && kind < signals.Failing
		servesThis := e.lastServed > 0 && now-e.lastServed < ownAnswerTTL
		if kind < signals.Failing || servesThis {
			b.endCondemnation(e, servesThis, position, now)
			continue
		}
		e.condemnedSince = cmp.Or(e.condemnedSince, now)
		e.ejectedUntil = max(e.ejectedUntil, now+verdictTTL)
		b.scheduleProbe(e, position, now)
	}
}

// endCondemnation ends the ejection of an endpoint. The sidecars return to it one after the other, except
// that a sidecar it already serves returns immediately.
func (b *Balancer) endCondemnation(e *endpoint, servesThis bool, position turns.Position, now Time) {
	if e.condemnedSince > 0 && !servesThis {
		e.ejectedUntil = max(e.ejectedUntil, now+position.ReturnDelay(e.orderHash(), returnSpread))
	}
	e.condemnedSince = 0
}

// scheduleProbe schedules a probe of a condemned endpoint if it is this sidecar's turn. Each user has a turn
// every probeInterval, or more often once the endpoint has served one of them.
func (b *Balancer) scheduleProbe(e *endpoint, position turns.Position, now Time) {
	interval := probeInterval / time.Duration(max(position.Count, 1))
	interval = min(max(interval, minProbeInterval), maxProbeInterval)
	if b.reports.Witnesses(e.process()).Served > 0 {
		interval = min(interval, minProbeInterval) // one sidecar was served; a second one confirms it
	}
	if position.IsOwner(e.orderHash(), now, interval) && now-e.probedAt >= interval && e.pendingAnswers() == 0 {
		e.probeUntil = now + probeTurnTTL
	}
}

// probeCandidate returns a condemned endpoint that it is this sidecar's turn to probe with the given request,
// or nil. Only the first attempt of an idempotent request is used as a probe, because it can be retried.
func (b *Balancer) probeCandidate(q *request, now Time) *endpoint {
	if q.class.Effect != Idempotent || len(q.attempts) > 0 {
		return nil
	}
	for _, e := range b.inUse {
		if e.condemnedSince > 0 && now < e.probeUntil && e.isReady() {
			e.probeUntil = 0
			e.probedAt = now
			return e
		}
	}
	return nil
}
