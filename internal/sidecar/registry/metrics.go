package registry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// metrics are a keeper's figures.
type metrics struct {
	registry     *prometheus.Registry
	calls        *prometheus.CounterVec
	durations    *prometheus.HistogramVec
	slowWatchers prometheus.Counter

	routeLines, routeBytes, routesEncoded *prometheus.CounterVec // by kind: whole, diff
}

func newMetrics(k *Node) *metrics {
	m := &metrics{registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "keeper_calls_total", Help: "Calls by what they wanted and what became of them."},
			[]string{"op", "outcome"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "keeper_call_seconds", Help: "How long calls took that were done.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14)}, []string{"op"}),
		slowWatchers: prometheus.NewCounter(prometheus.CounterOpts{Name: "keeper_watchers_cut_total", Help: "Watchers cut off because they were too slow."}),

		routeLines: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "keeper_route_lines_total", Help: "Answers with route tables, and with what leads to them."},
			[]string{"kind"}),
		routeBytes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "keeper_route_bytes_total", Help: "Bytes of those."}, []string{"kind"}),
		routesEncoded: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "keeper_routes_made_total", Help: "Those that were made, each for all who ask for the same."},
			[]string{"kind"}),
	}
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	of := func(value func(*state.Machine) float64) func() float64 {
		return func() (v float64) {
			k.store.read(func(s *state.Machine) { v = value(s) })
			return v
		}
	}
	gauge("keeper_revision", "Revision of the list.", of(func(s *state.Machine) float64 { return float64(s.Revision()) }))
	gauge("keeper_servers", "Servers on the list.", of(func(s *state.Machine) float64 { return float64(s.Len()) }))
	gauge("keeper_generation", "Generation of the route table.", of(func(s *state.Machine) float64 { return float64(s.Generation()) }))
	gauge("keeper_route_watchers", "Watches of the route table that are open.", func() float64 { return float64(k.routeWatchers.Load()) })
	gauge("keeper_duties", "Duties there are.", of(func(s *state.Machine) (n float64) {
		s.EachRole(func(*state.Role) { n++ })
		return n
	}))
	gauge("keeper_duties_free", "Duties that nobody holds.", of(func(s *state.Machine) (n float64) {
		s.EachRole(func(d *state.Role) {
			if d.Owner == nil {
				n++
			}
		})
		return n
	}))
	gauge("keeper_duty_watchers", "Watches of duties that are open.", func() float64 { return float64(k.roleWatchers.Load()) })
	gauge("keeper_watchers", "Watches that are open.", func() float64 { return float64(k.watchers.Load()) })
	gauge("keeper_leases_held", "Leases that have ended and are held back.", func() float64 {
		_, held := k.serverLessor.counts()
		return float64(held)
	})
	gauge("keeper_leads", "1 on the leader.", func() float64 {
		if k.replica.Ready() {
			return 1
		}
		return 0
	})
	gauge("keeper_age_seconds", "How long ago this keeper last knew itself up to date; below 0: not since its start.", func() float64 {
		age, known := k.replica.Age()
		if !known {
			return -1
		}
		return age.Seconds()
	})
	m.registry.MustRegister(m.calls, m.durations, m.slowWatchers, m.routeLines, m.routeBytes, m.routesEncoded, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// recordCall counts a call.
func (m *metrics) recordCall(op, outcome string, took time.Duration) {
	m.calls.WithLabelValues(op, outcome).Inc()
	if outcome == "ok" {
		m.durations.WithLabelValues(op).Observe(took.Seconds())
	}
}

// recordRoutesAnswer counts an answer with a route table, or with what leads to one.
func (m *metrics) recordRoutesAnswer(kind string, size int) {
	m.routeLines.WithLabelValues(kind).Inc()
	m.routeBytes.WithLabelValues(kind).Add(float64(size))
}

func (m *metrics) recordRoutesEncoded(kind string) { m.routesEncoded.WithLabelValues(kind).Inc() }

// recordWatchEnd counts a watcher whose watch ended because he was too slow.
func (m *metrics) recordWatchEnd(slow bool) {
	if slow {
		m.slowWatchers.Inc()
	}
}
