package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// The headers of PROTOCOL.md, in the form that net/http gives them.
const (
	headerAttemptID      = "X-Attempt-Id"
	headerServerSeal     = "X-Server-Seal"
	headerNotExecuted    = "X-Not-Executed"
	headerTimeLeft       = "X-Time-Left-Ms"
	headerLastEventID    = "Last-Event-Id"
	headerTargetInstance = "X-Target-Instance"
)

// maxPromptParts bounds the parts of a prompt that are looked at.
const maxPromptParts = 64

// isHopByHop tells whether a header concerns a single connection only, whatever Connection names.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return strings.HasPrefix(name, "Proxy-")
}

// connectionHeaders are the headers that Connection names, as net/http spells them; nil: none.
func connectionHeaders(h http.Header) map[string]bool {
	var names map[string]bool
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = textproto.TrimString(name); name != "" && !strings.EqualFold(name, "close") &&
				!strings.EqualFold(name, "keep-alive") {
				if names == nil {
					names = map[string]bool{}
				}
				names[http.CanonicalHeaderKey(name)] = true
			}
		}
	}
	return names
}

// isAlwaysForwarded tells whether a header is passed on even where Connection names it: without it the message is another.
func isAlwaysForwarded(name string) bool {
	switch name {
	case headerAttemptID, headerServerSeal, headerNotExecuted, headerTimeLeft, headerLastEventID, "Content-Length", "Content-Type", "Content-Encoding", "Host":
		return true
	}
	return false
}

// isForwarded tells whether a header is passed on, where Connection names some.
func isForwarded(name string, names map[string]bool) bool {
	return !isHopByHop(name) && (!names[name] || isAlwaysForwarded(name))
}

// parseTokenCount reads X-Token-Count: those of the prompt, and the most out. What cannot be read is 0.
func parseTokenCount(text string) (in, out int) {
	a, b, _ := strings.Cut(text, ",")
	return parseCount(a), parseCount(b)
}

// parseCount reads a parseCount of at most nine digits; anything else is 0.
func parseCount(text string) int {
	text = textproto.TrimString(text)
	n, err := strconv.ParseUint(text, 10, 30)
	if err != nil {
		return 0
	}
	return int(n)
}

// parsePromptParts reads X-Prompt-Prefix: ID:TOKENS separated by commas, the ID in hex. It ends where it cannot be read.
func parsePromptParts(text string) []pick.PrefixPart {
	if text == "" {
		return nil
	}
	parts := make([]pick.PrefixPart, 0, min(strings.Count(text, ",")+1, maxPromptParts))
	for one := range strings.SplitSeq(text, ",") {
		id, tokens, ok := strings.Cut(textproto.TrimString(one), ":")
		n, err := strconv.ParseUint(id, 16, 64)
		if !ok || err != nil || len(parts) == maxPromptParts {
			break
		}
		parts = append(parts, pick.PrefixPart{ID: n, Tokens: parseCount(tokens)})
	}
	return parts
}

// parseMilliseconds reads a count of milliseconds; ok tells whether it is one.
func parseMilliseconds(text string) (d time.Duration, ok bool) {
	n, err := strconv.ParseUint(textproto.TrimString(text), 10, 31)
	return time.Duration(n) * time.Millisecond, err == nil
}

// parseRetryAfter reads Retry-After in seconds, fractions included; 0: none.
func parseRetryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(textproto.TrimString(text), 64)
	if err != nil || !(s > 0 && s < 3600) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// formatRetryAfter writes a Retry-After.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(max(d, time.Millisecond).Seconds(), 'f', 3, 64)
}

// serverHints are what a server's answer says about the server.
type serverHints struct {
	hasLoad                 bool
	running, waiting, slots int
	warmingUp               bool
	warmUpLeft              time.Duration
	draining                bool
	idleTimeout             time.Duration // for how long the server keeps the connection without use; 0: it does not tell
}

func parseServerHints(h http.Header, closes bool) serverHints {
	out := serverHints{draining: closes, idleTimeout: parseKeepAlive(h)}
	if text := h.Get("X-Server-Load"); text != "" {
		f := strings.Split(text, ",")
		if len(f) == 3 {
			out.running, out.waiting, out.slots = parseCount(f[0]), parseCount(f[1]), parseCount(f[2])
			out.hasLoad = out.slots > 0
		}
	}
	if text := h.Get("X-Cold-Ms"); text != "" {
		out.warmUpLeft, out.warmingUp = parseMilliseconds(text)
	}
	return out
}

// parseKeepAlive reads for how long a server keeps idle connections; 0: it does not tell.
func parseKeepAlive(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for one := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(textproto.TrimString(one), "=")
			if strings.EqualFold(textproto.TrimString(name), "timeout") {
				return time.Duration(parseCount(value)) * time.Second
			}
		}
	}
	return 0
}
