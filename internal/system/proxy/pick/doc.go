// Package pick decides which server gets each request, for one proxy of a fleet.
//
// # Problem
//
// A route's requests are divided among services by fixed weights, and within a service among servers in
// several zones and regions. Servers warm up, drain, fail, fill up and, if they run a language model, cache
// prompt prefixes. Each proxy decides on its own, from the state that the control plane publishes, what
// servers report about themselves, what the other proxies share, and the outcomes of its own requests.
//
// # Terms
//
// A Picker returns a Result for each attempt of a Request; ResponseStarted, FirstEvent and Done report to it how the
// attempt went, as in gRPC's balancer interface. A group is the set of servers of one service. A server is eligible
// if no rule, ejection or pacing excludes it. A server is warming up while it may get only few requests for a time
// after its start; the proxies that may send it any are its senders. The control plane has been in contact since a
// time if it has published a state then or later; a state is Stale if other proxies may have given this proxy up.
//
// # Choice
//
// The route's rotation names the group that is due (package rotation). Among the group's eligible servers, the candidates are those
// whose cost is within a tolerance of the lowest. The request goes to the candidate whose turn it is in round robin, or to the next
// candidate if this proxy has fewer requests in flight there. This picks the better of two, as in the power of two choices
// (Mitzenmacher 2001), with the two taken in turn instead of at random. If no server is eligible, an ejected one may get a probe
// (package outlier). A request that would be late because it waits for other requests is rejected, as long as it has not run.
//
// # Cost model
//
// A cost is the estimated time to the first event plus penalties that are expressed as time, all in milliseconds (cost.go):
//
//   - network: round trip, handshake of a new connection, penalty for leaving the zone or the region;
//   - queueing: for a slot; for the prefill of prompts that are already there; for overdue attempts;
//   - prefill of what the server is not estimated to have cached (package prefixcache; the model is vLLM's automatic prefix caching), at a
//     learned rate. Shared prefixes have home servers by rendezvous hashing (package rendezvous), so that proxies agree on them without
//     communicating;
//   - penalties: for a server whose pool is for other prompts (package promptpool), for memory that would overflow, for prefilling what
//     other servers have cached, and for a server that warms up, is full or is about to leave.
//
// # Invariants
//
// Rules: no attempt goes to a server that is draining, is in an evacuated zone or outside the route's home regions, or was tried before;
// at most MaxAttempts attempts of a request reach a server; a request that may have run is not sent again unless it is idempotent.
// Argument: Pick checks the last two rules before anything else, and eligibility checks the others for each server, also for probes; an
// attempt counts towards MaxAttempts from its start, and the count is reverted only for an attempt of which not a byte was sent.
//
// Retry budget: in any window all proxies together make at most RetryRatio × requests + RetrySlack retries.
// Argument: package retrybudget limits each proxy to the ratio of its own requests plus its share of the slack.
// The slack is divided by the highest recent number of proxies; while not all proxies are known, the share is 0.
//
// Warm-up bound: within any second a warming server gets at most rate × WarmUpExcess + WarmUpSlack requests from all proxies. The
// argument is in warmup_quota.go. Unlike Envoy's slow start, which scales a server's weight with its age, the bound is absolute: it
// holds regardless of the other servers' load. It also holds where the list of servers cannot show a warm-up yet: after the evacuation
// of a zone ended, after a pause of this process, and when a server that could not be reached answers again (warmup_state.go).
//
// The package is pure: no I/O, no clock, no goroutine, no lock. Times are readings of the caller's monotonic clock.
package pick
