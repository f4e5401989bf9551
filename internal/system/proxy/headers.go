package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// The headers of PROTOCOL.md, in the canonical form of net/http.
const (
	headerAttemptID      = "X-Attempt-Id"      // identifies an attempt of a client; servers echo it
	headerServerSeal     = "X-Server-Seal"     // set by a server to vouch for a success
	headerNotExecuted    = "X-Not-Executed"    // the server did not execute the request
	headerTimeLeft       = "X-Time-Left-Ms"    // how long the sender waits, in milliseconds
	headerLastEventID    = "Last-Event-Id"     // of the stream that is resumed
	headerTargetInstance = "X-Target-Instance" // the server that a request is intended for
	headerPriority       = "Priority"          // of the tenant or the route
	headerCredential     = "X-Credential"      // a tenant's API key, sent only by clients
	headerTenant         = "X-Tenant"          // the name of the key's tenant, sent only to servers
	headerModel          = "X-Model"
	headerTokenCount     = "X-Token-Count"
	headerPromptPrefix   = "X-Prompt-Prefix"
	headerServerLoad     = "X-Server-Load"
	headerWarmUpLeft     = "X-Cold-Ms"
)

// isHopByHop reports whether a header always applies to a single connection only (RFC 9110, section 7.6.1), even if Connection does
// not list it.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return strings.HasPrefix(name, "Proxy-")
}

// connectionHeaders returns the headers that Connection lists, in canonical form; nil if there are none.
func connectionHeaders(header http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			option = textproto.TrimString(option)
			if !namesHeader(option) {
				continue
			}
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(option)] = true
		}
	}
	return named
}

// namesHeader reports whether a connection option is the name of a header.
func namesHeader(option string) bool {
	return option != "" && !strings.EqualFold(option, "close") && !strings.EqualFold(option, "keep-alive")
}

// isAlwaysForwarded reports whether a header is forwarded even if Connection lists it, because the message would mean something else
// without it.
func isAlwaysForwarded(name string) bool {
	switch name {
	case headerAttemptID, headerServerSeal, headerNotExecuted, headerTimeLeft, headerLastEventID,
		"Content-Length", "Content-Type", "Content-Encoding", "Host":
		return true
	}
	return false
}

// isForwarded reports whether a header is forwarded; named are the headers that Connection lists.
func isForwarded(name string, named map[string]bool) bool {
	return !isHopByHop(name) && (!named[name] || isAlwaysForwarded(name))
}
