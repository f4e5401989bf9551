package framing

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// readerBytes is the size of the buffers through which net/http reads; texts that are compared fit it.
const readerBytes = 4 << 10

// consumeRequests follows a text as the requests of one connection, in pieces of a size, and returns how many bytes were admitted.
func consumeRequests(text string, pieceSize int) int {
	return consumeFragments(newRequestTracker(1<<10), text, pieceSize, func() {})
}

// consumeResponses does so for the responses of a server; another one is due after each piece.
func consumeResponses(text string, pieceSize int, headRequest bool) int {
	tracker := newResponseTracker(1 << 10)
	tracker.headRequest.Store(headRequest)
	tracker.responseDue.Store(true)
	return consumeFragments(tracker, text, pieceSize, func() { tracker.responseDue.Store(true) })
}

// consumeFragments returns how many bytes the tracker admits, and calls afterPiece after each complete piece.
func consumeFragments(tracker *boundaryTracker, text string, pieceSize int, afterPiece func()) int {
	for offset := 0; offset < len(text); offset += pieceSize {
		piece := text[offset:min(offset+pieceSize, len(text))]
		if admitted := tracker.consume([]byte(piece)); admitted < len(piece) {
			return offset + admitted
		}
		afterPiece()
	}
	return len(text)
}

// TestRequests has requests whose framing is plain, which are admitted completely, and others: of those the byte that would
// complete them is not admitted.
func TestRequests(t *testing.T) {
	const line, host = "POST / HTTP/1.1\r\n", "Host: x\r\n"
	next := "GET / HTTP/1.1\r\n\r\n"
	for _, test := range []struct {
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
		for _, pieceSize := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprint(test.name, " in pieces of ", pieceSize), func(t *testing.T) {
				if admitted := consumeRequests(test.text, pieceSize); (admitted == len(test.text)) != test.plain {
					t.Errorf("%d of %d bytes were admitted, plain %v", admitted, len(test.text), test.plain)
				}
			})
		}
	}
}

// TestResponses does so for responses, and for bytes that follow them.
func TestResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, test := range []struct {
		name, text  string
		headRequest bool
		admitted    int // bytes; -1: all
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
		t.Run(test.name, func(t *testing.T) {
			want := test.admitted
			if want < 0 {
				want = len(test.text)
			}
			if admitted := consumeResponses(test.text, 1<<20, test.headRequest); admitted != want {
				t.Errorf("%d of %d bytes were admitted, want %d", admitted, len(test.text), want)
			}
		})
	}
}

// FuzzRequests compares the tracker with net/http's reader: of what is admitted, every request ends where the reader ends it, so what one takes for a body the other never takes for a request.
func FuzzRequests(f *testing.F) {
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: y\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"GET / HTTP/1.0\r\nContent-Length : 4\r\n\r\nabcd",
	} {
		f.Add(text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, pieceSize int) {
		if pieceSize <= 0 {
			pieceSize = 1 << 20
		}
		admitted := consumeRequests(text, pieceSize)
		if atOnce := consumeRequests(text, 1<<20); admitted < atOnce {
			t.Errorf("pieces of %d: %d bytes were admitted, %d at once", pieceSize, admitted, atOnce)
		}
		compareRequestEnds(t, text[:admitted])
	})
}

// compareRequestEnds reads requests by net/http and fails the test where the tracker ends one of them elsewhere.
func compareRequestEnds(t *testing.T, text string) {
	t.Helper()
	if len(text) > readerBytes {
		return
	}
	tracker := newRequestTracker(1 << 10)
	reader := bufio.NewReaderSize(strings.NewReader(text), readerBytes)
	for offset := 0; offset < len(text); {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		isChunked := r.ContentLength < 0
		if _, err := io.Copy(io.Discard, r.Body); err != nil || isChunked {
			return // chunks are followed by the reader alone
		}
		end := len(text) - reader.Buffered()
		consumed := tracker.consume([]byte(text[offset:end]))
		if consumed != end-offset || tracker.headBytes != 0 || tracker.bodyRemaining != 0 {
			t.Fatalf("the reader ends a request at %d, the tracker does not (%d, %d, %d)", end, offset+consumed,
				tracker.headBytes, tracker.bodyRemaining)
		}
		offset = end
	}
}

// FuzzAnswers has the tracker follow any bytes: it never admits more than it was given, nor anything while no response is due.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\nmore"), true)
	f.Fuzz(func(t *testing.T, text []byte, headRequest bool) {
		tracker := newResponseTracker(1 << 10)
		tracker.headRequest.Store(headRequest)
		if n := tracker.consume(bytes.Clone(text)); n > 0 {
			t.Errorf("%d bytes while no response is due", n)
		}
		tracker.responseDue.Store(true)
		n := tracker.consume(text)
		if n < 0 || n > len(text) {
			t.Errorf("%d of %d bytes", n, len(text))
		}
		if !tracker.responseDue.Load() && !tracker.untilClose {
			if more := tracker.consume([]byte("H")); more != 0 {
				t.Error("a byte behind the answer")
			}
		}
	})
}

// FuzzAnswerEnds compares the tracker with net/http's reader: of what is admitted, every response, interim ones too, ends where
// the reader ends it, so that what one takes for a body the other never takes for a response.
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
	f.Fuzz(func(t *testing.T, text string, headRequest bool) {
		if len(text) > readerBytes-96 { // the whole text is to fit the reader's buffer
			return
		}
		tracker := newResponseTracker(1 << 12)
		tracker.headRequest.Store(headRequest)
		tracker.responseDue.Store(true)
		text = text[:tracker.consume([]byte(text))]
		if tracker.untilClose || tracker.responseDue.Load() {
			return // incomplete, or up to the end of the connection
		}
		compareResponseEnds(t, text, headRequest)
	})
}

// compareResponseEnds reads a response by net/http, with the interim ones before it, and fails the test where the tracker
// ends one of them elsewhere.
func compareResponseEnds(t *testing.T, text string, headRequest bool) {
	t.Helper()
	method := http.MethodGet
	if headRequest {
		method = http.MethodHead
	}
	reader := bufio.NewReaderSize(strings.NewReader(text), readerBytes)
	tracker := newResponseTracker(1 << 12)
	tracker.headRequest.Store(headRequest)
	tracker.responseDue.Store(true)
	for offset := 0; ; {
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return // the reader asks for more than the tracker does
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return
		}
		end := len(text) - reader.Buffered()
		tracker.consume([]byte(text[offset:end]))
		isInterim := resp.StatusCode < http.StatusOK
		if tracker.headBytes != 0 || tracker.bodyRemaining != 0 || tracker.responseDue.Load() != isInterim {
			t.Fatalf("the reader ends a response of status %d at %d, the tracker does not: %q", resp.StatusCode, end, text)
		}
		if !isInterim {
			return
		}
		offset = end
	}
}
