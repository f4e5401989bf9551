// Package rpc bounds the calls between the system's own processes.
//
// The problem: a call crosses links that lose everything for a while, to processes that may stall at any point, and a caller must not
// take a reply for that of another call, wait for ever, or hold the other end's memory. Replies are from some bytes to a full
// configuration, so the caller does not know how long a reply may take.
//
// The terms and what holds:
//
//   - A call id names a call; the reply repeats it. HTTP/1.1 tells replies by their place on a connection, so a surplus reply would
//     shift all that follow; CheckReply finds that, and the caller closes the connection. There are fewer calls in flight than ids.
//   - An idle timeout ends a call in which nothing arrives for some time; a reply that arrives steadily has up to 20 s. Idle time,
//     and not length, is what tells a lost peer from a slow link.
//   - BoundedHandler bounds the bytes and the time of a request, and the time until its reply has been read, so that a caller that does
//     not read delays itself alone.
//   - Compress is applied to what is large, once for all receivers; Expand bounds what it may come to.
//
// Calls are idempotent, and net/http sends a POST again only if no byte of it had been written (Transport.shouldRetryRequest).
package rpc
