// Package rpc bounds the calls between the system's own processes.
//
// The problem: a call crosses links that may lose everything for a while, to processes that may stall at any point. A caller must not
// mistake a reply for that of another call, wait forever, or hold the other end's memory. Replies range from a few bytes to a complete
// configuration, so the caller does not know how long a reply may take.
//
// The terms and invariants:
//
//   - A call id identifies a call; the reply repeats it. HTTP/1.1 matches replies by their order on a connection, so a surplus reply
//     would shift all that follow; CheckReply detects that, and the caller closes the connection. There are fewer calls in flight
//     than ids.
//   - An idle timeout ends a call in which nothing arrives for some time; a reply that arrives steadily has up to 20 s. Idle time,
//     not total duration, distinguishes a lost peer from a slow link.
//   - BoundedHandler bounds the bytes and the time of a request, and the time until its reply has been read, so a caller that does not
//     read delays only itself.
//   - Compress is applied to large bodies, once for all receivers; Expand bounds the expanded size.
//
// Calls are idempotent, and net/http retries a POST only if no byte of it had been written (Transport.shouldRetryRequest).
package rpc
