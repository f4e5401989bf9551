package proxy

import (
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	// typicalHeadBytes is a buffer size that is large enough for most heads.
	typicalHeadBytes = 2 << 10
	// maxJoinedBodyBytes is the maximum size of a body that is sent in the same write as its head.
	maxJoinedBodyBytes = 8 << 10
)

// appendHead appends the head of the request as it is sent to a server. A short body is appended to the head; a longer one is returned
// as rest, for a separate write.
func (c *clientRequest) appendHead(b []byte, choice pick.Result) (head, rest []byte) {
	b = append(b, c.request.Method...)
	b = append(b, ' ')
	b = append(b, c.target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, c.request.Host...)
	b = append(b, "\r\n"...)
	b = c.appendForwarded(b)
	timeLeftMS := max(time.Until(c.deadline).Milliseconds(), 1)
	b = appendField(b, headerTimeLeft, strconv.FormatInt(timeLeftMS, 10))
	b = appendField(b, headerTargetInstance, choice.Server.ID)
	b = appendField(b, headerPriority, strconv.Itoa(choice.Priority))
	if c.identity.tenant != nil {
		b = appendField(b, headerTenant, c.identity.tenant.Name)
	}
	if c.headSent && c.lastEventID != "" {
		b = appendField(b, headerLastEventID, c.lastEventID)
	}
	if len(c.body) > 0 || c.request.ContentLength != 0 || c.request.Header["Content-Length"] != nil {
		b = appendField(b, "Content-Length", strconv.Itoa(len(c.body)))
	}
	b = append(b, "\r\n"...)
	if len(c.body) <= maxJoinedBodyBytes {
		return append(b, c.body...), nil
	}
	return b, c.body
}

// appendForwarded appends the client's header fields, except the hop-by-hop ones and those that the proxy replaces or leaves out.
func (c *clientRequest) appendForwarded(b []byte) []byte {
	named := connectionHeaders(c.request.Header)
	for name, values := range c.request.Header {
		if c.replacesHeader(name) || !isForwarded(name, named) {
			continue
		}
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	return b
}

// replacesHeader reports whether the proxy sets a header itself or leaves it out. A client's key and the tenant that it claims to be
// are left out whatever the configuration: clients may already rely on a newer one that has tenants.
func (c *clientRequest) replacesHeader(name string) bool {
	switch name {
	case "Content-Length", "Expect", headerTimeLeft, headerTargetInstance, headerPriority, "Host":
		return true
	case headerLastEventID:
		return c.headSent
	}
	return isIdentityHeader(name) && !c.proxy.options.knobs.ForwardIdentity
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
