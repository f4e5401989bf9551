package balance

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/signals"
)

// defaultReportTTL is Settings.Bound where none is set.
const defaultReportTTL = 2 * time.Second

func newReports(set Settings) *signals.Aggregate {
	return signals.NewAggregate(set.Zone, cmp.Or(set.ReportTTL, defaultReportTTL))
}

// failureKinds is what an outcome that ejects a server says of how it fails.
var failureKinds = map[Outcome]signals.Kind{
	TimedOut: signals.Unresponsive, Errored: signals.Failing, ConnectFailed: signals.Failing,
	Reset: signals.Failing}

// ReceiveReport takes in what a member said of servers, if it is newer than what it said before: number seq
// of its process that began at start, age ago. The start of a server's process is Endpoint.Started, as this
// sidecar has it.
func (b *Balancer) ReceiveReport(
	now Time, origin string, start int64, seq uint64, age time.Duration, r signals.Report) {
	b.reports.Receive(origin, start, seq, age, r, now)
}

// RemoveMember takes in that a sidecar is no member any more: what it said counts no longer.
func (b *Balancer) RemoveMember(origin string) { b.reports.Remove(origin) }

// LocalReport is what this sidecar has to say of servers, by what it saw itself.
func (b *Balancer) LocalReport(now Time) signals.Report {
	r := signals.Report{Zone: b.settings.Zone, TrafficLevel: b.trafficLevel}
	for _, e := range b.endpoints {
		if !e.inSubset || !e.isReady() {
			continue
		}
		at := slices.IndexFunc(r.Uses, func(u signals.ZoneUse) bool { return u.Zone == e.Zone })
		if at < 0 {
			at = len(r.Uses)
			r.Uses = append(r.Uses, signals.ZoneUse{Zone: e.Zone})
		}
		r.Uses[at].Servers++
		kind, count, when := b.localVerdict(e, now)
		// Danger: where hundreds see the same, what they say would fill all that members can carry. Those who speak
		// go on: if all fell silent that hear others, nobody would be left.
		e.reported = kind > signals.None && (e.reported || !b.reports.WellWitnessed(e.process(), kind))
		if e.reported {
			r.Verdicts = append(r.Verdicts, signals.Verdict{Process: e.process(), Zone: e.Zone, Kind: kind,
				Count: count, Age: now - when})
		}
	}
	return signals.LocalReport(r)
}

// localVerdict is how an endpoint localVerdict by what this sidecar saw itself, how often, and when; or that
// it served it, where others say that it localVerdict. Danger: a heavy request is as silent as a dead server;
// so it has been out for longer than most, and nothing came since.
func (b *Balancer) localVerdict(e *endpoint, now Time) (signals.Kind, int, Time) {
	silent := 0
	for _, f := range e.flights {
		q, out := b.requests[f.requestID], (now - f.sentAt).Seconds()
		if q != nil && !f.isLost() && f.sentAt > e.lastServed && out >= overdueMultiple*b.meanSeconds[q.Class] {
			silent++
		}
	}
	switch failing, _ := b.reports.Witnesses(e.process()); {
	case silent > 0:
		return signals.Unresponsive, silent, now
	case e.failureKind > signals.None:
		return e.failureKind, 1 + int(e.failures), e.failedAt
	case e.rejections > 0:
		return signals.Overloaded, e.rejections, e.failedAt
	case e.loadSum*e.freshness >= priorLoad &&
		e.latencySum*e.capacity() > slowMultiple*e.loadSum*e.homeGroup.secondsPerLoad():
		return signals.Slow, 2, e.lastServed
	case failing > 0 && e.lastServed > e.condemnedSince && now-e.lastServed <= b.reports.TTL:
		return signals.Serving, 1, e.lastServed
	}
	return signals.None, 0, 0
}

// applyVerdicts ejects whom the members call silent or refusing, as long as they do, but for what has served
// this sidecar in the last second. Panic counts it as any ejection. Full and slow is believed by who knows
// little of it. Who tries next goes by turns, of which each user has one in probeInterval, sooner once one
// was served.
func (b *Balancer) applyVerdicts(now Time) {
	judged, v := b.reports.Evaluate(now), b.turnPosition()
	for _, e := range b.endpoints {
		kind, was := judged[e.process()], e.condemnedSince > 0
		own := e.lastServed > 0 && now-e.lastServed < time.Second
		e.reportedDegraded = kind > signals.None && kind < signals.Failing
		if kind < signals.Failing || own {
			if e.condemnedSince = 0; was && !own {
				e.ejectedUntil = max(e.ejectedUntil, now+v.ReturnDelay(e.orderHash(), returnSpread))
			}
			continue
		}
		e.condemnedSince, e.ejectedUntil = cmp.Or(e.condemnedSince, now), max(e.ejectedUntil, now+2*tickInterval)
		period := min(max(probeInterval/time.Duration(max(v.Count, 1)), minProbeInterval), maxProbeInterval)
		if _, serves := b.reports.Witnesses(e.process()); serves > 0 {
			period = min(period, minProbeInterval) // one has had an answer: another makes it sure
		}
		if v.IsOwner(e.orderHash(), now, period) && now-e.probedAt >= period && e.pendingAnswers() == 0 {
			e.probeUntil = now + probeTurnTTL
		}
	}
}

// probeCandidate is a doubted endpoint that this sidecar is to try in its turn, by a request that may be sent
// again.
func (b *Balancer) probeCandidate(q *request, now Time) *endpoint {
	for _, e := range b.inUse {
		if e.condemnedSince > 0 && now < e.probeUntil && e.isReady() &&
			q.class.Effect == Idempotent && len(q.attempts) == 0 {
			e.probeUntil, e.probedAt = 0, now
			return e
		}
	}
	return nil
}

const (
	returnSpread     = time.Second       // in which sidecars come back, in turn, to what the word had avoided
	probeInterval    = 160 * time.Second // each user of a doubted endpoint tries it in turn: one in 20 in 8 s
	minProbeInterval = time.Second / 2   // but not more often for all users together
	probeTurnTTL     = 2 * time.Second   // a turn waits so long for a request
	maxProbeInterval = 8 * time.Second   // nor more seldom: else nobody would know that it is back
	overdueMultiple  = 4.0               // times its class's mean time: enough to speak of, as one of three
	slowMultiple     = 4.0               // times the usual time of its group: far slower
)
