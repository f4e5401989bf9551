// Package distribution disseminates state from the control plane to the proxies by long poll. Control state is sent as numbered,
// acknowledged changes and is repaired by snapshot. Soft state (members, servers, loads) is merged by version and never written to disk.
//
// # Problem
//
// Several hundred proxies must act on the same configuration within a fraction of a second of its commit, and on the same list of
// servers, while control-plane nodes and proxies are partitioned, paused for tens of seconds and restarted. Any message may be stale:
// stale state must not be mistaken for new state, and a proxy must never revert to a state older than one it has already used.
//
// # Terms
//
// A Server runs on a control-plane node, a Subscriber on a proxy. A subscriber discovers servers by probes and polls one of them, its
// current node, with Follow. Servers synchronise soft state with their peers with Share, so it does not matter which of them a proxy
// polls. A server is current while a majority of the control plane confirms that it misses no acknowledged change and its soft state was
// not cut off meanwhile. A Referral runs on an observer and returns the addresses of the servers. Proxies that reach no server query
// their neighbours.
//
// # Invariants
//
//   - State never goes back in one incarnation of a proxy. Every replacement of the control state goes through stateReplica.set, and
//     catchup.Position.Plan admits only higher numbers; see package catchup for the proof.
//   - A proxy that is Fresh had, at most catchup.FreshnessTTL ago by its own monotonic clock, everything that was acknowledged at that
//     moment. The server checks whether it is current before it reads the state, and reports how long after the request's arrival it made
//     that check. The check is therefore no earlier than the sending of the request plus that time, by the subscriber's clock alone.
//   - A process that starts serves a state only once the state has been proved fresh, or a neighbour's state after every known server has
//     been tried.
//   - Ages are bounded from above and below without a shared clock, over all hops; see package softstate. A server dates a peer's message
//     by its own clock, which the peer sends back with the elapsed time added. A message that cannot be dated, or was in transit for too
//     long, is sent again.
//   - A list of servers that was certainly read before the stored one is not merged, whoever sends it, and its list entry is stored only
//     together with the servers of that reading.
//   - Entries merge in the order of fence, then version, then deletion, then value, so all tables converge (package softstate).
//   - A server that lost contact cannot mark a proxy down elsewhere: any server in contact with the proxy refutes it. After it rejoins, it
//     serves no proxy as current before it has had time to receive what it missed (rejoinDelay).
//   - Memory is bounded: one encoded snapshot, cachedBytes of records, ServerLimits.MaxPendingReplyBytes of replies that wait to be read,
//     maxSubscribers sessions and maxPeers peers.
//
// TestingKnobs disable these protections one by one, so that tests show what each is for. docs/hardening/distribution.md has the full
// arguments and names the tests.
//
// # Sources
//
// Versioned, acknowledged resources by long poll are as in Envoy's xDS; snapshots that replace a log that is too long as in Raft;
// incarnations and refutation of suspicions as in SWIM (Das, Gupta, Motivala 2002); synchronisation among servers is anti-entropy (Demers
// et al. 1987).
//
// # Packages below
//
// catchup decides what is sent of the control state and what is applied; softstate is the table; loadreport carries loads; rpc bounds
// calls; distributionpb is the wire format. It keeps the names of the first version: a Keeper is a control-plane node, Hears are peers in
// contact, Told is what has been acknowledged, PaceMs is an interval.
package distribution

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative distributionpb/distribution.proto
