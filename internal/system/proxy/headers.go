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
	attemptID   = "X-Attempt-Id"
	serverSeal  = "X-Server-Seal"
	notExecuted = "X-Not-Executed"
	timeLeft    = "X-Time-Left-Ms"
	lastEventID = "Last-Event-Id"
	instance    = "X-Target-Instance"
)

// mostParts bounds the parts of a prompt that are looked at.
const mostParts = 64

// hopByHop tells whether a header concerns a single connection only, whatever Connection names.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return strings.HasPrefix(name, "Proxy-")
}

// named are the headers that Connection names, as net/http spells them; nil: none.
func named(h http.Header) map[string]bool {
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

// protected tells whether a header is passed on even where Connection names it: without it the message is another.
func protected(name string) bool {
	switch name {
	case attemptID, serverSeal, notExecuted, timeLeft, lastEventID, "Content-Length", "Content-Type", "Content-Encoding", "Host":
		return true
	}
	return false
}

// passes tells whether a header is passed on, where Connection names some.
func passes(name string, names map[string]bool) bool {
	return !hopByHop(name) && (!names[name] || protected(name))
}

// tokenCount reads X-Token-Count: those of the prompt, and the most out. What cannot be read is 0.
func tokenCount(text string) (in, out int) {
	a, b, _ := strings.Cut(text, ",")
	return count(a), count(b)
}

// count reads a count of at most nine digits; anything else is 0.
func count(text string) int {
	text = textproto.TrimString(text)
	n, err := strconv.ParseUint(text, 10, 30)
	if err != nil {
		return 0
	}
	return int(n)
}

// promptParts reads X-Prompt-Prefix: ID:TOKENS separated by commas, the ID in hex. It ends where it cannot be read.
func promptParts(text string) []pick.PrefixPart {
	if text == "" {
		return nil
	}
	parts := make([]pick.PrefixPart, 0, min(strings.Count(text, ",")+1, mostParts))
	for one := range strings.SplitSeq(text, ",") {
		id, tokens, ok := strings.Cut(textproto.TrimString(one), ":")
		n, err := strconv.ParseUint(id, 16, 64)
		if !ok || err != nil || len(parts) == mostParts {
			break
		}
		parts = append(parts, pick.PrefixPart{ID: n, Tokens: count(tokens)})
	}
	return parts
}

// millis reads a count of milliseconds; ok tells whether it is one.
func millis(text string) (d time.Duration, ok bool) {
	n, err := strconv.ParseUint(textproto.TrimString(text), 10, 31)
	return time.Duration(n) * time.Millisecond, err == nil
}

// retryAfter reads Retry-After in seconds, fractions included; 0: none.
func retryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(textproto.TrimString(text), 64)
	if err != nil || !(s > 0 && s < 3600) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// seconds writes a Retry-After.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(max(d, time.Millisecond).Seconds(), 'f', 3, 64)
}

// hints are what a server's answer says about the server.
type hints struct {
	loaded                  bool
	running, waiting, slots int
	cold                    bool
	coldFor                 time.Duration
	leaving                 bool
	keeps                   time.Duration // for how long the server keeps the connection without use; 0: it does not tell
}

func hintsOf(h http.Header, closes bool) hints {
	out := hints{leaving: closes, keeps: keepAlive(h)}
	if text := h.Get("X-Server-Load"); text != "" {
		f := strings.Split(text, ",")
		if len(f) == 3 {
			out.running, out.waiting, out.slots = count(f[0]), count(f[1]), count(f[2])
			out.loaded = out.slots > 0
		}
	}
	if text := h.Get("X-Cold-Ms"); text != "" {
		out.coldFor, out.cold = millis(text)
	}
	return out
}

// keepAlive reads for how long a server keeps idle connections; 0: it does not tell.
func keepAlive(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for one := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(textproto.TrimString(one), "=")
			if strings.EqualFold(textproto.TrimString(name), "timeout") {
				return time.Duration(count(value)) * time.Second
			}
		}
	}
	return 0
}
