package framing

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
)

const mostKept = 1 << 10 // bytes of a line's buffer that a connection keeps

// ErrAmbiguous is what a read from a guarded connection ends with where a message is not plain, or was not asked for. The
// remedy is to close the connection.
var ErrAmbiguous = errors.New("ambiguous framing: close the connection")

// framing follows where one message ends and the next begins.
type framing struct {
	answers bool // messages are answers, and may come in chunks
	most    int  // bytes of a head

	line   []byte      // that is coming; bounded by most
	seen   int         // bytes of the head
	length int64       // Content-Length; -1: none yet
	chunks bool        // Transfer-Encoding: chunked
	old    bool        // not HTTP/1.1
	body   int64       // bytes of a body still to come
	part   part        // of a body in chunks that comes next
	last   bool        // what follows is not looked at: the connection ends behind this message
	asked  atomic.Bool // an answer is due; another goroutine than the reader's sets this and the next
	bare   atomic.Bool // it has no body whatever its head says: the request was a HEAD
	status string      // of the answer that is coming
}

// part is a part of a body in chunks.
type part int

const (
	noPart  part = iota // not in such a body
	sizeOf              // of a chunk
	endOf               // of a chunk: an empty line
	trailer             // lines up to an empty one
)

// check follows the framing through p, and tells how many bytes of it lie before a line that is not plain.
func (c *framing) check(p []byte) int {
	for at := 0; at < len(p) && !c.last; {
		if c.body > 0 {
			skip := min(c.body, int64(len(p)-at))
			at += int(skip)
			if c.body -= skip; c.body == 0 && c.part == noPart {
				c.asked.Store(false)
			}
			continue
		}
		if c.answers && !c.asked.Load() {
			return at // nobody asked for it
		}
		end := bytes.IndexByte(p[at:], '\n')
		if end < 0 {
			end = len(p) - at
		} else {
			end++
		}
		c.line = append(c.line, p[at:at+end]...)
		if c.seen += end; c.seen > c.most {
			return at
		}
		if c.line[len(c.line)-1] == '\n' {
			if !c.endLine() {
				return at
			}
			if c.line = c.line[:0]; cap(c.line) > mostKept {
				c.line = nil
			}
		}
		at += end
	}
	return len(p)
}

// endLine takes in a line of the head, and tells whether it is plain.
func (c *framing) endLine() bool {
	line, ok := strings.CutSuffix(string(c.line), "\r\n")
	first := c.seen == len(c.line) && c.part == noPart
	switch {
	case !ok || strings.Contains(line, "\r") || first && line == "":
		return false
	case c.part != noPart:
		return c.endPart(line)
	case first && c.answers:
		proto, rest, _ := strings.Cut(line, " ")
		c.old = proto != "HTTP/1.1"
		c.status, _, _ = strings.Cut(rest, " ")
		return isStatus(c.status)
	case first:
		c.old = !strings.HasSuffix(line, " HTTP/1.1")
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
		ok = err == nil && c.length < 0
		c.length = int64(n)
	case strings.EqualFold(name, "Transfer-Encoding"):
		ok = !c.chunks && strings.EqualFold(value, "chunked")
		c.chunks = true
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
func (c *framing) endHead() bool {
	if c.chunks && (c.old || c.length >= 0) {
		return false
	}
	chunks, length, interim := c.chunks, c.length, strings.HasPrefix(c.status, "1")
	c.seen, c.length, c.chunks, c.old = 0, -1, false, false
	switch {
	case !c.answers && !chunks:
		c.body = max(length, 0)
	case c.status == "101":
		c.last = true
	case interim: // another head follows
	case c.status == "204" || c.status == "304" || c.answers && c.bare.Load():
		c.asked.Store(false)
	case chunks:
		c.part = sizeOf
	case length < 0:
		c.last = true // its end is the connection's
	default:
		c.body = length
		c.asked.Store(length > 0)
	}
	return true
}

// endPart takes in a line of a body in chunks, and tells whether it is plain.
func (c *framing) endPart(line string) bool {
	c.seen = 0
	switch c.part {
	case sizeOf:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.Trim(size, " \t"), 16, 31)
		if err != nil {
			return false
		}
		if c.body, c.part = int64(n), endOf; n == 0 {
			c.part = trailer
		}
	case endOf:
		c.part = sizeOf
		return line == ""
	case trailer:
		if line == "" {
			c.part = noPart
			c.asked.Store(false)
		}
	}
	return true
}
