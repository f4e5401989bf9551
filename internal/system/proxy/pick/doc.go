// Package pick decides which server gets which request, for one proxy of a fleet.
//
// # Problem
//
// A route's requests are divided over services by fixed weights, and within a service over servers of several zones and regions. Servers
// warm up, drain, fail, fill up and, where they run a language model, have prefixes of prompts cached. Each proxy decides for itself, from
// what the control plane publishes, what servers say of themselves, what the other proxies share, and what its own requests show.
//
// # Terms
//
// A Picker gives a Result for each attempt of a Request; ResponseStarted, FirstEvent and Done tell it how the attempt went, as in gRPC's
// balancer interface. A group is the servers of one service. A server is eligible where no rule, ejection or pacing excludes it. It warms up where
// it may get few requests for a time after its start; the proxies that may send it any are its senders. The control plane is in contact
// where it has published a state; a state is Stale where others may have given this proxy up.
//
// # Choice
//
// The route's rotation names the group that is due (package rotation). Among the group's eligible servers those count whose cost is within
// a tolerance of the least; of them the one whose turn it is in round robin, or the next one if this proxy has fewer requests in flight
// there. That yields the better of two, as in the power of two choices (Mitzenmacher 2001), with the two taken in turn instead of at
// random. Where no server is eligible, an ejected one may get a probe (package outlier). A request that would be late by waiting for others
// is rejected as long as it has not run.
//
// # Cost model
//
// A cost is the estimated time to the first event, and penalties as their worth in time, all in milliseconds (cost.go):
//
//   - the network: round trip, handshake of a new connection, worth of leaving the zone or the region;
//   - queueing: for a slot; for the prefill of prompts that are there already; for what is overdue;
//   - prefill of what the server is not estimated to have cached (package prefixcache; the model is vLLM's automatic prefix caching), by a
//     learned rate. Shared prefixes have homes by rendezvous hashing (package rendezvous), so that proxies agree on them unseen;
//   - penalties: for a server whose pool is for other prompts (package promptpool), for memory that would overflow, for prefilling what
//     others have cached, for one that warms up, is full or is about to leave.
//
// # Invariants
//
// Rules: no attempt goes to a server that drains, lies in an evacuated zone or outside the route's home regions, or was tried before; at
// most MaxAttempts attempts of a request reach a server; one that may have run is not sent again unless it is idempotent. Argument: Pick
// checks the last two before all else, and eligibility the others for each server, also for probes; an attempt counts for MaxAttempts from its
// start, and only one of which not a byte was sent is taken back.
//
// Retry budget: in any window all proxies together retry at most RetryRatio × requests + RetrySlack. Argument: package retrybudget bounds
// each proxy by the ratio of its own requests and its part of the slack, which is divided over the most proxies that there were of late;
// while not all are known, it is 0.
//
// Warm-up bound: within any second a warming server gets at most rate × WarmUpExcess + WarmUpSlack requests from all proxies. The argument
// stands in warmup_quota.go. In contrast to Envoy's slow start, which scales a server's weight with its age, the bound is absolute: it
// holds whatever the other servers' load. It also holds where the list cannot show a warm-up yet: after the evacuation of a zone ended,
// after a pause of this process, and where a server answers again that could not be reached (warmup_state.go).
//
// The package is pure: no I/O, no clock, no goroutine, no lock. Times are readings of the caller's monotonic clock.
package pick
