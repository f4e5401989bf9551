// Package quotarpc drives the pure core of package quota: it carries leases between control-plane nodes and limiters, and admissions
// between proxies.
//
// # Problem
//
// What a tenant may send is counted across all proxies. Each request needs a verdict within a fraction of its aim, from few messages
// that stay within a zone, while processes end, are paused for seconds or are cut off.
//
// # Terms
//
// A Client is the end of the data plane: it asks a limiter for the admission of requests. A LimiterServer owns the limiter of a proxy:
// it answers the clients of its zone from the shares of tenants' limits that it has leased. An AllocationServer owns the allocator of
// a control-plane node: it leases shares while the node owns the singleton role Role.
//
// # What holds
//
//   - Leases alone permit. Each take reads the clock under the lock under which it spends, so that a process that was paused finds its
//     leases expired. Which limiter a client asks matters for the use of the limit and never for its bound.
//   - An allocation server answers only in an epoch whose view names its node as the owner, and which a majority of the voters
//     confirmed within the last 600 ms, asked after the call had come. See AllocationServer.
//   - A reply counts only for the call whose id it repeats; the connection is closed otherwise.
//   - An admission goes to one request: one call of a tenant is under way at a client, the requests that come meanwhile form the next
//     one, and each gets its verdict from the one call that it is in. A call that fails admits none, whatever the limiter has spent.
//   - Everything is bounded: the wait of a request by maxAdmissionWait, the requests that wait, the calls in flight by the tenants that
//     have a limit, the lease calls by one.
//   - A fleet in which no tenant has a limit makes no call and runs no timer.
//
// TestingKnobs take the protections out one by one.
package quotarpc
