package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

const manyTenants = 14_000

// manyTenantNames returns names that are as long as those in deployments.
func manyTenantNames() []string {
	names := make([]string, manyTenants)
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%05d", i)
	}
	return names
}

// heapBytes returns the number of live bytes on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkAllocator makes six limiters renew the leases of many tenants, and reports the allocator's bytes per tenant.
func BenchmarkAllocator(b *testing.B) {
	limits := func(string) (Limit, bool) { return Limit{RatePerSecond: 10, Burst: 10}, true }
	names := manyTenantNames()
	requests := make([]LeaseRequest, 6)
	for i := range requests {
		requests[i] = LeaseRequest{Limiter: LimiterID{Node: fmt.Sprint("proxy-", i), Incarnation: 1}}
		for _, name := range names {
			requests[i].Demands = append(requests[i].Demands, Demand{Tenant: name, RatePerSecond: 1})
		}
	}
	before := heapBytes()
	node := NewAllocator(AllocatorOptions{Bounds: testBounds})
	node.Begin(0)
	now := 10 * time.Second
	for b.Loop() {
		now += 500 * time.Millisecond
		for i := range requests {
			requests[i].Sequence++
			node.Receive(now, requests[i], limits)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/manyTenants, "B/tenant")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(6*manyTenants), "ns/demand")
	runtime.KeepAlive(node)
	runtime.KeepAlive(requests)
}

// BenchmarkLimiter takes tokens of many leased tenants in turn, and reports the limiter's bytes per tenant.
func BenchmarkLimiter(b *testing.B) {
	limit := Limit{RatePerSecond: 10, Burst: 10}
	names := manyTenantNames()
	node := NewAllocator(AllocatorOptions{Bounds: testBounds})
	node.Begin(0)
	now := 10 * time.Second
	before := heapBytes()
	limiter := NewLimiter(LimiterOptions{ID: LimiterID{Node: "proxy", Incarnation: 1}, Bounds: testBounds, MaxWaiting: 4 * manyTenants})
	for _, name := range names {
		limiter.Take(now, name, limit, 1)
	}
	request, _ := limiter.NextRequest(now)
	limiter.Receive(now, node.Receive(now, request, func(string) (Limit, bool) { return limit, true }))
	next := 0
	for b.Loop() {
		now += 10 * time.Microsecond
		limiter.Take(now, names[next%manyTenants], limit, 1)
		next++
	}
	b.ReportMetric(float64(heapBytes()-before)/manyTenants, "B/tenant")
	runtime.KeepAlive(limiter)
	runtime.KeepAlive(node)
	runtime.KeepAlive(names)
}
