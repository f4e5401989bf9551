// Package loadreport carries the outstanding load of each server from the proxies to the control plane, and the totals back.
//
// The problem: several hundred proxies send requests to several thousand servers, and each must know the outstanding load of the others a
// few times per second, at a cost of a few bytes per server. Messages are lost, duplicated and late, and both ends restart.
//
// The terms: a Vector is what one process publishes: loads by server, with an index for each server id. Each publication that changes
// something has a number, and each vector a random boot id; the two form a Cursor. Received is a reader's copy of a vector.
//
// The invariants:
//
//   - A Received equals the vector at its cursor. Proof: values are absolute and an index keeps its server for as long as the boot id
//     lasts, so applying changes from any number up to the reader's own sets each entry that changed since to its newest value;
//     changes that begin above the reader's number are rejected, and the next call states the reader's cursor.
//   - A total without a reader's own part is exact as far as it is published: values are rounded up to units before they are added up,
//     so differences are whole units.
//   - Memory is bounded: softstate.MaxServers entries with ids of up to softstate.MaxIDBytes, whatever the other end sends.
//
// A load is valid for TTL after the message that brought it; then a lost publisher no longer contributes to the totals. The scheme is
// that of deltas with acknowledged versions, as in xDS (incremental) and in delta-state CRDTs (Almeida, Shoker, Baquero 2018).
package loadreport
