package quotarpc

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"gradeusher.example/gradeusher/internal/system/quota"
)

// clientCounters are the counters of a Client. They only increase, and are safe for concurrent use.
type clientCounters struct {
	admitted    atomic.Int64 // requests of tenants with a limit that were admitted
	overLimit   atomic.Int64 // requests rejected because they exceed the limit
	unavailable atomic.Int64 // requests on which no limiter decided in time
	calls       atomic.Int64 // calls to limiters of other proxies
	failures    atomic.Int64 // failed calls to limiters of other proxies
}

// count counts the verdict on a request.
func (c *clientCounters) count(admission quota.Admission) {
	switch admission.Verdict {
	case quota.Admitted:
		c.admitted.Add(1)
	case quota.OverLimit:
		c.overLimit.Add(1)
	case quota.Unavailable:
		c.unavailable.Add(1)
	}
}

// limiterCounters are the counters of a LimiterServer. They only increase, and are safe for concurrent use.
type limiterCounters struct {
	takes         atomic.Int64 // calls received from other proxies
	granted       atomic.Int64 // requests admitted, for all proxies
	denied        atomic.Int64 // requests over the limit, for all proxies
	leaseCalls    atomic.Int64 // calls to the allocator
	leaseFailures atomic.Int64 // failed calls to the allocator
}

// count counts the outcome of requests.
func (c *limiterCounters) count(taken TakeResult) {
	c.granted.Add(int64(taken.Admitted))
	c.denied.Add(int64(taken.OverLimit))
}

// allocationCounters are the counters of an AllocationServer. They only increase, and are safe for concurrent use.
type allocationCounters struct {
	leases    atomic.Int64 // lease calls answered as the allocator
	referrals atomic.Int64 // lease calls that arrived while this node had no authority
	terms     atomic.Int64 // terms begun as the allocator
}

// Publish registers the client's counters as metrics of the process. It may be called once in a process.
func (c *Client) Publish() {
	publish("admitted", &c.counters.admitted)
	publish("over_limit", &c.counters.overLimit)
	publish("unavailable", &c.counters.unavailable)
	publish("limiter_calls", &c.counters.calls)
	publish("limiter_call_failures", &c.counters.failures)
}

// Publish registers the limiter's counters as metrics of the process. It may be called once in a process.
func (s *LimiterServer) Publish() {
	publish("takes", &s.counters.takes)
	publish("granted", &s.counters.granted)
	publish("denied", &s.counters.denied)
	publish("lease_calls", &s.counters.leaseCalls)
	publish("lease_call_failures", &s.counters.leaseFailures)
}

// Publish registers the allocator's counters as metrics of the process. It may be called once in a process.
func (s *AllocationServer) Publish() {
	publish("leases", &s.counters.leases)
	publish("referrals", &s.counters.referrals)
	publish("terms", &s.counters.terms)
}

// publish registers one counter.
func publish(name string, counter *atomic.Int64) {
	metrics.NewGauge("gradeusher_quota_"+name+"_total", func() float64 { return float64(counter.Load()) })
}
