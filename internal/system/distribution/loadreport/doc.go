// Package loadreport carries the outstanding load of each server from the proxies to the control plane, and the sums back.
//
// The problem: some hundred proxies send requests to some thousand servers, and each must know what the others have outstanding, a few
// times a second, in some bytes a server. Messages are lost, repeated and late, and both ends restart.
//
// The terms: a Vector is what one process publishes, loads by server with an index for each server id. Each publication that changes
// something has a number, and each vector a boot id, which is drawn at random; the two are a Cursor. Received is what a reader has of
// a vector.
//
// The invariants:
//
//   - A Received equals the vector at its cursor. Proof: values are absolute and an index keeps its server for as long as the boot id
//     lasts, so applying changes from any number up to the reader's own sets each entry that changed since to its newest value;
//     changes that begin above the reader's number are refused, and the next call names the cursor that is held.
//   - A sum that lacks a reader's own part is exact as far as it is published: values are rounded up to units before they are summed,
//     so that differences are whole.
//   - Memory is bounded: softstate.MaxServers entries with ids of up to softstate.MaxIDBytes, whatever the other end sends.
//
// A load counts for TTL after the message that brought it; a publisher that is lost is then out of the sums. The scheme is that of
// deltas with acknowledged versions, as in xDS (incremental) and in delta-state CRDTs (Almeida, Shoker, Baquero 2018).
package loadreport
