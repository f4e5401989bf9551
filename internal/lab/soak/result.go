package soak

import (
	"fmt"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Result is what a seed came to.
type Result struct {
	Seed          uint64   `json:"seed"`
	Seconds       float64  `json:"seconds"`
	DelayMS       float64  `json:"delay_ms"` // between regions, one way
	Faults        int      `json:"troubles"`
	MaxConcurrent int      `json:"at_once"` // most faults under way at one time
	Requests      int      `json:"requests"`
	Served        int      `json:"served"`
	Refused       int      `json:"refused"`
	Failed        int      `json:"failed"` // and those without a final answer
	Orders        int      `json:"orders"` // changes of the configuration that were acknowledged
	Reads         int      `json:"reads"`  // of the configuration
	Cold          int      `json:"cold"`   // servers that were sent requests while they warmed up
	Peak          int      `json:"peak"`   // most requests that one of them got within a second
	Bound         float64  `json:"bound"`  // that it may get
	Flooded       int      `json:"flooded"`
	Waited        int      `json:"waited"`   // attempts of clients that began while their proxy was paused, and were answered once it went on
	InTouch       int      `json:"in_touch"` // attempts of clients by which rules that are bounded in time are judged
	Statuses      int      `json:"statuses"` // read from processes
	LateMS        int64    `json:"late_ms"`  // by which the lab itself was late at most
	Broken        []string `json:"broken"`
	// Looked is at how many requests, streams, windows or orders each rule was checked.
	Checked map[string]int `json:"looked"`
}

// Passed reports whether nothing was broken.
func (r *Result) Passed() bool { return len(r.Broken) == 0 }

// String is the result as one line.
func (r *Result) String() string {
	word := "held"
	if !r.Passed() {
		word = fmt.Sprintf("BROKEN %d", len(r.Broken))
	}
	return fmt.Sprintf("seed %-4d %-8s %3.0f s  %2d troubles, %d at once  delay %2.0f ms  requests %5d served %5d refused %4d failed %3d  orders %2d reads %2d  cold servers %2d, peak %2d of %.0f  statuses %d  lab late by %d ms",
		r.Seed, word, r.Seconds, r.Faults, r.MaxConcurrent, r.DelayMS, r.Requests, r.Served, r.Refused, r.Failed, r.Orders, r.Reads, r.Cold, r.Peak,
		r.Bound, r.Statuses, r.LateMS)
}

// evaluate puts together what was seen from outside and what processes counted.
func (p *player) evaluate(report *testcluster.Report) *Result {
	f := report.Stats
	r := &Result{Seed: p.plan.Seed, Seconds: p.plan.For.Seconds(), DelayMS: float64(p.plan.Delay) / float64(time.Millisecond),
		Faults: len(p.plan.Faults), MaxConcurrent: p.plan.MaxConcurrent(), Requests: f.Requests, Served: f.Served, Refused: f.Refused,
		Failed: f.Failed + f.Unanswered, Orders: p.orders, Reads: len(p.Evidence.Reads), Waited: p.Evidence.CountWaiting(), InTouch: p.Evidence.CountInContact(), Statuses: p.monitor.polls, LateMS: p.lateness.milliseconds(), Broken: p.broken}
	for _, peak := range p.Evidence.WarmUpPeaks() {
		r.Cold++
		if peak.Requests > r.Peak {
			r.Peak, r.Bound = peak.Requests, peak.Limit
		}
		if float64(peak.Requests) > peak.Limit {
			r.Flooded++
		}
	}
	r.Checked = map[string]int{}
	for _, v := range report.Verdicts {
		r.Checked[v.Rule] = v.Checked
		if v.Violations > 0 {
			r.Broken = append(r.Broken, fmt.Sprintf("%s: %d times: %s", v.Rule, v.Violations, strings.Join(v.Examples, "; ")))
		}
	}
	r.Broken = append(r.Broken, p.monitor.lines()...)
	for _, d := range report.Died {
		r.Broken = append(r.Broken, "DIED: "+d)
	}
	for _, k := range report.Killed {
		r.Broken = append(r.Broken, "STOP: SIGTERM did not end "+k+" in time")
	}
	if report.ReadError != nil {
		r.Broken = append(r.Broken, "READ: "+report.ReadError.Error())
	}
	return r
}

// floodReport is what flooded servers that warm up got in the second of their peak, and what the operator ordered.
type floodReport struct{ e *rules.Evidence }

// String tells it line by line.
func (s floodReport) String() string {
	var text strings.Builder
	for _, c := range s.e.Changes {
		fmt.Fprintf(&text, "order %+v %s %v sent %v acked %v status %d\n", c.Config != nil, c.Zone, c.Start, c.Sent, c.AcknowledgedAt, c.Status)
	}
	tries := map[string]*rules.Attempt{}
	for _, t := range s.e.Attempts {
		tries[t.ID] = t
	}
	for _, p := range s.e.WarmUpPeaks() {
		if float64(p.Requests) <= p.Limit {
			continue
		}
		for _, a := range s.e.Arrivals {
			if a.Server != p.Server || !a.WarmingUp || a.At > p.At || a.At < p.At-2*time.Second {
				continue
			}
			by := "unknown"
			if t := tries[a.ID]; t != nil {
				by = fmt.Sprintf("%s, sent by its client %v before", t.Proxy, (a.At - t.Sent).Round(time.Millisecond))
			}
			fmt.Fprintf(&text, "%s got %s at %v by way of %s, status %d\n", a.Server, a.ID, a.At.Round(time.Millisecond), by, a.Rejected)
		}
	}
	return text.String()
}
