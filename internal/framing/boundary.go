package framing

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
)

// maxRetainedLineBytes bounds the line buffer that a connection retains between lines.
const maxRetainedLineBytes = 1 << 10

// ErrAmbiguous is returned by reads from a guarded connection where a message is not plain, or where bytes come that no
// request asked for. The remedy is to close the connection.
var ErrAmbiguous = errors.New("ambiguous framing: close the connection")

// boundaryTracker follows where one message of a connection ends and the next begins. It looks at heads and chunk lines only
// and counts through bodies. It must not be copied.
type boundaryTracker struct {
	isResponse   bool // the messages are responses; otherwise they are requests
	maxHeadBytes int

	currentLine   []byte // the incomplete line; at most maxHeadBytes
	headBytes     int    // bytes of the current head, or of the current chunk line, so far
	contentLength int64  // -1: the current head has named none yet
	chunked       bool   // the current head has named the transfer coding "chunked"
	beforeHTTP11  bool
	bodyRemaining int64 // bytes of a body, or of a chunk's data, still to come
	chunkState    chunkState
	untilClose    bool // what follows is not followed: the connection ends after this message
	statusCode    int  // of the current response

	responseDue atomic.Bool // set by the writer, which may be another goroutine than the reader
	headRequest atomic.Bool // the response has no body whatever its head says; set by the writer
}

// chunkState is the element of a chunked body that comes next (RFC 9112, section 7.1).
type chunkState int

const (
	notChunked     chunkState = iota // not within a chunked body
	chunkSize                        // the line with a chunk's size
	chunkEnd                         // the empty line behind a chunk's data
	trailerSection                   // trailer fields, up to an empty line
)

func newRequestTracker(maxHeadBytes int) *boundaryTracker {
	return &boundaryTracker{contentLength: -1, maxHeadBytes: maxHeadBytes}
}

func newResponseTracker(maxHeadBytes int) *boundaryTracker {
	return &boundaryTracker{isResponse: true, contentLength: -1, maxHeadBytes: maxHeadBytes}
}

// consume follows the framing through data and returns how many of its bytes precede the first line fragment that is not plain.
// It returns len(data) if all of them are in order.
func (t *boundaryTracker) consume(data []byte) int {
	for offset := 0; offset < len(data) && !t.untilClose; {
		if t.bodyRemaining > 0 {
			offset += t.skipBody(len(data) - offset)
			continue
		}
		if t.isResponse && !t.responseDue.Load() {
			return offset // surplus
		}
		size := lineFragment(data[offset:])
		if !t.appendLine(data[offset : offset+size]) {
			return offset
		}
		offset += size
	}
	return len(data)
}

// lineFragment returns how many bytes of data belong to its first line, the line feed included.
func lineFragment(data []byte) int {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1
	}
	return len(data)
}

// skipBody counts up to available bytes of the body and returns how many belong to it.
func (t *boundaryTracker) skipBody(available int) int {
	skipped := min(t.bodyRemaining, int64(available))
	t.bodyRemaining -= skipped
	if t.bodyRemaining == 0 && t.chunkState == notChunked {
		t.responseDue.Store(false)
	}
	return int(skipped)
}

// appendLine adds a fragment of a line, and reports false if the line is too long or, once complete, not plain.
func (t *boundaryTracker) appendLine(fragment []byte) bool {
	t.currentLine = append(t.currentLine, fragment...)
	t.headBytes += len(fragment)
	if t.headBytes > t.maxHeadBytes {
		return false
	}
	if fragment[len(fragment)-1] != '\n' {
		return true
	}
	if !t.consumeLine() {
		return false
	}
	if t.currentLine = t.currentLine[:0]; cap(t.currentLine) > maxRetainedLineBytes {
		t.currentLine = nil
	}
	return true
}

// consumeLine interprets the complete current line and reports whether it is plain.
func (t *boundaryTracker) consumeLine() bool {
	line, terminated := strings.CutSuffix(string(t.currentLine), "\r\n")
	if !terminated || strings.Contains(line, "\r") {
		return false
	}
	isStartLine := t.headBytes == len(t.currentLine)
	switch {
	case t.chunkState != notChunked:
		return t.consumeChunkLine(line)
	case isStartLine:
		return t.consumeStartLine(line)
	case line == "":
		return t.endHead()
	}
	return t.consumeField(line)
}

// consumeStartLine interprets a request line or a status line (RFC 9112, sections 3 and 4).
func (t *boundaryTracker) consumeStartLine(line string) bool {
	if line == "" {
		return false
	}
	if !t.isResponse {
		t.beforeHTTP11 = !strings.HasSuffix(line, " HTTP/1.1")
		return true
	}
	version, rest, _ := strings.Cut(line, " ")
	t.beforeHTTP11 = version != "HTTP/1.1"
	status, _, _ := strings.Cut(rest, " ")
	var plain bool
	t.statusCode, plain = parseStatus(status)
	return plain
}

// consumeField interprets a field line (RFC 9112, section 5) and reports false for folded lines, for repeated or malformed
// lengths and for transfer codings other than a single "chunked".
func (t *boundaryTracker) consumeField(line string) bool {
	if line[0] == ' ' || line[0] == '\t' {
		return false
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		length, err := strconv.ParseUint(value, 10, 63)
		repeated := t.contentLength >= 0
		t.contentLength = int64(length)
		return err == nil && !repeated
	case strings.EqualFold(name, "Transfer-Encoding"):
		repeated := t.chunked
		t.chunked = true
		return !repeated && strings.EqualFold(value, "chunked")
	}
	return true
}

// parseStatus reads a status code and reports whether it is three digits that make at least 100. Danger: net/http's reader
// skips spaces before the status and takes one below 100, or with a sign, for an interim response's: it would look for the
// next head in what is a body here.
func parseStatus(text string) (code int, plain bool) {
	if len(text) != 3 || text[0] < '1' || text[0] > '9' || !isDigit(text[1]) || !isDigit(text[2]) {
		return 0, false
	}
	code, err := strconv.Atoi(text)
	return code, err == nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// endHead turns from a complete head to its body and reports whether the end of that body is plain (RFC 9112, section 6.3).
func (t *boundaryTracker) endHead() bool {
	chunked, length := t.chunked, t.contentLength
	if chunked && (t.beforeHTTP11 || length >= 0) {
		return false
	}
	t.headBytes, t.contentLength, t.chunked, t.beforeHTTP11 = 0, -1, false, false
	switch {
	case t.isResponse:
		t.beginResponseBody(chunked, length)
	case chunked:
		t.chunkState = chunkSize
	default:
		t.bodyRemaining = max(length, 0)
	}
	return true
}

// beginResponseBody chooses how the body of the current response ends. A length of -1 means that the head named none.
func (t *boundaryTracker) beginResponseBody(chunked bool, length int64) {
	isInterim := t.statusCode < http.StatusOK
	switch {
	case t.statusCode == http.StatusSwitchingProtocols:
		t.untilClose = true
	case isInterim: // the head of another response follows
	case t.statusCode == http.StatusNoContent || t.statusCode == http.StatusNotModified || t.headRequest.Load():
		t.responseDue.Store(false)
	case chunked:
		t.chunkState = chunkSize
	case length < 0:
		t.untilClose = true
	default:
		t.bodyRemaining = length
		t.responseDue.Store(length > 0)
	}
}

// consumeChunkLine interprets a line of a chunked body and reports whether it is plain.
func (t *boundaryTracker) consumeChunkLine(line string) bool {
	t.headBytes = 0
	switch t.chunkState {
	case chunkSize:
		return t.beginChunk(line)
	case chunkEnd:
		t.chunkState = chunkSize
		return line == ""
	case trailerSection:
		if line == "" {
			t.chunkState = notChunked
			t.responseDue.Store(false)
		}
	}
	return true
}

// beginChunk reads the size of a chunk, in hexadecimal; the last chunk has size 0. Extensions behind a semicolon are ignored.
func (t *boundaryTracker) beginChunk(line string) bool {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.Trim(digits, " \t"), 16, 31)
	if err != nil {
		return false
	}
	t.bodyRemaining, t.chunkState = int64(size), chunkEnd
	if size == 0 {
		t.chunkState = trailerSection
	}
	return true
}

// midMessage reports whether part of a message has come, and not all of it.
func (t *boundaryTracker) midMessage() bool {
	return t.headBytes > 0 || t.bodyRemaining > 0 || t.chunkState != notChunked
}

// readGuard ends the reads of a connection at the first byte that its tracker does not admit.
type readGuard struct {
	tracker *boundaryTracker
	err     error // ErrAmbiguous once a byte was not admitted
}

// admit takes what a read returned and returns what the caller of the read gets.
func (g *readGuard) admit(p []byte, readErr error) (int, error) {
	plain := g.tracker.consume(p)
	if plain == len(p) {
		return plain, readErr
	}
	g.err = ErrAmbiguous
	if plain == 0 {
		return 0, g.err
	}
	return plain, nil // the next read fails
}
