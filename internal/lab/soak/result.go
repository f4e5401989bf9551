package soak

import (
	"fmt"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Result is the outcome of a seed.
type Result struct {
	Seed                uint64   `json:"seed"`
	Seconds             float64  `json:"seconds"`
	DelayMS             float64  `json:"delay_ms"` // between regions, in each direction
	Faults              int      `json:"troubles"` // of the plan, that were injected
	SkippedFaults       int      `json:"skipped"`  // of the plan, that had nothing to do; see evacuateZone
	MaxConcurrent       int      `json:"at_once"`  // most faults that were under way at one time
	Requests            int      `json:"requests"`
	Served              int      `json:"served"`
	Refused             int      `json:"refused"`
	Failed              int      `json:"failed"`   // including those without a final answer
	AcknowledgedChanges int      `json:"orders"`   // changes of the configuration that were acknowledged
	Reads               int      `json:"reads"`    // of the configuration, that were answered
	WarmingServers      int      `json:"cold"`     // servers that were sent requests while they warmed up
	Peak                int      `json:"peak"`     // most requests that one of those got within a second
	Bound               float64  `json:"bound"`    // of that peak
	OverloadedServers   int      `json:"flooded"`  // servers whose peak was above its bound
	AnsweredAfterPause  int      `json:"waited"`   // attempts of clients that began while their proxy was paused, and were answered after it continued
	InContact           int      `json:"in_touch"` // attempts of clients by which rules with a bound in time are judged
	Statuses            int      `json:"statuses"` // that were read from processes
	MaxLatenessMS       int64    `json:"late_ms"`  // by which the lab itself was late, at most
	Broken              []string `json:"broken"`   // violations and failures, each with its rule or name first
	// Checked is by rule at how many requests, streams, windows or changes it was checked.
	Checked map[string]int `json:"looked"`
}

// failureKind is a kind of failure that no check of package rules finds. It begins the failure's line in Result.Broken, as the rule's name begins
// that of a violation.
type failureKind string

// The kinds of failures.
const (
	injectionFailed   failureKind = "TROUBLE"   // a fault could not be injected, or did not end as it must
	notRecovered      failureKind = "RECOVER"   // after the last fault
	invariantViolated failureKind = "VIOLATION" // as a process itself counted
	processDied       failureKind = "DIED"      // by itself
	processKilled     failureKind = "STOP"      // as SIGTERM did not end it
	statusUnreadable  failureKind = "STATUS"    // of a process, which answered with something else
	environmentFailed failureKind = "LAB"       // the test environment itself
	readFailed        failureKind = "READ"      // of the configuration, at the end
)

// line returns the line of a failure of the kind.
func (k failureKind) line(text string) string { return string(k) + ": " + text }

// Passed reports whether nothing is broken.
func (r *Result) Passed() bool { return len(r.Broken) == 0 }

// String returns the result as one line.
func (r *Result) String() string {
	word := "held"
	if !r.Passed() {
		word = fmt.Sprintf("BROKEN %d", len(r.Broken))
	}
	plan := fmt.Sprintf("%3.0f s  %2d troubles, %d at once  delay %2.0f ms", r.Seconds, r.Faults, r.MaxConcurrent, r.DelayMS)
	requests := fmt.Sprintf("requests %5d served %5d refused %4d failed %3d", r.Requests, r.Served, r.Refused, r.Failed)
	changes := fmt.Sprintf("orders %2d reads %2d", r.AcknowledgedChanges, r.Reads)
	warmUps := fmt.Sprintf("cold servers %2d, peak %2d of %.0f", r.WarmingServers, r.Peak, r.Bound)
	return fmt.Sprintf("seed %-4d %-8s %s  %s  %s  %s  statuses %d  lab late by %d ms", r.Seed, word, plan, requests, changes, warmUps, r.Statuses, r.MaxLatenessMS)
}

// evaluate returns the result: what was seen from outside, and what processes counted.
func (p *player) evaluate(report *testcluster.Report) *Result {
	stats := report.Stats
	r := &Result{
		Seed:                p.plan.Seed,
		Seconds:             p.plan.For.Seconds(),
		DelayMS:             float64(p.plan.Delay) / float64(time.Millisecond),
		Faults:              len(p.plan.Faults) - p.skippedFaults,
		SkippedFaults:       p.skippedFaults,
		MaxConcurrent:       p.plan.MaxConcurrent(),
		Requests:            stats.Requests,
		Served:              stats.Served,
		Refused:             stats.Refused,
		Failed:              stats.Failed + stats.Unanswered,
		AcknowledgedChanges: p.acknowledgedChanges,
		Reads:               len(p.Evidence.Reads),
		AnsweredAfterPause:  p.Evidence.CountWaiting(),
		InContact:           p.Evidence.CountInContact(),
		Statuses:            p.monitor.polls,
		MaxLatenessMS:       p.lateness.milliseconds(),
		Broken:              p.broken,
		Checked:             map[string]int{},
	}
	r.addWarmUpPeaks(p.Evidence.WarmUpPeaks())
	r.addVerdicts(report.Verdicts)
	r.Broken = append(r.Broken, p.monitor.lines()...)
	r.addFailures(report)
	return r
}

func (r *Result) addWarmUpPeaks(peaks []rules.WarmUpPeak) {
	for _, peak := range peaks {
		r.WarmingServers++
		if peak.Requests > r.Peak {
			r.Peak, r.Bound = peak.Requests, peak.Limit
		}
		if float64(peak.Requests) > peak.Limit {
			r.OverloadedServers++
		}
	}
}

func (r *Result) addVerdicts(verdicts []rules.Verdict) {
	for _, v := range verdicts {
		r.Checked[v.Rule] = v.Checked
		if v.Violations > 0 {
			r.Broken = append(r.Broken, fmt.Sprintf("%s: %d times: %s", v.Rule, v.Violations, strings.Join(v.Examples, "; ")))
		}
	}
}

// addFailures lists what went wrong at the end of a run.
func (r *Result) addFailures(report *testcluster.Report) {
	for _, process := range report.Died {
		r.Broken = append(r.Broken, processDied.line(process))
	}
	for _, process := range report.Killed {
		r.Broken = append(r.Broken, processKilled.line("SIGTERM did not end "+process+" in time"))
	}
	for _, failure := range report.Failures {
		r.Broken = append(r.Broken, environmentFailed.line(failure))
	}
	if report.ReadError != nil {
		r.Broken = append(r.Broken, readFailed.line(report.ReadError.Error()))
	}
}

// floodReport explains warm-up peaks above their bounds: by the operator's changes, and the requests of each peak.
type floodReport struct{ evidence *rules.Evidence }

// String returns the changes and the requests as lines.
func (f floodReport) String() string {
	var text strings.Builder
	for _, c := range f.evidence.Changes {
		fmt.Fprintf(&text, "order %+v %s %v sent %v acked %v status %d\n", c.Config != nil, c.Zone, c.Start, c.Sent, c.AcknowledgedAt, c.Status)
	}
	attempts := map[string]*rules.Attempt{}
	for _, attempt := range f.evidence.Attempts {
		attempts[attempt.ID] = attempt
	}
	for _, peak := range f.evidence.WarmUpPeaks() {
		if float64(peak.Requests) <= peak.Limit {
			continue
		}
		for _, arrival := range f.evidence.Arrivals {
			if arrival.Server == peak.Server && arrival.WarmingUp && arrival.At <= peak.At && arrival.At >= peak.At-floodWindow {
				writeArrival(&text, arrival, attempts[arrival.ID])
			}
		}
	}
	return text.String()
}

// floodWindow is the time before the end of a peak of which requests are listed: the second of the peak, and the one before.
const floodWindow = 2 * time.Second

// writeArrival writes a line on a request that reached a server. attempt is nil if no client is known to have sent it.
func writeArrival(text *strings.Builder, arrival *rules.Arrival, attempt *rules.Attempt) {
	by := "unknown"
	if attempt != nil {
		by = fmt.Sprintf("%s, sent by its client %v before", attempt.Proxy, (arrival.At - attempt.Sent).Round(time.Millisecond))
	}
	fmt.Fprintf(text, "%s got %s at %v by way of %s, status %d\n", arrival.Server, arrival.ID, arrival.At.Round(time.Millisecond), by, arrival.Rejected)
}
