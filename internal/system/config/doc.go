// Package config is the operator's configuration: its types, its decoding and validation, the merge of an amendment, and the
// look-up of a request's route and tenant.
//
// # Problem
//
// The operator replaces the configuration as a whole or amends it by lists of items to upsert and to remove, and reads it back. It
// is read back byte for byte as it was sent, unknown fields included. Every control-plane node and proxy must come to the same
// configuration from the same bytes; a body may have some megabytes, thousands of routes and any content; and a refusal must name
// what is wrong and what helps, since it is the answer to the operator.
//
// # Terms
//
//   - route: a rule for requests of one host and path prefix, with its latency targets and the services that serve it.
//   - share: the weight of a service among those of a route.
//   - service: a group of servers that one health check and one set of bounds cover.
//   - tenant: a customer, whose requests carry one of its API keys; with its rate limit, priority and home regions.
//   - API key: the credential of a tenant. Outside Raw it is kept only as its SHA-256 digest, and no error names it.
//   - revision: the operator's number of a configuration; it rises with each one, in steps of any size.
//   - amendment: items to upsert and names to remove, by top-level list, under a new revision.
//
// # Invariants
//
//  1. Parse and Amend are pure: no I/O, no clock, no map order in the result. Equal inputs give equal configurations and errors.
//  2. Parse(c.Raw) equals c for every Config c that Parse returned, or Amend on top of such a one. The same holds of ParseAccepted and
//     AmendAccepted, which also read what an earlier version accepted and this one would refuse.
//  3. A Config is immutable. Amend shares the routes, services and tenants that an amendment does not name with its base.
//  4. Names of routes, services and tenants are unique, as are the pairs of host and prefix; every share names a service that is
//     there; a key is held by one tenant at most, or (ParseAccepted, AmendAccepted) found at none.
//  5. Memory and stack are bounded: nesting by maxDepth, decoding by the JSON of one item at a time.
package config
