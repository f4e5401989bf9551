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
	// maxPromptParts bounds how many parts of a prompt are read.
	maxPromptParts = 64
	// maxRetryAfter is the bound at or above which a Retry-After is ignored.
	maxRetryAfter = time.Hour
	// serverLoadFields is the number of counts in X-Server-Load: running, waiting, slots.
	serverLoadFields = 3
)

// parseTokenCount parses X-Token-Count: the number of tokens of the prompt and the bound on the tokens of the response. A value that
// cannot be parsed is 0.
func parseTokenCount(text string) (in, out int) {
	inText, outText, _ := strings.Cut(text, ",")
	return parseCount(inText), parseCount(outText)
}

// parseCount parses a number below 2^30; it returns 0 for anything else.
func parseCount(text string) int {
	count, err := strconv.ParseUint(textproto.TrimString(text), 10, 30)
	if err != nil {
		return 0
	}
	return int(count)
}

// parsePromptParts parses X-Prompt-Prefix: ID:TOKENS pairs separated by commas, with the ID in hexadecimal. It stops at the first pair
// that it cannot parse.
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

// parseMilliseconds parses a number of milliseconds below 2^31; ok reports whether the text is such a number.
func parseMilliseconds(text string) (duration time.Duration, ok bool) {
	milliseconds, err := strconv.ParseUint(textproto.TrimString(text), 10, 31)
	return time.Duration(milliseconds) * time.Millisecond, err == nil
}

// parseRetryAfter parses a Retry-After in seconds, possibly with a fraction, below maxRetryAfter. It returns 0 for anything else.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(textproto.TrimString(text), 64)
	inRange := seconds > 0 && seconds < maxRetryAfter.Seconds() // false for NaN
	if err != nil || !inRange {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// formatRetryAfter formats a Retry-After of at least one millisecond in seconds, with three decimals.
func formatRetryAfter(duration time.Duration) string {
	return strconv.FormatFloat(max(duration, time.Millisecond).Seconds(), 'f', 3, 64)
}

// serverHints is the information about a server that one of its responses contains.
type serverHints struct {
	hasLoad                 bool // the next three are known
	running, waiting, slots int  // running requests, waiting requests, and the maximum number of running ones
	warmingUp               bool
	warmUpLeft              time.Duration
	draining                bool
	idleTimeout             time.Duration // for how long the server keeps an idle connection; 0: not announced
}

// parseServerHints parses the hints of a response; closesConn is true if the response announces that its connection will be closed.
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

// recordIn records the hints, which were received from the given server at now.
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

// parseKeepAlive returns how long a server keeps idle connections according to its Keep-Alive header, in whole seconds; 0 if it does
// not announce a timeout.
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
