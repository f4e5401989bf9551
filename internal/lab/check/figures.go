package check

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gradeusher.example/gradeusher/internal/lab/load"
)

// Second is what happened in one second of the load, by the arrival of requests.
type Second struct {
	Asked    float64 `json:"asked"`  // worth
	Served   float64 `json:"served"` // worth, less for answers after the aim
	Requests int     `json:"requests"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Attempts int     `json:"attempts"` // at servers, by the time of their first byte
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Spread   float64 `json:"spread,omitempty"` // of the window that the second is in; 0: it is in none
}

// Figures are an experiment's results by name: those of plan.Figures, and some a class ("served:fetch").
type Figures map[string]float64

// most of a latency histogram, in microseconds.
const maxLatencyMicros = int64(time.Minute / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

func recordLatency(h *hdrhistogram.Histogram, ns int64) {
	_ = h.RecordValue(min(max(ns/int64(time.Microsecond), 1), maxLatencyMicros)) // always within its range
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Measure computes the figures and the course of a run. Worth is counted for each unit of work, as BRIEF has it.
func Measure(e *Evidence) (Figures, []Second) {
	p := e.Plan
	n := int(math.Ceil(p.File.Seconds))
	course := make([]Second, n)
	latency := newHistogram()
	within := make([]*hdrhistogram.Histogram, n)
	for i := range within {
		within[i] = newHistogram()
	}
	tries := map[int][]*load.Attempt{}
	conns, lateRefusals := 0, 0
	for i := range e.ClientAttempts {
		t := &e.ClientAttempts[i]
		tries[t.Arrival] = append(tries[t.Arrival], t)
		if t.Status != 200 && t.Status != 0 && t.Ended-t.Sent > int64(t.Timeout)/2 {
			lateRefusals++
		}
	}
	type sum struct{ asked, served float64 }
	var whole sum
	classes := make([]sum, len(p.File.Classes))
	answered, refused, failed := 0, 0, 0
	for i, all := range tries {
		a := &p.Arrivals[i]
		class := &p.File.Classes[a.Class]
		second := &course[min(int(a.At/time.Second), n-1)]
		worth := class.Value * a.Work.Seconds()
		got := 0.0
		last := all[0]
		for _, t := range all {
			if t.Retry {
				last = t
			}
			if t.Status != 200 {
				continue
			}
			took := float64(t.Ended-e.Start-int64(a.At)) / 1e6
			switch {
			case took <= class.LatencyTargetMS:
				got = worth
			case took <= class.GiveUpMS:
				got = worth * class.LateValue
			}
			recordLatency(latency, t.Ended-e.Start-int64(a.At))
			recordLatency(within[min(int(a.At/time.Second), n-1)], t.Ended-e.Start-int64(a.At))
		}
		served := slices.ContainsFunc(all, func(t *load.Attempt) bool { return t.Status == 200 })
		switch {
		case served:
			answered++
		case last.Status == 429 || last.Status == 503:
			refused++
			second.Refused++
		default:
			failed++
			second.Failed++
		}
		second.Requests++
		second.Asked += worth
		second.Served += got
		whole.asked += worth
		whole.served += got
		classes[a.Class].asked += worth
		classes[a.Class].served += got
	}
	for _, a := range e.ServerAttempts {
		if a.New {
			conns++
		}
		if s := int((a.First - e.Start) / int64(time.Second)); s >= 0 && s < n && a.First >= e.Start {
			course[s].Attempts++
		}
	}
	for i := range course {
		course[i].P50, course[i].P99 = quantile(within[i], 50), quantile(within[i], 99)
	}
	requests := float64(max(1, answered+refused+failed))
	share := func(s sum) float64 {
		if s.asked == 0 {
			return 1
		}
		return s.served / s.asked
	}
	f := Figures{"served": share(whole), "answered": float64(answered) / requests, "refused": float64(refused) / requests,
		"failed": float64(failed) / requests, "attempts": float64(len(e.ServerAttempts)) / requests, "late_refusals": float64(lateRefusals) / requests,
		"p50_ms": quantile(latency, 50), "p99_ms": quantile(latency, 99), "p999_ms": quantile(latency, 99.9),
		"connections": float64(conns) / requests, "requests": requests, "lateness_p99_ms": float64(e.Lateness) / 1e6}
	worst := 1.0
	for i, c := range classes {
		f["served:"+p.File.Classes[i].Name] = share(c)
		worst = min(worst, share(c))
	}
	f["served_worst_class"] = worst
	e.registryFigures(f)
	e.routeFigures(f)
	e.hitterFigures(f)
	e.spreadFigures(f, course)
	e.churnFigure(f)
	e.rejectionFigures(f, course)
	e.avoidanceFigures(f)
	e.gossipFigures(f)
	worst = 1.0
	for i := range max(1, n-worstSeconds+1) {
		var s sum
		for _, c := range course[i:min(i+worstSeconds, n)] {
			s.asked += c.Asked
			s.served += c.Served
		}
		worst = min(worst, share(s))
	}
	f["served_worst_10s"] = worst
	f["service"] = 0.5*f["served"] + 0.3*f["served_worst_10s"] + 0.2*f["served_worst_class"] // BRIEF, how we count
	return f, course
}

// Lateness is how late the lab sent, at the 99th percentile.
func Lateness(tries []load.Attempt) time.Duration {
	h := newHistogram()
	for i := range tries {
		recordLatency(h, tries[i].Began-tries[i].Due)
	}
	return time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}
