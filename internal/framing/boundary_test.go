package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// consumeRequests follows a text as one connection's consumeRequests, in pieces of a size, and tells how many of its bytes got through.
func consumeRequests(text string, pieceSize int) int {
	return consumeInPieces(newRequestTracker(1 << 10), text, pieceSize, func() {})
}

// consumeResponses does so for a server's consumeResponses, one of which is asked for each time that the one before has come whole.
func consumeResponses(text string, pieceSize int, bare bool) int {
	f := newResponseTracker(1 << 10)
	f.headRequest.Store(bare)
	f.responseDue.Store(true)
	return consumeInPieces(f, text, pieceSize, func() { f.responseDue.Store(true) })
}

func consumeInPieces(f *boundaryTracker, text string, pieceSize int, after func()) int {
	for at := 0; at < len(text); at += pieceSize {
		part := text[at:min(at+pieceSize, len(text))]
		if good := f.consume([]byte(part)); good < len(part) {
			return at + good
		}
		after()
	}
	return len(text)
}

// TestRequests has requests whose framing is plain, which get through whole, and ones that do not: of those the byte that
// would make them whole is held back.
func TestRequests(t *testing.T) {
	const line, host = "POST / HTTP/1.1\r\n", "Host: x\r\n"
	next := "GET / HTTP/1.1\r\n\r\n"
	for _, tt := range []struct {
		name, text string
		plain      bool
	}{
		{"nothing", line + host + "\r\n", true},
		{"length", line + "content-length: 3\r\n\r\nabc" + next, true},
		{"length of what looks like lines", line + "Content-Length: 4\r\n\r\na\nb\n" + next, true},
		{"chunks", line + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true},
		{"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", true},
		{"length and chunks", line + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"chunks and length", line + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", false},
		{"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"two lengths", line + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", false},
		{"a list of lengths", line + "Content-Length: 5, 5\r\n\r\n", false},
		{"a signed length", line + "Content-Length: +5\r\n\r\n", false},
		{"an empty length", line + "Content-Length:\r\n\r\n", false},
		{"a long length", line + "Content-Length: 9223372036854775808\r\n\r\n", false},
		{"a folded line", line + "X-A: b\r\n c\r\n\r\n", false},
		{"a bare line feed", line + "X-A: b\n\r\n", false},
		{"a bare carriage return", line + "X-A: b\rc\r\n\r\n", false},
		{"a line before the first", "\r\n" + line + "\r\n", false},
		{"another coding", line + "Transfer-Encoding: gzip, chunked\r\n\r\n", false},
		{"chunked twice", line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"a long head", line + "X-A: " + strings.Repeat("b", 1<<10) + "\r\n\r\n", false},
	} {
		for _, piece := range []int{1, 7, 1 << 20} {
			if n := consumeRequests(tt.text, piece); (n == len(tt.text)) != tt.plain {
				t.Errorf("%s, pieces of %d: %d of %d bytes got through", tt.name, piece, n, len(tt.text))
			}
		}
	}
}

// TestResponses does so for answers.
func TestResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, tt := range []struct {
		name, text string
		bare       bool
		through    int // bytes; -1: all
	}{
		{"length", ok + "Content-Length: 2\r\n\r\nok", false, -1},
		{"nothing", ok + "Content-Length: 0\r\n\r\n", false, -1},
		{"no content", "HTTP/1.1 204 X\r\n\r\n", false, -1},
		{"not modified", "HTTP/1.1 304 X\r\nContent-Length: 7\r\n\r\n", false, -1},
		{"of a HEAD request", ok + "Content-Length: 700\r\n\r\n", true, -1},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n", false, -1},
		{"interim", "HTTP/1.1 103 X\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", false, -1},
		{"to the connection's end", ok + "\r\nok and on", false, -1},
		{"surplus", ok + "Content-Length: 0\r\n\r\nok", false, len(ok) + 21},
		{"surplus after a HEAD request's", ok + "Content-Length: 2\r\n\r\nok", true, len(ok) + 21},
		{"surplus behind chunks", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nok", false, len(ok) + 35},
		{"two lengths", ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", false, len(ok) + 19},
		{"a signed chunk", ok + "Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n", false, len(ok) + 30},
		{"a status of two digits", "HTTP/1.1 99 X\r\n\r\n", false, 0},
		{"a status below 100", "HTTP/1.1 099 X\r\nContent-Length: 9\r\n\r\n", false, 0},
		{"a signed status", "HTTP/1.1 +20 X\r\n\r\n", false, 0},
		{"two spaces before the status", "HTTP/1.1  100 X\r\n\r\n", false, 0},
		{"no status", "HTTP/1.1\r\n\r\n", false, 0},
		{"no reason", "HTTP/1.1 204\r\n\r\n", false, -1},
		{"a chunk longer than said", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n", false, len(ok) + 30 + 4},
	} {
		if tt.through < 0 {
			tt.through = len(tt.text)
		}
		if n := consumeResponses(tt.text, 1<<20, tt.bare); n != tt.through {
			t.Errorf("%s: %d of %d bytes got through, want %d", tt.name, n, len(tt.text), tt.through)
		}
	}
}

// FuzzRequests compares the guard with net/http's reader: of what gets through, the guard has every request end where the
// reader does, so what one takes for a body the other never takes for a request.
func FuzzRequests(f *testing.F) {
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: y\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"GET / HTTP/1.0\r\nContent-Length : 4\r\n\r\nabcd",
	} {
		f.Add(text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if piece <= 0 {
			piece = 1 << 20
		}
		n := consumeRequests(text, piece)
		if whole := consumeRequests(text, 1<<20); n < whole {
			t.Errorf("pieces of %d: %d bytes got through, %d at once", piece, n, whole)
		}
		guard := newRequestTracker(1 << 10)
		in := bufio.NewReader(strings.NewReader(text[:n]))
		for at := 0; at < n; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			length := r.ContentLength
			if _, err := io.Copy(io.Discard, r.Body); err != nil || length < 0 {
				return // chunks are followed by the reader alone
			}
			end := n - in.Buffered() // the whole text fits the reader's buffer
			if n > 4096 {
				return
			}
			if good := guard.consume([]byte(text[at:end])); good != end-at || guard.headBytes != 0 || guard.bodyRemaining != 0 {
				t.Fatalf("the reader ends a request at %d, the guard does not (%d, %d, %d)", end, at+good, guard.headBytes, guard.bodyRemaining)
			}
			at = end
		}
	})
}

// FuzzAnswers has the guard follow any bytes: it never lets through more than it was given, nor anything that nobody asked
// for.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\nmore"), true)
	f.Fuzz(func(t *testing.T, text []byte, bare bool) {
		g := newResponseTracker(1 << 10)
		g.headRequest.Store(bare)
		if n := g.consume(bytes.Clone(text)); n > 0 {
			t.Errorf("%d bytes that nobody asked for", n)
		}
		g.responseDue.Store(true)
		n := g.consume(text)
		if n < 0 || n > len(text) {
			t.Errorf("%d of %d bytes", n, len(text))
		}
		if !g.responseDue.Load() && !g.untilClose {
			if more := g.consume([]byte("H")); more != 0 {
				t.Error("a byte behind the answer")
			}
		}
	})
}

// FuzzAnswerEnds compares the guard with net/http's reader: of what gets through, the guard has every answer, interim ones
// too, end where the reader does, so that what one takes for a body the other never takes for an answer.
func FuzzAnswerEnds(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 099 X\r\nContent-Length: 38\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1  100 X\r\nContent-Length: 38\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\nmore",
		"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add(text, false)
		f.Add(text, true)
	}
	f.Fuzz(func(t *testing.T, text string, bare bool) {
		if len(text) > 4000 { // the whole text is to fit the reader's buffer
			return
		}
		guard := newResponseTracker(1 << 12)
		guard.headRequest.Store(bare)
		guard.responseDue.Store(true)
		text = text[:guard.consume([]byte(text))]
		if guard.untilClose || guard.responseDue.Load() {
			return // not whole, or up to the end of the connection
		}
		method := http.MethodGet
		if bare {
			method = http.MethodHead
		}
		in := bufio.NewReader(strings.NewReader(text))
		again := newResponseTracker(1 << 12)
		again.headRequest.Store(bare)
		again.responseDue.Store(true)
		for at := 0; ; {
			resp, err := http.ReadResponse(in, &http.Request{Method: method})
			if err != nil {
				return // the reader asks for more than the guard does
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
			end := len(text) - in.Buffered()
			again.consume([]byte(text[at:end]))
			if interim := resp.StatusCode < 200; again.headBytes != 0 || again.bodyRemaining != 0 || again.responseDue.Load() != interim {
				t.Fatalf("the reader ends an answer of status %d at %d, the guard does not: %q", resp.StatusCode, end, text)
			} else if !interim {
				return
			}
			at = end
		}
	})
}
