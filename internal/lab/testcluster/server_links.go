package testcluster

import (
	"bufio"
	"bytes"
	"net"
	"net/http"

	"gradeusher.example/gradeusher/internal/lab/link"
)

// Proxies reach a server at one address, as it is that of the platform's list, and all from 127.0.0.1. Which of them a connection is
// of is told by its first request: by its id, which a client has sent to one proxy.

// recordSender records that a client sends a request to a proxy.
func (n *Links) recordSender(id, proxy string) {
	if n != nil {
		n.senders.Store(id, proxy)
	}
}

// createServerLinks gives every proxy links of its own to all servers, so that faults can be injected into them from the start.
func (n *Links) createServerLinks(machines []Machine, servers []ServerSpec) {
	for _, s := range servers {
		for _, m := range machines {
			n.linkFor(Path{From: ProxyName(m), To: s.Address}, false)
		}
	}
}

// serverLink gives the link of a connection to a server by its first bytes. One that is of no proxy's goes over that of the server.
func (n *Links) serverLink(server string, first []byte) *link.Link {
	return n.linkFor(Path{From: n.sender(first), To: server}, false)
}

// sender names the proxy that sends a request; empty: it is not known.
func (n *Links) sender(first []byte) string {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(first)))
	if err != nil {
		return ""
	}
	at, ok := n.senders.Load(r.Header.Get("X-Attempt-Id"))
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
