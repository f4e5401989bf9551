package proxy

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Counters count what a Proxy has done since it started. They never decrease, and are safe for concurrent use.
type Counters struct {
	Requests     atomic.Int64 // requests of clients whose head was read
	Served       atomic.Int64 // requests for which a server's response was forwarded completely
	Refused      atomic.Int64 // requests answered with 503: none of them has run
	Failed       atomic.Int64 // requests answered with 502: sent, but no valid response was received
	TimedOut     atomic.Int64 // requests answered with 504
	Truncated    atomic.Int64 // responses that were truncated and not resumed
	ClientGone   atomic.Int64 // requests whose client disconnected before the response was complete
	Rejected     atomic.Int64 // requests answered with a 4xx by the proxy itself, and connections closed because of their framing
	Sends        atomic.Int64 // attempts of which something was written to a server
	Retries      atomic.Int64 // those of them that were not a request's first
	Resumed      atomic.Int64 // event streams that were resumed at another server
	Abandoned    atomic.Int64 // attempts that were abandoned because their server was silent
	Dials        atomic.Int64 // dials to servers, including those that failed
	DialFailures atomic.Int64
	Reused       atomic.Int64 // attempts on a connection that had been idle
	Stale        atomic.Int64 // idle connections that were found closed by the server
	Surplus      atomic.Int64 // idle connections with bytes that no request asked for
	Mismatch     atomic.Int64 // responses that were not valid for their request
	Unframed     atomic.Int64 // responses whose end cannot be recognized

	Unauthorized     atomic.Int64 // requests without exactly one known key on a route that needs one: answered with 401
	KeysUnverified   atomic.Int64 // requests refused because a newer configuration may treat their key differently
	Revoked          atomic.Int64 // requests whose key was no longer valid, or could no longer be verified, before an attempt
	OverLimit        atomic.Int64 // requests over their tenant's limit: answered with 429
	QuotaUnavailable atomic.Int64 // requests refused because the proxy could not determine whether they were within their tenant's limit
}

// byMetric returns the counters, keyed by the variable part of their metric's name. Operators rely on these names.
func (c *Counters) byMetric() map[string]*atomic.Int64 {
	return map[string]*atomic.Int64{
		"requests":  &c.Requests,
		"served":    &c.Served,
		"refused":   &c.Refused,
		"broken":    &c.Failed,
		"timed_out": &c.TimedOut,
		"cut":       &c.Truncated,
		"gone":      &c.ClientGone,
		"improper":  &c.Rejected,
		"sends":     &c.Sends,
		"repeats":   &c.Retries,
		"resumed":   &c.Resumed,
		"moved":     &c.Abandoned,
		"dials":     &c.Dials,
		"unreached": &c.DialFailures,
		"reused":    &c.Reused,
		"stale":     &c.Stale,
		"surplus":   &c.Surplus,
		"mismatch":  &c.Mismatch,
		"unframed":  &c.Unframed,

		"unauthorized":      &c.Unauthorized,
		"keys_unverified":   &c.KeysUnverified,
		"revoked":           &c.Revoked,
		"over_limit":        &c.OverLimit,
		"quota_unavailable": &c.QuotaUnavailable,
	}
}

// Publish registers the counters as metrics of the process. It may be called only once per process.
func (p *Proxy) Publish() {
	for name, counter := range p.counters.byMetric() {
		publish(name, func() float64 { return float64(counter.Load()) })
	}
	publish("cold_starts", func() float64 { return float64(p.picker.Stats().WarmUpStarts) })
	publish("cold_sends", func() float64 { return float64(p.picker.Stats().WarmUpSends) })
	publish("cold_ends", func() float64 { return float64(p.picker.Stats().WarmUpEnds) })
}

// publish registers one counter.
func publish(name string, value func() float64) {
	metrics.NewGauge("gradeusher_proxy_"+name+"_total", value)
}
