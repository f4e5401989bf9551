package testcluster

import (
	"bufio"
	"bytes"
	"net"
	"net/http"

	"gradeusher.example/gradeusher/internal/lab/link"
)

// All proxies reach a server at the one address that the platform lists, and all connect from 127.0.0.1. The relay in front of the server
// recognises the proxy of a connection by the first request on it: its attempt id is one that a client has sent to that proxy.

// recordSender records that a client sends the attempt id to the proxy at an address. It does nothing where there are no links.
func (l *Links) recordSender(id, proxy string) {
	if l != nil {
		l.senders.Store(id, proxy)
	}
}

// createServerLinks creates a link from each proxy to each server, so that faults can be injected into them from the start.
func (l *Links) createServerLinks(machines []Machine, servers []ServerSpec) {
	for _, s := range servers {
		for _, m := range machines {
			l.linkFor(Path{From: ProxyName(m), To: s.Address}, false)
		}
	}
}

// serverLink returns the link of a connection to a server by the connection's first bytes. Connections that are not known to be of a proxy
// share one link.
func (l *Links) serverLink(server string, first []byte) *link.Link {
	return l.linkFor(Path{From: l.sender(first), To: server}, false)
}

// sender returns the name of the proxy that sends the request which begins with first, or "" if that is not known.
func (l *Links) sender(first []byte) string {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(first)))
	if err != nil {
		return ""
	}
	at, ok := l.senders.Load(r.Header.Get("X-Attempt-Id"))
	if !ok {
		return ""
	}
	front, _ := at.(string)
	ip, _, err := net.SplitHostPort(front)
	if err != nil {
		return ""
	}
	return ProxyName(Machine{IP: ip})
}
