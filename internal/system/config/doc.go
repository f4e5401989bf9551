// Package config defines the operator's configuration: its types, its decoding and validation, the merging of amendments, and the
// look-up of a request's route and tenant.
//
// # Problem
//
// The operator replaces the entire configuration or amends it with lists of items to upsert and to remove, and reads it back. It is
// read back byte for byte as it was sent, including unknown fields. Every control-plane node and proxy must derive the same
// configuration from the same bytes; a body may have several megabytes, thousands of routes and arbitrary content; and an error must
// name the fault and the remedy, since it is the response to the operator.
//
// # Terms
//
//   - route: a rule for requests of one host and path prefix, with its latency targets and the services that serve it.
//   - share: the weight of a service among those of a route.
//   - service: a group of servers with a common health check and common limits.
//   - tenant: a customer, whose requests carry one of its API keys; it has a rate limit, a priority and home regions.
//   - API key: the credential of a tenant. Except in Raw, only its SHA-256 digest is kept, and no error contains it.
//   - revision: the number that the operator gives a configuration; it increases with each one, in steps of any size.
//   - amendment: items to upsert and names to remove, by top-level list, under a new revision.
//
// # Invariants
//
//  1. Parse and Amend are pure: no I/O, no clock, no map order in the result. Equal inputs give equal configurations and errors.
//  2. Parse(c.Raw) equals c for every Config c returned by Parse, or by Amend based on such a Config. The same applies to ParseAccepted
//     and AmendAccepted, which also read configurations that an earlier version accepted and this one would reject.
//  3. A Config is immutable. Amend shares with base the routes, services and tenants that the amendment does not name.
//  4. Names of routes, services and tenants are unique, as are the pairs of host and prefix; every share names an existing service; a
//     key belongs to at most one tenant, and (ParseAccepted, AmendAccepted) a key that several tenants list is found at none.
//  5. Memory and stack are bounded: nesting by maxDepth, decoding by the JSON of one item at a time.
package config
