// Package framing guards the message framing of HTTP/1.1 connections (RFC 9112, sections 6 and 7).
//
// Problem: two parsers that see the end of a message at different bytes disagree about which bytes are the next message. A
// peer uses that to have a request run that no client sent (request smuggling), or to have a response taken for another
// request's (response splitting). A proxy that cannot tell how much of a request was written may also send it twice.
//
// Terms: a message is plain if every parser finds the same end of it: one Content-Length or the transfer coding "chunked",
// never both; no folded lines; lines that end in CR LF. A response is due from the moment that a request is written until the
// response has come completely. A surplus byte is one that comes from a server while no response is due.
//
// Invariants, each kept where it is named:
//
//   - No reader gets the last byte of a head that is not plain, nor a surplus byte (boundaryTracker.consume, through
//     ClientConn.Read and ServerConn.Read). FuzzRequests and FuzzAnswerEnds compare the boundaries with those of net/http.
//   - The number of bytes that the system accepted for a server is known exactly (ServerConn.Written).
//
// Parsers and writers of HTTP, such as net/http, go on top of ClientConn and ServerConn.
package framing
