package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	// maxPromptParts bounds the parts of a prompt that are looked at.
	maxPromptParts = 64
	// maxRetryAfter bounds the Retry-After that is believed.
	maxRetryAfter = time.Hour
	// serverLoadFields is the number of counts in X-Server-Load: running, waiting, slots.
	serverLoadFields = 3
)

// parseTokenCount reads X-Token-Count: the tokens of the prompt and the bound of those of the response. What cannot be read is 0.
func parseTokenCount(text string) (in, out int) {
	inText, outText, _ := strings.Cut(text, ",")
	return parseCount(inText), parseCount(outText)
}

// parseCount reads a number below 2^30; anything else is 0.
func parseCount(text string) int {
	count, err := strconv.ParseUint(textproto.TrimString(text), 10, 30)
	if err != nil {
		return 0
	}
	return int(count)
}

// parsePromptParts reads X-Prompt-Prefix: ID:TOKENS separated by commas, the ID in hexadecimal. It ends where it cannot be read.
func parsePromptParts(text string) []pick.PrefixPart {
	if text == "" {
		return nil
	}
	parts := make([]pick.PrefixPart, 0, min(strings.Count(text, ",")+1, maxPromptParts))
	for partText := range strings.SplitSeq(text, ",") {
		idText, tokens, ok := strings.Cut(textproto.TrimString(partText), ":")
		id, err := strconv.ParseUint(idText, 16, 64)
		if !ok || err != nil || len(parts) == maxPromptParts {
			break
		}
		parts = append(parts, pick.PrefixPart{ID: id, Tokens: parseCount(tokens)})
	}
	return parts
}

// parseMilliseconds reads a number of milliseconds below 2^31, and reports whether it is one.
func parseMilliseconds(text string) (duration time.Duration, ok bool) {
	milliseconds, err := strconv.ParseUint(textproto.TrimString(text), 10, 31)
	return time.Duration(milliseconds) * time.Millisecond, err == nil
}

// parseRetryAfter reads a Retry-After in seconds, fractions included, below maxRetryAfter; 0: none.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(textproto.TrimString(text), 64)
	inRange := seconds > 0 && seconds < maxRetryAfter.Seconds() // false for NaN
	if err != nil || !inRange {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// formatRetryAfter writes a Retry-After in seconds with milliseconds, at least one.
func formatRetryAfter(duration time.Duration) string {
	return strconv.FormatFloat(max(duration, time.Millisecond).Seconds(), 'f', 3, 64)
}

// serverHints are what a response says about its server.
type serverHints struct {
	hasLoad                 bool // the next three are known
	running, waiting, slots int  // requests, requests, and the bound of running ones
	warmingUp               bool
	warmUpLeft              time.Duration
	draining                bool
	idleTimeout             time.Duration // for how long the server keeps an idle connection; 0: not announced
}

// parseServerHints reads the hints of a response; closesConn says that the response announces the end of its connection.
func parseServerHints(header http.Header, closesConn bool) serverHints {
	hints := serverHints{draining: closesConn, idleTimeout: parseKeepAlive(header)}
	if text := header.Get(headerServerLoad); text != "" {
		fields := strings.Split(text, ",")
		if len(fields) == serverLoadFields {
			hints.running, hints.waiting, hints.slots = parseCount(fields[0]), parseCount(fields[1]), parseCount(fields[2])
			hints.hasLoad = hints.slots > 0
		}
	}
	if text := header.Get(headerWarmUpLeft); text != "" {
		hints.warmUpLeft, hints.warmingUp = parseMilliseconds(text)
	}
	return hints
}

// recordIn records the hints, which came from the server with this id at now.
func (h serverHints) recordIn(recorder hintRecorder, now pick.Time, serverID string) {
	if h.hasLoad {
		recorder.ServerLoad(now, serverID, h.running, h.waiting, h.slots)
	}
	if h.warmingUp {
		recorder.WarmingUp(now, serverID, h.warmUpLeft)
	}
	recorder.SetIdleTimeout(serverID, h.idleTimeout)
	if h.draining {
		recorder.ServerDraining(now, serverID)
	}
}

// parseKeepAlive reads from Keep-Alive for how long a server keeps idle connections, in whole seconds; 0: not announced.
func parseKeepAlive(header http.Header) time.Duration {
	for _, value := range header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(value, ",") {
			name, argument, _ := strings.Cut(textproto.TrimString(parameter), "=")
			if strings.EqualFold(textproto.TrimString(name), "timeout") {
				return time.Duration(parseCount(argument)) * time.Second
			}
		}
	}
	return 0
}
