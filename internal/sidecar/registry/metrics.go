package registry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// metrics are a node's Prometheus metrics. Their names and labels are the operators' and never change.
type metrics struct {
	registry     *prometheus.Registry
	calls        *prometheus.CounterVec
	durations    *prometheus.HistogramVec
	slowWatchers prometheus.Counter

	routeLines, routeBytes, routesEncoded *prometheus.CounterVec // by kind: kindComplete, kindDiff
}

func newMetrics(node *Node) *metrics {
	built := &metrics{
		registry: prometheus.NewRegistry(),
		calls:    counters("keeper_calls_total", "Calls by what they wanted and what became of them.", "op", "outcome"),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "keeper_call_seconds",
			Help:    "How long calls took that were done.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"op"}),
		slowWatchers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "keeper_watchers_cut_total",
			Help: "Watchers cut off because they were too slow.",
		}),
		routeLines:    counters("keeper_route_lines_total", "Answers with route tables, and with what leads to them.", "kind"),
		routeBytes:    counters("keeper_route_bytes_total", "Bytes of those.", "kind"),
		routesEncoded: counters("keeper_routes_made_total", "Those that were made, each for all who ask for the same.", "kind"),
	}
	built.registerStateGauges(node)
	built.registerNodeGauges(node)
	built.registry.MustRegister(built.calls, built.durations, built.slowWatchers, built.routeLines, built.routeBytes, built.routesEncoded, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return built
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func (m *metrics) registerGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// registerStateGauges registers the gauges that are read from the state machine.
func (m *metrics) registerStateGauges(n *Node) {
	register := func(name, help string, value func(*state.Machine) int64) {
		m.registerGauge(name, help, func() (v float64) {
			n.store.read(func(machine *state.Machine) { v = float64(value(machine)) })
			return v
		})
	}
	register("keeper_revision", "Revision of the list.", (*state.Machine).Revision)
	register("keeper_servers", "Servers on the list.", func(machine *state.Machine) int64 { return int64(machine.Len()) })
	register("keeper_generation", "Generation of the route table.", (*state.Machine).Generation)
	register("keeper_duties", "Duties there are.", func(machine *state.Machine) int64 {
		return countRoles(machine, func(*state.Role) bool { return true })
	})
	register("keeper_duties_free", "Duties that nobody holds.", func(machine *state.Machine) int64 {
		return countRoles(machine, func(role *state.Role) bool { return role.Owner == nil })
	})
}

func countRoles(machine *state.Machine, counts func(*state.Role) bool) (count int64) {
	machine.EachRole(func(role *state.Role) {
		if counts(role) {
			count++
		}
	})
	return count
}

// registerNodeGauges registers the gauges of the node itself.
func (m *metrics) registerNodeGauges(node *Node) {
	m.registerGauge("keeper_watchers", "Watches that are open.", func() float64 { return float64(node.watchers.Load()) })
	m.registerGauge("keeper_route_watchers", "Watches of the route table that are open.", func() float64 { return float64(node.routeWatchers.Load()) })
	m.registerGauge("keeper_duty_watchers", "Watches of duties that are open.", func() float64 { return float64(node.roleWatchers.Load()) })
	m.registerGauge("keeper_leases_held", "Leases that have ended and are held back.", func() float64 {
		_, pending := node.serverLessor.counts()
		return float64(pending)
	})
	m.registerGauge("keeper_leads", "1 on the leader.", func() float64 {
		if node.replica.Ready() {
			return 1
		}
		return 0
	})
	m.registerGauge("keeper_age_seconds", "How long ago this keeper last knew itself up to date; below 0: not since its start.", func() float64 {
		age, known := node.replica.Age()
		if !known {
			return -1
		}
		return age.Seconds()
	})
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// recordCall counts a call by its outcome, outcomeOK or the code of a refusal. The duration counts for calls that were done.
func (m *metrics) recordCall(op, outcome string, duration time.Duration) {
	m.calls.WithLabelValues(op, outcome).Inc()
	if outcome == outcomeOK {
		m.durations.WithLabelValues(op).Observe(duration.Seconds())
	}
}

// recordRoutesAnswer counts a line with a route table, or with a difference, and its bytes.
func (m *metrics) recordRoutesAnswer(kind string, size int) {
	m.routeLines.WithLabelValues(kind).Inc()
	m.routeBytes.WithLabelValues(kind).Add(float64(size))
}

func (m *metrics) recordRoutesEncoded(kind string) { m.routesEncoded.WithLabelValues(kind).Inc() }

// recordWatchEnd counts a watch that was closed because its client was too slow.
func (m *metrics) recordWatchEnd(slow bool) {
	if slow {
		m.slowWatchers.Inc()
	}
}
