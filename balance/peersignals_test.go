package balance

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/signals"
)

// report returns a member's report with a verdict on an endpoint. The member uses 16 endpoints in two zones.
func report(e *endpoint, zone string, kind signals.Kind) signals.Report {
	return signals.Report{Zone: zone, Uses: []signals.ZoneUse{{Zone: e.Zone, Servers: 8}, {Zone: "other", Servers: 8}},
		Verdicts: []signals.Verdict{{Process: e.process(), Zone: e.Zone, Kind: kind, Count: 2}}}
}

// condemn makes members, alternately from two zones, report that an endpoint fails.
func condemn(b *Balancer, now Time, e *endpoint, members int, seq uint64, kind signals.Kind) {
	for i := range members {
		zone := []string{b.settings.Zone, "other"}[i%2]
		b.ReceiveReport(now, signals.Statement{Origin: fmt.Sprint("m", i), Start: 1, Seq: seq, Report: report(e, zone, kind)})
	}
}

// TestVerdictEjects checks that an endpoint that three members report as unresponsive or failing is ejected, and that it returns
// within the report TTL plus the spread of returns after their last report. Two members are not enough, and neither are three if
// the endpoint has just served this sidecar or has restarted since.
func TestVerdictEjects(t *testing.T) {
	for _, test := range []verdictCase{
		{"three", 3, signals.Unresponsive, 0, false, true},
		{"two", 2, signals.Unresponsive, 0, false, false},
		{"failing", 3, signals.Failing, 0, false, true},
		{"slow", 3, signals.Slow, 0, false, false},
		{"served just now", 3, signals.Unresponsive, time.Second / 2, false, false},
		{"served before", 3, signals.Unresponsive, 3 * time.Second, false, true},
		{"the next process", 3, signals.Unresponsive, 0, true, false},
		{"no report", 0, signals.Unresponsive, 0, false, false},
	} {
		t.Run(test.name, test.run)
	}
}

type verdictCase struct {
	name      string
	members   int
	kind      signals.Kind
	served    time.Duration // time since the server last served this sidecar; 0: never
	restarted bool          // the server's next process is listed
	ejected   bool
}

func (test verdictCase) run(t *testing.T) {
	const peers = 10
	b, recorder := startSidecar(t, 3, peers, endpointList(20))
	subject := b.inUse[0]
	recorder.now = 10 * time.Second
	if test.served > 0 {
		subject.lastServed = recorder.now - test.served
	}
	condemned := *subject
	if test.restarted {
		next := subject.Endpoint
		next.Started = recorder.now
		b.Endpoints(recorder.now, ListChanges, []Endpoint{next})
	}
	condemn(b, recorder.now, &condemned, test.members, uint64(recorder.now), test.kind)
	b.Timer(recorder.now, tickToken)
	if got := recorder.now < subject.ejectedUntil; got != test.ejected {
		t.Errorf("endpoint is ejected: %v, want %v", got, test.ejected)
	}
	if v := b.LocalReport(recorder.now).Verdicts; len(v) > 0 && (test.served == 0 || v[0].Kind != signals.Serving) {
		t.Error("the sidecar reports a verdict that it only received from others")
	}
	last := recorder.now + 2*time.Second + returnSpread + time.Second
	for recorder.now < last {
		recorder.now += tickInterval
		b.Timer(recorder.now, tickToken)
	}
	if recorder.now < subject.ejectedUntil {
		t.Errorf("endpoint is still ejected at %v, after the last report has expired", recorder.now)
	}
}

// TestVerdictsLeaveHalf checks that verdicts on more than half of all endpoints lead to panic, which suspends the ejections,
// because then the fault is more likely on the side of the members.
func TestVerdictsLeaveHalf(t *testing.T) {
	b, recorder := startSidecar(t, 0, 10, endpointList(8))
	recorder.now = 10 * time.Second
	for n, e := range b.endpoints[:5] {
		for i := range 3 {
			b.ReceiveReport(recorder.now, signals.Statement{Origin: fmt.Sprint("m", n, i), Start: 1, Seq: 1, Report: report(e, []string{b.settings.Zone, "other"}[i%2], signals.Unresponsive)})
		}
	}
	b.Timer(recorder.now, tickToken)
	b.Timer(recorder.now+tickInterval, tickToken)
	if !b.inPanic {
		t.Error("no panic although verdicts of others eject more than half of the endpoints")
	}
}

// TestLocalReport checks that a sidecar reports servers with two overdue answers and servers that it ejected, until they serve it.
func TestLocalReport(t *testing.T) {
	b, recorder := startSidecar(t, 0, 10, endpointList(20))
	seen := b.inUse[0]
	recorder.now = 10 * time.Second
	b.Timer(recorder.now, tickToken)
	if r := b.LocalReport(recorder.now); len(r.Verdicts) > 0 || len(r.Uses) == 0 {
		t.Fatalf("report without observations: %+v", r)
	}
	seen.failureKind, seen.failedAt = signals.Unresponsive, recorder.now-time.Second
	r := b.LocalReport(recorder.now)
	if len(r.Verdicts) != 1 || r.Verdicts[0].Server != seen.ID || r.Verdicts[0].Age != time.Second {
		t.Fatalf("report after an ejection: %+v", r)
	}
	seen.failureKind = signals.None
	for id := range RequestID(2) {
		q := &request{Request: Request{ID: 1000 + id}, class: &b.settings.Classes[0]}
		b.requests[q.ID] = q
		seen.addFlight(q, recorder.now)
	}
	late := recorder.now + time.Duration(overdueMultiple*b.meanSeconds[0]*float64(time.Second))
	if r := b.LocalReport(late - time.Millisecond); len(r.Verdicts) > 0 {
		t.Fatalf("verdict before the answers are overdue: %+v", r)
	}
	if r := b.LocalReport(late); len(r.Verdicts) != 1 || r.Verdicts[0].Kind != signals.Unresponsive || r.Verdicts[0].Age != 0 {
		t.Fatalf("report with overdue answers: %+v", r)
	}
	// If there are so many witnesses that one more adds nothing, the sidecar continues to report but does not start to.
	for i := range 6 {
		b.ReceiveReport(late, signals.Statement{Origin: fmt.Sprint("m", i), Start: 1, Seq: 1, Report: report(seen, []string{b.settings.Zone, "other"}[i%2], signals.Unresponsive)})
	}
	b.Timer(late, tickToken)
	if r := b.LocalReport(late); len(r.Verdicts) != 1 {
		t.Fatalf("the sidecar stopped reporting because of other witnesses: %+v", r)
	}
	seen.reported = false
	if r := b.LocalReport(late); len(r.Verdicts) > 0 {
		t.Fatalf("the sidecar started reporting although there are six witnesses: %+v", r)
	}
	seen.lastServed = late
	b.Timer(late, tickToken)
	if r := b.LocalReport(late); len(r.Verdicts) != 1 || r.Verdicts[0].Kind != signals.Serving {
		t.Fatalf("the sidecar does not report that the server has served it since: %+v", r)
	}
}

// TestOverloadedAndSlowAreReported checks that a sidecar reports servers that reject its requests or are much slower than their
// group. A sidecar with few own answers expects higher latency of a server that three members report, until two were served since.
// One with many own answers relies on those.
func TestOverloadedAndSlowAreReported(t *testing.T) {
	b, recorder := startSidecar(t, 0, 10, endpointList(20))
	seen := b.inUse[0]
	recorder.now = 10 * time.Second
	serveRequests(b, recorder, 200, 20*time.Millisecond)
	seen.rejections, seen.failedAt = 3, recorder.now
	if r := b.LocalReport(recorder.now); len(r.Verdicts) != 1 || r.Verdicts[0].Kind != signals.Overloaded || r.Verdicts[0].Count != 3 {
		t.Fatalf("report after rejections: %+v", r)
	}
	seen.rejections, seen.loadSum, seen.freshness = 0, 10, 1
	if seen.latencySum = 2 * slowMultiple * 10 * seen.homeGroup.secondsPerLoad() / seen.capacity(); b.LocalReport(recorder.now).Verdicts[0].Kind != signals.Slow {
		t.Fatalf("report of a slow server: %+v", b.LocalReport(recorder.now))
	}
	seen.latencySum, seen.loadSum, seen.lastServed = 0, 0, 0
	before := b.expectedLatency(seen, recorder.now)
	receiveReports := func(seq uint64, from, to int, kind signals.Kind, age time.Duration) {
		for i := from; i < to; i++ {
			r := report(seen, []string{b.settings.Zone, "other"}[i%2], kind)
			r.Verdicts[0].Age = age
			b.ReceiveReport(recorder.now, signals.Statement{Origin: fmt.Sprint("m", i), Start: 1, Seq: seq, Report: r})
		}
		b.Timer(recorder.now, tickToken)
	}
	receiveReports(1, 0, 3, signals.Overloaded, time.Second)
	if after := b.expectedLatency(seen, recorder.now); after < spillThreshold*b.shortestTarget || after > refusalThreshold*b.shortestTarget || recorder.now < seen.ejectedUntil {
		t.Errorf("expected latency %.3f s after the verdict, %.3f s before", after, before)
	}
	if seen.latencySum, seen.loadSum, seen.freshness = 0.2, 20, 1; b.expectedLatency(seen, recorder.now) > spillThreshold*b.shortestTarget {
		t.Errorf("expected latency %.3f s in spite of fast own answers", b.expectedLatency(seen, recorder.now))
	}
	if receiveReports(1, 3, 4, signals.Serving, time.Second/2); !seen.reportedDegraded {
		t.Error("a single served member ended the verdict")
	}
	if receiveReports(1, 4, 5, signals.Serving, time.Second/2); seen.reportedDegraded {
		t.Error("the server still counts as degraded after two members were served")
	}
}

// TestProbesGoByTurns checks that only few of many sidecars probe an unresponsive server at a time, and that the others take over
// the turns of members that are gone.
func TestProbesGoByTurns(t *testing.T) {
	const peers, seconds = 100, 60
	for _, missing := range []int{0, 50} {
		t.Run(fmt.Sprint(missing, " missing"), func(t *testing.T) {
			probes := 0
			for self := range peers - missing {
				sidecarProbes := countProbes(t, self, peers, peers-missing, seconds*time.Second)
				if sidecarProbes > seconds/5 {
					t.Errorf("sidecar %d probes %d times in %d s, want at most once in 5 s", self, sidecarProbes, seconds)
				}
				probes += sidecarProbes
			}
			if probes < 10 || probes > 4*seconds {
				t.Errorf("%d probes of one server in %d s, want at least 10 and at most 4 per second", probes, seconds)
			}
		})
	}
}

// countProbes returns the number of requests that a sidecar sends to an endpoint while three members condemn it.
func countProbes(t *testing.T, self, peers, members int, length time.Duration) (probes int) {
	t.Helper()
	b, recorder := startSidecar(t, self, peers, endpointList(20))
	b.SetMembers(recorder.now, self, make([]Peer, members))
	condemned := b.inUse[0]
	recorder.now = 10 * time.Second
	for end := recorder.now + length; recorder.now < end; recorder.now += tickInterval {
		condemn(b, recorder.now, condemned, 3, uint64(recorder.now), signals.Unresponsive)
		b.Timer(recorder.now, tickToken)
		sendRequest(b, recorder, RequestID(recorder.now))
		for _, s := range recorder.sent {
			if s.to != condemned.ID {
				continue
			}
			probes++
			if s.timeout != 1500*time.Millisecond {
				t.Fatalf("a probe has a timeout of %v, want half of the 3 s to leave time for another attempt", s.timeout)
			}
		}
		recorder.sent = nil
		b.ClientDisconnected(recorder.now, RequestID(recorder.now))
		b.Result(recorder.now, Result{ID: RequestID(recorder.now), Endpoint: condemned.ID, Outcome: Cancelled})
	}
	return probes
}
