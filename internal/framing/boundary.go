package framing

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
)

const maxRetainedLineBytes = 1 << 10 // bytes of a line's buffer that a connection keeps

// ErrAmbiguous is what a read from a guarded connection ends with where a message is not plain, or was not asked for. The
// remedy is to close the connection.
var ErrAmbiguous = errors.New("ambiguous framing: close the connection")

// boundaryTracker follows where one message ends and the next begins.
type boundaryTracker struct {
	isResponse   bool // messages are answers, and may come in chunks
	maxHeadBytes int  // bytes of a head

	currentLine   []byte      // that is coming; bounded by most
	headBytes     int         // bytes of the head
	contentLength int64       // Content-Length; -1: none yet
	chunked       bool        // Transfer-Encoding: chunked
	beforeHTTP11  bool        // not HTTP/1.1
	bodyRemaining int64       // bytes of a body still to come
	chunkState    chunkState  // of a body in chunks that comes next
	untilClose    bool        // what follows is not looked at: the connection ends behind this message
	responseDue   atomic.Bool // an answer is due; another goroutine than the reader's sets this and the next
	headRequest   atomic.Bool // it has no body whatever its head says: the request was a HEAD
	status        string      // of the answer that is coming
}

// chunkState is a chunkState of a body in chunks.
type chunkState int

const (
	notChunked     chunkState = iota // not in such a body
	chunkSize                        // of a chunk
	chunkEnd                         // of a chunk: an empty line
	trailerSection                   // lines up to an empty one
)

// consume follows the framing through p, and tells how many bytes of it lie before a line that is not plain.
func (c *boundaryTracker) consume(p []byte) int {
	for at := 0; at < len(p) && !c.untilClose; {
		if c.bodyRemaining > 0 {
			skip := min(c.bodyRemaining, int64(len(p)-at))
			at += int(skip)
			if c.bodyRemaining -= skip; c.bodyRemaining == 0 && c.chunkState == notChunked {
				c.responseDue.Store(false)
			}
			continue
		}
		if c.isResponse && !c.responseDue.Load() {
			return at // nobody asked for it
		}
		end := bytes.IndexByte(p[at:], '\n')
		if end < 0 {
			end = len(p) - at
		} else {
			end++
		}
		c.currentLine = append(c.currentLine, p[at:at+end]...)
		if c.headBytes += end; c.headBytes > c.maxHeadBytes {
			return at
		}
		if c.currentLine[len(c.currentLine)-1] == '\n' {
			if !c.consumeLine() {
				return at
			}
			if c.currentLine = c.currentLine[:0]; cap(c.currentLine) > maxRetainedLineBytes {
				c.currentLine = nil
			}
		}
		at += end
	}
	return len(p)
}

// consumeLine takes in a line of the head, and tells whether it is plain.
func (c *boundaryTracker) consumeLine() bool {
	line, ok := strings.CutSuffix(string(c.currentLine), "\r\n")
	first := c.headBytes == len(c.currentLine) && c.chunkState == notChunked
	switch {
	case !ok || strings.Contains(line, "\r") || first && line == "":
		return false
	case c.chunkState != notChunked:
		return c.consumeChunkLine(line)
	case first && c.isResponse:
		proto, rest, _ := strings.Cut(line, " ")
		c.beforeHTTP11 = proto != "HTTP/1.1"
		c.status, _, _ = strings.Cut(rest, " ")
		return isStatus(c.status)
	case first:
		c.beforeHTTP11 = !strings.HasSuffix(line, " HTTP/1.1")
		return true
	case line == "":
		return c.endHead()
	case line[0] == ' ' || line[0] == '\t':
		return false
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(value, 10, 63)
		ok = err == nil && c.contentLength < 0
		c.contentLength = int64(n)
	case strings.EqualFold(name, "Transfer-Encoding"):
		ok = !c.chunked && strings.EqualFold(value, "chunked")
		c.chunked = true
	}
	return ok
}

// isStatus tells whether a text is three digits, and 100 or more. Danger: net/http's reader skips spaces before the status
// and takes one below 100, or with a sign, for an interim answer's: it would look for the next head in what is a body here.
func isStatus(text string) bool {
	return len(text) == 3 && text[0] >= '1' && text[0] <= '9' && isDigit(text[1]) && isDigit(text[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// endHead turns to the body, and tells whether its end is plain.
func (c *boundaryTracker) endHead() bool {
	if c.chunked && (c.beforeHTTP11 || c.contentLength >= 0) {
		return false
	}
	chunks, length, interim := c.chunked, c.contentLength, strings.HasPrefix(c.status, "1")
	c.headBytes, c.contentLength, c.chunked, c.beforeHTTP11 = 0, -1, false, false
	switch {
	case !c.isResponse && !chunks:
		c.bodyRemaining = max(length, 0)
	case c.status == "101":
		c.untilClose = true
	case interim: // another head follows
	case c.status == "204" || c.status == "304" || c.isResponse && c.headRequest.Load():
		c.responseDue.Store(false)
	case chunks:
		c.chunkState = chunkSize
	case length < 0:
		c.untilClose = true // its end is the connection's
	default:
		c.bodyRemaining = length
		c.responseDue.Store(length > 0)
	}
	return true
}

// consumeChunkLine takes in a line of a body in chunks, and tells whether it is plain.
func (c *boundaryTracker) consumeChunkLine(line string) bool {
	c.headBytes = 0
	switch c.chunkState {
	case chunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.Trim(size, " \t"), 16, 31)
		if err != nil {
			return false
		}
		if c.bodyRemaining, c.chunkState = int64(n), chunkEnd; n == 0 {
			c.chunkState = trailerSection
		}
	case chunkEnd:
		c.chunkState = chunkSize
		return line == ""
	case trailerSection:
		if line == "" {
			c.chunkState = notChunked
			c.responseDue.Store(false)
		}
	}
	return true
}
