package balance

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/signals"
	"gradeusher.example/gradeusher/balance/turns"
)

const (
	// defaultReportTTL is Settings.ReportTTL where none is set.
	defaultReportTTL = 2 * time.Second
	// returnSpread is the time in which sidecars return, in turn, to an endpoint that is no longer condemned.
	returnSpread = time.Second
	// probeInterval is how often each user of a condemned endpoint probes it in its turn: one in 20 within 8 s.
	probeInterval = 160 * time.Second
	// minProbeInterval and maxProbeInterval bound that for all users together. Without the upper bound nobody
	// would know that the endpoint works again.
	minProbeInterval = time.Second / 2
	maxProbeInterval = 8 * time.Second
	// probeTurnTTL is how long a turn to probe waits for a request.
	probeTurnTTL = 2 * time.Second
	// ownAnswerTTL is how long an own answer outweighs the verdicts of others.
	ownAnswerTTL = time.Second
	// verdictTTL is how long a verdict ejects: until the next tick but one.
	verdictTTL = 2 * tickInterval
	// overdueMultiple is how many times its class's mean time an answer must be due to be reported, as one of
	// three.
	overdueMultiple = 4.0
	// slowMultiple is how many times the latency of its group a slow endpoint takes.
	slowMultiple = 4.0
	// slowCount is how many failures slowness counts for in a report.
	slowCount = 2
)

// probeState is what the verdicts of members have made of an endpoint.
type probeState struct {
	reportedDegraded bool // overloaded or slow, by their verdict
	condemnedSince   Time // since when their verdict ejects it; 0: it does not
	probeUntil       Time // until then it is this sidecar's turn to probe it
	probedAt         Time // when this sidecar last did
	reported         bool // by this sidecar, in the last LocalReport
}

// ReceiveReport takes in what a member stated of servers, if that is newer than what it stated before. The
// start of a server's process is Endpoint.Started, as this sidecar has it.
func (b *Balancer) ReceiveReport(now Time, statement signals.Statement) {
	b.reports.Receive(statement, now)
}

// RemoveMember notes that a sidecar is no member any more: what it stated counts no longer.
func (b *Balancer) RemoveMember(origin string) { b.reports.Remove(origin) }

// LocalReport is what this sidecar states of servers, by what it saw itself.
func (b *Balancer) LocalReport(now Time) signals.Report {
	report := signals.Report{Zone: b.settings.Zone, TrafficLevel: b.trafficLevel}
	for _, used := range b.endpoints {
		if !used.inSubset || !used.isReady() {
			continue
		}
		countUse(&report, used.Zone)
		seen := b.localVerdict(used, now)
		// Where hundreds see the same, their reports would fill all that members can carry. Those that have
		// reported go on: if all stopped that hear others, nobody would be left.
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

// countUse counts a server of a zone.
func countUse(report *signals.Report, zone string) {
	at := slices.IndexFunc(report.Uses, func(u signals.ZoneUse) bool { return u.Zone == zone })
	if at < 0 {
		at = len(report.Uses)
		report.Uses = append(report.Uses, signals.ZoneUse{Zone: zone})
	}
	report.Uses[at].Servers++
}

// observation is how an endpoint fails, how often, and when it last did; or that it served this sidecar.
type observation struct {
	kind  signals.Kind
	count int
	at    Time
}

// localVerdict is how an endpoint fails by what this sidecar saw itself, or that it served it where others
// state that it fails.
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

// servesThoughCondemned tells whether an endpoint that others condemn has lately served this sidecar.
func (b *Balancer) servesThoughCondemned(e *endpoint, now Time) bool {
	return b.reports.Witnesses(e.process()).Condemning > 0 &&
		e.lastServed > e.condemnedSince && now-e.lastServed <= b.reports.TTL
}

// overdueAnswers counts the attempts that have been in flight for longer than most answers take, while
// nothing else came. A heavy request is as silent as a dead server.
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

// isSlow tells whether an endpoint's own answers took far longer than those of its group.
func (e *endpoint) isSlow() bool {
	return e.loadSum*e.freshness >= priorLoad &&
		e.latencySum*e.capacity() > slowMultiple*e.loadSum*e.homeGroup.secondsPerLoad()
}

// applyVerdicts ejects the endpoints that the members call unresponsive or failing, as long as they do, but
// for those that have served this sidecar in the last second. Panic counts it as any ejection. That an
// endpoint is overloaded or slow counts for a sidecar that knows little of it.
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

// endCondemnation has sidecars return to an endpoint in turn; one that it serves does at once.
func (b *Balancer) endCondemnation(e *endpoint, servesThis bool, position turns.Position, now Time) {
	if e.condemnedSince > 0 && !servesThis {
		e.ejectedUntil = max(e.ejectedUntil, now+position.ReturnDelay(e.orderHash(), returnSpread))
	}
	e.condemnedSince = 0
}

// scheduleProbe has this sidecar probe a condemned endpoint if it is its turn. Each user has a turn in
// probeInterval, and sooner once one was served.
func (b *Balancer) scheduleProbe(e *endpoint, position turns.Position, now Time) {
	interval := probeInterval / time.Duration(max(position.Count, 1))
	interval = min(max(interval, minProbeInterval), maxProbeInterval)
	if b.reports.Witnesses(e.process()).Served > 0 {
		interval = min(interval, minProbeInterval) // one has had an answer: another makes it sure
	}
	if position.IsOwner(e.orderHash(), now, interval) && now-e.probedAt >= interval && e.pendingAnswers() == 0 {
		e.probeUntil = now + probeTurnTTL
	}
}

// probeCandidate is a condemned endpoint that this sidecar is to probe in its turn, by a request that may be
// sent again; or nil.
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
