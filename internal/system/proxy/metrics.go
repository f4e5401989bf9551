package proxy

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Publish has the process's metrics tell this proxy's counters. Call it for one Proxy of a process, once.
func (p *Proxy) Publish() {
	n := &p.counters
	for name, counter := range map[string]*atomic.Int64{
		"requests": &n.Requests, "served": &n.Served, "refused": &n.Refused, "broken": &n.Failed, "timed_out": &n.TimedOut,
		"cut": &n.Truncated, "gone": &n.ClientGone, "improper": &n.Rejected, "sends": &n.Sends, "repeats": &n.Retries, "resumed": &n.Resumed,
		"moved": &n.Abandoned, "dials": &n.Dials, "unreached": &n.DialFailures, "reused": &n.Reused, "stale": &n.Stale,
		"surplus": &n.Surplus, "mismatch": &n.Mismatch, "unframed": &n.Unframed,
	} {
		publish(name, func() float64 { return float64(counter.Load()) })
	}
	publish("cold_starts", func() float64 { return float64(p.picker.Stats().WarmUpStarts) })
	publish("cold_sends", func() float64 { return float64(p.picker.Stats().WarmUpSends) })
	publish("cold_ends", func() float64 { return float64(p.picker.Stats().WarmUpEnds) })
}

// publish names a counter among the process's metrics.
func publish(name string, value func() float64) {
	metrics.NewGauge("gradeusher_proxy_"+name+"_total", value)
}
