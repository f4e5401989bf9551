package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gradeusher.example/gradeusher/balance"
)

// TestSurplusAnswer has a server send two answers to one request: the second must not be used for the next request.
func TestSurplusAnswer(t *testing.T) {
	b := startBackend(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nwrong")
		return true
	})
	u := newTestUpstream(t, b)
	var wrong atomic.Int64
	var asking sync.WaitGroup
	for range 8 {
		asking.Add(1)
		go func() {
			defer asking.Done()
			for range 500 {
				if r := u.attempt(context.Background(), "s-0", get(), nil); string(r.body) == "wrong" {
					wrong.Add(1)
				}
			}
		}()
	}
	asking.Wait()
	if n := wrong.Load(); n > 0 {
		t.Errorf("%d requests got an answer that was not theirs", n)
	}
}

// TestAnswerFraming has a server answer twice in each way on one connection. If the end of the first
// answer is ambiguous, the attempt fails and its connection is closed.
func TestAnswerFraming(t *testing.T) {
	for _, test := range []struct {
		name, text string
		outcome    balance.Outcome
		reused     bool
	}{
		{"length", "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok", balance.Served, true},
		{"nothing", "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n", balance.Served, true},
		{"chunks", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n01;x=y\r\nk\r\n0\r\nA: b\r\n\r\n", balance.Served, true},
		{"interim", "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok", balance.Served, true},
		{"length and chunks", "HTTP/1.1 200 X\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n0\r\n\r\n", balance.Reset, false},
		{"two lengths", "HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", balance.Reset, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			conns := make(chan net.Conn, 2)
			b := startBackend(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
				conns <- c
				_, _ = fmt.Fprint(c, test.text)
				return true
			})
			u := newTestUpstream(t, b)
			for range 2 {
				if r := u.attempt(context.Background(), "s-0", post(""), nil); r.outcome != test.outcome {
					t.Errorf("outcome %d, body %q, want %d", r.outcome, r.body, test.outcome)
				}
			}
			if first := <-conns; (first == <-conns) != test.reused {
				t.Errorf("the connection was used again: %v", !test.reused)
			}
		})
	}
}
