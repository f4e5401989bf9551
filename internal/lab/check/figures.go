package check

import (
	"math"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// Second is what happened in one second of the load, by the arrival of requests.
type Second struct {
	Asked    float64 `json:"asked"`  // value of the requests
	Served   float64 `json:"served"` // value that was served, less for responses after the latency target
	Requests int     `json:"requests"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Attempts int     `json:"attempts"` // at servers, by the time of their first byte
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Spread   float64 `json:"spread,omitempty"` // of the window that the second is in; 0: it is in none
}

// Figures are the results of a run by name: those of plan.Figures, and some by class ("served:fetch").
type Figures map[string]float64

// maxLatencyMicros is the upper bound of latency histograms, in microseconds.
const maxLatencyMicros = int64(time.Minute / time.Microsecond)

// newHistogram returns a histogram of latencies in microseconds, exact to three digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// recordLatency records a latency in ns, limited to the range of the histogram.
func recordLatency(histogram *hdrhistogram.Histogram, ns int64) {
	_ = histogram.RecordValue(min(max(ns/int64(time.Microsecond), 1), maxLatencyMicros)) // always within its range
}

// quantile is a percentile of a histogram, in ms.
func quantile(histogram *hdrhistogram.Histogram, q float64) float64 {
	return float64(histogram.ValueAtQuantile(q)) / 1000
}

// Measure computes the figures and the course of a run. Value is counted per unit of work, as BRIEF has it.
func Measure(evidence *Evidence) (Figures, []Second) {
	measured := newMeasurement(evidence)
	attempts := map[int][]*load.Attempt{} // of each arrival
	for i := range evidence.ClientAttempts {
		attempt := &evidence.ClientAttempts[i]
		attempts[attempt.Arrival] = append(attempts[attempt.Arrival], attempt)
	}
	for arrival, all := range attempts {
		measured.addRequest(&evidence.Plan.Arrivals[arrival], all)
	}
	for i := range measured.course {
		measured.course[i].P50, measured.course[i].P99 = quantile(measured.latencyBySecond[i], 50), quantile(measured.latencyBySecond[i], 99)
	}
	figures := measured.requestFigures()
	measured.addServerAttempts(figures)
	evidence.registryFigures(figures)
	evidence.routeFigures(figures)
	evidence.hitterFigures(figures)
	evidence.spreadFigures(figures, measured.course)
	evidence.churnFigure(figures)
	evidence.rejectionFigures(figures, measured.course)
	evidence.avoidanceFigures(figures)
	evidence.gossipFigures(figures)
	measured.valueFigures(figures)
	return figures, measured.course
}

// valueSum is the value of requests, and what of it was served.
type valueSum struct{ asked, served float64 }

func (v *valueSum) add(asked, served float64) { v.asked, v.served = v.asked+asked, v.served+served }

// share is the share of the value that was served; 1 where nothing was asked.
func (v valueSum) share() float64 {
	if v.asked == 0 {
		return 1
	}
	return v.served / v.asked
}

// measurement is what Measure counts of requests.
type measurement struct {
	*Evidence
	course                     []Second
	latency                    *hdrhistogram.Histogram // of served attempts, from the arrival
	latencyBySecond            []*hdrhistogram.Histogram
	total                      valueSum
	classes                    []valueSum
	answered, rejected, failed int // requests
}

func newMeasurement(e *Evidence) *measurement {
	seconds := int(math.Ceil(e.Plan.File.Seconds))
	m := &measurement{Evidence: e, course: make([]Second, seconds), latency: newHistogram(), latencyBySecond: make([]*hdrhistogram.Histogram, seconds),
		classes: make([]valueSum, len(e.Plan.File.Classes))}
	for i := range m.latencyBySecond {
		m.latencyBySecond[i] = newHistogram()
	}
	return m
}

// addRequest counts one request by all its attempts, of which there is at least one.
func (m *measurement) addRequest(arrival *plan.Arrival, attempts []*load.Attempt) {
	class := &m.Plan.File.Classes[arrival.Class]
	index := min(int(arrival.At/time.Second), len(m.course)-1)
	second := &m.course[index]
	value, served := class.Value*arrival.Work.Seconds(), 0.0
	answered, last := false, attempts[0]
	for _, attempt := range attempts {
		if attempt.Retry {
			last = attempt
		}
		if attempt.Status != http.StatusOK {
			continue
		}
		answered = true
		took := attempt.Ended - m.Start - int64(arrival.At)
		switch ms := float64(took) / 1e6; {
		case ms <= class.LatencyTargetMS:
			served = value
		case ms <= class.GiveUpMS:
			served = value * class.LateValue
		}
		recordLatency(m.latency, took)
		recordLatency(m.latencyBySecond[index], took)
	}
	switch {
	case answered:
		m.answered++
	case last.Status == http.StatusTooManyRequests || last.Status == http.StatusServiceUnavailable:
		m.rejected++
		second.Refused++
	default:
		m.failed++
		second.Failed++
	}
	second.Requests++
	second.Asked += value
	second.Served += served
	m.total.add(value, served)
	m.classes[arrival.Class].add(value, served)
}

// requests is the number of requests, at least 1.
func (m *measurement) requests() float64 { return float64(max(1, m.answered+m.rejected+m.failed)) }

// requestFigures are the figures of requests by their outcome and latency.
func (m *measurement) requestFigures() Figures {
	lateRejections := 0
	for i := range m.ClientAttempts {
		attempt := &m.ClientAttempts[i]
		rejected := attempt.Status != http.StatusOK && attempt.Status != 0
		if rejected && attempt.Ended-attempt.Sent > int64(attempt.Timeout)/2 {
			lateRejections++
		}
	}
	requests := m.requests()
	return Figures{"answered": float64(m.answered) / requests, "refused": float64(m.rejected) / requests, "failed": float64(m.failed) / requests,
		"late_refusals": float64(lateRejections) / requests, "requests": requests, "lateness_p99_ms": float64(m.Lateness) / 1e6,
		"p50_ms": quantile(m.latency, 50), "p99_ms": quantile(m.latency, 99), "p999_ms": quantile(m.latency, 99.9)}
}

// addServerAttempts adds the figures of attempts and connections at servers, and counts attempts in the course.
func (m *measurement) addServerAttempts(figures Figures) {
	connections := 0
	for _, attempt := range m.ServerAttempts {
		if attempt.New {
			connections++
		}
		second := int((attempt.First - m.Start) / int64(time.Second))
		if attempt.First >= m.Start && second < len(m.course) {
			m.course[second].Attempts++
		}
	}
	figures["attempts"] = float64(len(m.ServerAttempts)) / m.requests()
	figures["connections"] = float64(connections) / m.requests()
}

// valueFigures adds the served share of the value: in all, by class, in the worst class and the worst 10 s, and together.
func (m *measurement) valueFigures(figures Figures) {
	worstClass := 1.0
	for i, class := range m.classes {
		figures["served:"+m.Plan.File.Classes[i].Name] = class.share()
		worstClass = min(worstClass, class.share())
	}
	worstTime := 1.0
	for i := range max(1, len(m.course)-worstSeconds+1) {
		var sum valueSum
		for _, second := range m.course[i:min(i+worstSeconds, len(m.course))] {
			sum.add(second.Asked, second.Served)
		}
		worstTime = min(worstTime, sum.share())
	}
	figures["served"], figures["served_worst_class"], figures["served_worst_10s"] = m.total.share(), worstClass, worstTime
	figures["service"] = 0.5*figures["served"] + 0.3*figures["served_worst_10s"] + 0.2*figures["served_worst_class"] // BRIEF, how we count
}

// Lateness is the 99th percentile of how late the lab sent.
func Lateness(attempts []load.Attempt) time.Duration {
	histogram := newHistogram()
	for i := range attempts {
		recordLatency(histogram, attempts[i].Began-attempts[i].Due)
	}
	return time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
}
