package proxy

import (
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// appendHead appends the request as the server gets it, and tells what of the body follows in a write of its own.
func (c *clientRequest) appendHead(b []byte, choice pick.Choice) (head, rest []byte) {
	b = append(b, c.request.Method...)
	b = append(b, ' ')
	b = append(b, c.target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, c.request.Host...)
	b = append(b, "\r\n"...)
	names := connectionHeaders(c.request.Header)
	for name, values := range c.request.Header {
		switch name {
		case "Content-Length", "Expect", headerTimeLeft, headerTargetInstance, "Priority", "Host":
			continue
		case headerLastEventID:
			if c.headSent {
				continue
			}
		}
		if isForwarded(name, names) {
			for _, v := range values {
				b = appendField(b, name, v)
			}
		}
	}
	left := max(time.Until(c.deadline).Milliseconds(), 1)
	b = appendField(b, headerTimeLeft, strconv.FormatInt(left, 10))
	b = appendField(b, headerTargetInstance, choice.Server.ID)
	b = appendField(b, "Priority", strconv.Itoa(choice.Priority))
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

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
