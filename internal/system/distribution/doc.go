// Package distribution disseminates state from the control plane to the proxies by long poll: the control state, as numbered and
// acknowledged changes that are repaired by snapshot, and beside it soft state (members, servers, loads) that merges by version and is
// never on a disk.
//
// # Problem
//
// Some hundred proxies must act on the same configuration within a fraction of a second of its commit, and on the same list of servers,
// while control-plane nodes and proxies are partitioned, paused for tens of seconds and restarted. Whatever arrives may be of the past: the
// past must not be taken for new, and nothing that a proxy has used may be taken back.
//
// # Terms
//
// A Server is a control-plane node's end, a Subscriber a proxy's. A subscriber polls one server, its current node, by Follow, and has found
// it by probes. Servers synchronise soft state with their peers by Share, so that it does not matter which of them a proxy polls. A server is
// current while a majority of the control plane confirms that it misses no acknowledged change, and its soft state was not cut off
// meanwhile. A Referral is an observer's end: it names the servers. Proxies that reach no server ask their neighbours.
//
// # Invariants
//
//   - State never goes back in one incarnation of a proxy. Every replacement of the control state passes stateReplica.set, and
//     catchup.Position.Plan admits only higher numbers; see package catchup for the proof.
//   - A proxy that is Fresh had, at most catchup.FreshnessTTL ago by its own monotonic clock, all that had been acknowledged then. The server
//     says how long after the request's arrival it looked whether it is current, and does so before it reads the state; so the moment of that
//     look is no earlier than the request's sending plus that time, by the subscriber's clock alone.
//   - A process that starts serves a state only once it was fresh, or a neighbour's where every server known has had its chance.
//   - Ages are bounded from both sides without a shared clock, over all hops; see package softstate. A server dates a peer's message by its
//     own clock, which the peer repeats with the time since added; one that cannot be dated, or was long in transit, is sent anew.
//   - A list of servers that was certainly read before the stored one is not merged, whoever sends it, and its entry is stored only with the
//     servers that its reading showed.
//   - Entries merge in the order of fence, then version, then deletion, then value, so all tables end the same (package softstate).
//   - A server that lost contact marks nobody down elsewhere: whoever has contact to a proxy refutes it. It serves no proxy as current
//     before it could receive what it missed (rejoinDelay).
//   - Memory is bounded: one encoded snapshot, cachedBytes of records, ServerLimits.MaxPendingReplyBytes of replies that wait to be read,
//     maxSubscribers sessions and maxPeers peers.
//
// TestingKnobs take these protections out one by one, so that tests show what each is for. docs/hardening/distribution.md has the arguments at
// length, and names the tests.
//
// # Sources
//
// Versioned, acknowledged resources by long poll are as in Envoy's xDS; snapshots in place of a log that is too long as in raft; incarnations
// and refutation of suspicions as in SWIM (Das, Gupta, Motivala 2002); synchronisation among servers is anti-entropy (Demers et al. 1987).
//
// # Packages below
//
// catchup decides what is sent and taken of the control state; softstate is the table; loadreport carries loads; rpc bounds calls;
// distributionpb is what is on the wire, with the names of the first version: a Keeper is a control-plane node, Hears are peers in contact,
// Told is what has been acknowledged, PaceMs an interval.
package distribution

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative distributionpb/distribution.proto
