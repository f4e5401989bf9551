// Package proxy is the data plane: an HTTP/1.1 forwarding proxy that lets package pick choose a server for each request,
// sends the request there, passes the answer back unchanged, takes up streams that were cut, and never promises that a
// request has not run where it may have.
package proxy
