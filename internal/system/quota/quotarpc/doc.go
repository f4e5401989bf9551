// Package quotarpc connects the pure core of package quota to the network: it carries
// leases between control-plane nodes and limiters, and admissions between proxies.
//
// # Problem
//
// A tenant's requests are counted across all proxies. Each request needs a verdict within a fraction of its latency
// target, using few messages that stay within a zone, while processes crash, are paused for seconds or are partitioned.
//
// # Terms
//
// A Client is the data-plane side: it asks a limiter to admit requests. A LimiterServer owns the limiter of a proxy:
// it answers the clients of its zone from the shares of tenants' limits that it has leased. An AllocationServer owns
// the allocator of a control-plane node: it leases shares while the node owns the singleton role Role.
//
// # Guarantees
//
//   - Requests are admitted only against leases. Each take reads the clock under the same lock under which
//     it spends tokens, so that a process that was paused finds its leases expired. Which limiter a client
//     asks affects how much of the limit can be used, but never the bound.
//   - An allocation server answers only in an epoch whose view names its node as the owner and which a majority of
//     the voters confirmed within the last 600 ms; this is checked after the call has arrived. See AllocationServer.
//   - A reply is accepted only for the call whose id it repeats; otherwise the connection is closed.
//   - An admission is used for one request only: a client has one call per tenant in flight, requests
//     that arrive meanwhile form the next one, and each request gets its verdict from the single call
//     that it is part of. A call that fails admits none, even if the limiter has spent tokens on it.
//   - Everything is bounded: the wait of a request by maxAdmissionWait, the number of waiting requests, the
//     calls in flight by the number of tenants that have a limit, and the lease calls in flight by one.
//   - A fleet in which no tenant has a limit makes no calls and runs no timer.
//
// TestingKnobs disable the protections one by one.
package quotarpc
