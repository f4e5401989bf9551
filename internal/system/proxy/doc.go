// Package proxy is the data plane: an HTTP/1.1 proxy that chooses a server for each request by package pick, sends the request
// there and passes the response back unchanged.
//
// # Problem
//
// Connections break; servers stop responding, respond late or twice, or violate the protocol; and HTTP libraries resend requests on
// their own. A request may then run twice, or a client may get the response to another request, or a truncated response that looks
// complete. docs/hardening/proxy.md lists the faults, the arguments and the tests.
//
// # Terms
//
//   - An attempt is one send of a request to a server, with its response. A retry is an attempt after the first one.
//   - An attempt may have run unless not a byte of it was written, or the server stated in a complete head that it did not execute it
//     (X-Not-Executed, or status 421).
//   - A route is idempotent if its requests may run more than once. The configuration determines this, not the method.
//   - A not-executed status tells the client that its request was not executed: 408, 421, 429 and 503.
//   - A response is truncated if its end was not received. It is framed if its end can be recognized.
//   - A tenant is a customer with API keys, one of which its clients send in X-Credential. A key is verified against a configuration
//     that is known to be the newest, or was known to be so a bounded time ago.
//   - An event stream is a response of type text/event-stream. It is resumed if another server continues it after the last event
//     that was sent to the client.
//
// # Invariants
//
//   - Each send is one attempt, and no lower layer resends it: clientRequest.tryServer and startHedge are the
//     only callers of upstreamAttempt.send, and the package does not use the client side of net/http (TestNoHTTPTransport).
//   - A non-idempotent request executes at most once: clientRequest.mayRetry allows no attempt after one that may have run;
//     upstreamAttempt.send asks the connection what was written. The invariant proxy_runs_once checks it.
//   - A client gets the response to its own request: clientRequest.validateResponse compares the echoed X-Attempt-Id,
//     upstreamPools.takeIdle inspects idle connections, and upstreamAttempt.finish returns a connection to its pool only after a
//     complete response that nothing followed.
//   - A response that looks complete is complete: package framing ends connections with ambiguous framing, validateResponse rejects
//     unframed responses, and clientRequest.abortConn closes the client's connection in the middle of a truncated response.
//   - A not-executed status is sent to a client only if no attempt may have run: clientRequest.answerUnserved and handleResponse.
//   - Only complete events are sent, with increasing ids, and a stream is resumed after the last event that was sent: eventReader and
//     clientRequest.relayEvents.
//   - Graceful shutdown loses no request that has been read within the grace period: Proxy.Drain, acceptor.endRound and
//     connTracker.closeIdle.
//   - No server receives a client's API key, and X-Tenant is the name of the tenant that holds the key, whatever the client sent: only
//     appendHead writes that header, and appendForwarded leaves out both (isIdentityHeader).
//   - Where tenants are configured, only requests with a known key are accepted, and the key is verified again before each attempt. A
//     request that a newer configuration may allow is refused with 503, not 401: clientRequest.verifyKey.
//   - A request of a tenant with a limit is counted once, after its body has been read and before the first choice of a server:
//     clientRequest.admitOrReject.
//   - Memory and connections are bounded: memoryBudget, clientListener.maxConns and upstreamPools.maxIdleConns.
//
// # Sources
//
// Semantics, framing and connections follow RFC 9110 and RFC 9112; event streams follow the HTML Living Standard, section
// "Server-sent events". PROTOCOL.md specifies the proxy's own headers.
package proxy
