package proxy

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Counters count what a Proxy has done since it started. They only rise.
type Counters struct {
	Requests     atomic.Int64 // read whole or refused
	Served       atomic.Int64 // a server's answer was passed on whole
	Refused      atomic.Int64 // 503: nothing of it has run
	Failed       atomic.Int64 // 502: sent, and no answer came
	TimedOut     atomic.Int64 // 504
	Truncated    atomic.Int64 // an answer that was broken off midway
	ClientGone   atomic.Int64 // the client went away first
	Rejected     atomic.Int64 // 4xx of our own, or a connection ended for its framing
	Sends        atomic.Int64 // requests written to servers, wholly or in part
	Retries      atomic.Int64 // those of them that were not a request's first
	Resumed      atomic.Int64 // streams taken up at another server
	Abandoned    atomic.Int64 // sends that were left because their server was silent
	Dials        atomic.Int64 // connections to servers
	DialFailures atomic.Int64 // dials that failed
	Reused       atomic.Int64 // sends on a connection that had idled
	Stale        atomic.Int64 // idle connections found closed by their server
	Surplus      atomic.Int64 // idle connections with bytes that nobody asked for
	Mismatch     atomic.Int64 // answers that were no proper answer to their request
	Unframed     atomic.Int64 // answers whose end cannot be told
}

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
