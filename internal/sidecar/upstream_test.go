package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/balance"
)

func list(t *testing.T, text string) List {
	t.Helper()
	l, err := parseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// to returns an upstream that knows the backends.
func newTestUpstream(t *testing.T, backends ...*backend) *upstream {
	u := newUpstream(testTimeout, testTimeout, defaultSockets, newCounts(nil), newByteBudget(bufferBudget(defaultMemoryMB)))
	u.update(list(t, serving(1, backends...)))
	t.Cleanup(func() { u.update(List{Complete: true}) })
	return u
}

func post(key string) *message {
	return &message{method: http.MethodPost, url: &url.URL{Path: "/api", RawQuery: "k=a%20b"}, id: "id-1", key: key,
		body: []byte("skip")}
}

func get() *message {
	return &message{method: http.MethodGet, url: &url.URL{Path: "/api"}, id: "id-1"}
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name string
		do   func(net.Conn, *http.Request, []byte) bool
		want balance.Outcome
	}{
		{"served", respondWith(200, "", "slot"), balance.Served},
		{"empty", respondWith(200, "", ""), balance.Served},
		{"error", respondWith(500, "", "oh"), balance.Errored},
		{"full", respondWith(503, "X-Not-Processed: 1\r\n", "no"), balance.Saturated},
		{"late", respondWith(504, "X-Not-Processed: 1\r\n", ""), balance.Saturated},
		{"unavailable, may have run", respondWith(503, "", ""), balance.Errored},
		{"error that claims not to have run", respondWith(500, "X-Not-Processed: 1\r\n", ""), balance.Errored},
		{"too long", respondWith(200, "", strings.Repeat("x", maxBufferedBytes+1)), balance.Errored},
		{"reset", resetConnection, balance.Reset},
		{"end", func(net.Conn, *http.Request, []byte) bool { return false }, balance.Reset},
		{"no HTTP", func(c net.Conn, _ *http.Request, _ []byte) bool { _, _ = fmt.Fprint(c, "what\r\n\r\n"); return false }, balance.Reset},
		{"half a body", func(c net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			return false
		}, balance.Reset},
		{"half a chunked body", func(c net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			return false
		}, balance.Reset},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, m := range []*message{get(), post(""), post("k")} {
				b := startBackend(t, test.do)
				r := newTestUpstream(t, b).attempt(context.Background(), "s-0", m, nil)
				if r.outcome != test.want {
					t.Errorf("%s with key %q: outcome %d, want %d", m.method, m.key, r.outcome, test.want)
				}
				if test.name == "served" && string(r.body) != "slot" {
					t.Errorf("body %q", r.body)
				}
				if n := b.count(); n != 1 {
					t.Errorf("%s with key %q came %d times", m.method, m.key, n)
				}
			}
		})
	}
}

// TestEndlessRefusals has answers other than 200 whose bodies never end: the outcome is determined by
// their headers without waiting.
func TestEndlessRefusals(t *testing.T) {
	for text, want := range map[string]balance.Outcome{
		"503 X\r\nX-Not-Processed: 1\r\nContent-Length: 10\r\n\r\nhalf": balance.Saturated,
		"500 X\r\nTransfer-Encoding: chunked\r\n\r\n":                   balance.Errored,
		"404 X\r\nConnection: close\r\n\r\nwho":                         balance.Errored,
		"101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n":            balance.Errored,
	} {
		b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 "+text)
			return neverAnswer(c, r, body)
		})
		ended := make(chan reply, 1)
		go func() { ended <- newTestUpstream(t, b).attempt(context.Background(), "s-0", post(""), nil) }()
		if r := within(t, ended, "end of "+text); r.outcome != want {
			t.Errorf("%q: outcome %d, want %d", text, r.outcome, want)
		}
	}
}

func TestNeverRan(t *testing.T) {
	b := startBackend(t, neverAnswer)
	connections := newTestUpstream(t, b)
	gone := listen(t)
	closed := entry("s-1", gone.Addr().String(), "SERVING", 0)
	_ = gone.Close()
	connections.update(list(t, listText(2, false, closed)))
	over, cancel := context.WithCancel(context.Background())
	cancel()
	for _, test := range []struct {
		name, to string
		ctx      context.Context
		want     balance.Outcome
	}{
		{"refused", "s-1", context.Background(), balance.ConnectFailed},
		{"unknown server", "s-9", context.Background(), balance.NotSent},
		{"called off before", "s-0", over, balance.NotSent},
	} {
		if r := connections.attempt(test.ctx, test.to, post(""), nil); r.outcome != test.want {
			t.Errorf("%s: outcome %d, want %d", test.name, r.outcome, test.want)
		}
	}
	if n := b.count(); n != 0 {
		t.Errorf("%d requests came", n)
	}
}

// endable is a context whose deadline is triggered by the test.
type manualContext struct {
	context.Context
	done chan struct{}
}

func newManualContext() *manualContext {
	return &manualContext{context.Background(), make(chan struct{})}
}

func (e *manualContext) end() { close(e.done) }

// Done implements context.Context.
func (e *manualContext) Done() <-chan struct{} { return e.done }

// Err implements context.Context.
func (e *manualContext) Err() error {
	select {
	case <-e.done:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

func TestAnswerTimeout(t *testing.T) {
	b := startBackend(t, neverAnswer)
	u := newTestUpstream(t, b)
	late := newManualContext()
	ended := make(chan reply, 1)
	go func() { ended <- u.attempt(late, "s-0", post(""), nil) }()
	within(t, b.received, "request")
	late.end()
	if r := within(t, ended, "end"); r.outcome != balance.TimedOut {
		t.Errorf("outcome %d, want a time-out", r.outcome)
	}
	b = startBackend(t, neverAnswer)
	u = newTestUpstream(t, b)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { ended <- u.attempt(ctx, "s-0", post(""), nil) }()
	within(t, b.received, "request")
	cancel()
	if r := within(t, ended, "end"); r.outcome != balance.Cancelled {
		t.Errorf("outcome %d, want cancelled", r.outcome)
	}
}

// TestStaleConnection has a server answer once and then reset the connection on the next request. By
// itself, the transport would resend GETs and requests with a key.
func TestStaleConnection(t *testing.T) {
	for _, sent := range []*message{get(), post(""), post("k")} {
		first := true
		b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			if first {
				first = false
				return respondWith(200, "", "ok")(c, r, body)
			}
			return resetConnection(c, r, body)
		})
		u := newTestUpstream(t, b)
		if r := u.attempt(context.Background(), "s-0", sent, nil); r.outcome != balance.Served {
			t.Fatalf("first outcome %d", r.outcome)
		}
		if r := u.attempt(context.Background(), "s-0", sent, nil); r.outcome != balance.Reset {
			t.Errorf("%s with key %q: outcome %d, want a reset", sent.method, sent.key, r.outcome)
		}
		if n := b.count(); n != 2 {
			t.Errorf("%s with key %q: %d requests for two attempts", sent.method, sent.key, n)
		}
	}
}

func TestForwardsUnchanged(t *testing.T) {
	bodies := make(chan string, 1)
	b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		bodies <- string(body)
		return respondWith(200, "", "")(c, r, body)
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	newTestUpstream(t, b).attempt(ctx, "s-0", post("k-7"), nil)
	r := within(t, b.received, "request")
	if r.Method != http.MethodPost || r.RequestURI != "/api?k=a%20b" || r.Header.Get("X-Request-ID") != "id-1" ||
		r.Header.Get("Idempotency-Key") != "k-7" || r.Header.Get("Accept-Encoding") != "" || r.ContentLength != 4 {
		t.Errorf("got %+v", r)
	}
	if body := within(t, bodies, "body"); body != "skip" {
		t.Errorf("body %q", body)
	}
	var ms int64
	if _, err := fmt.Sscan(r.Header.Get("X-Timeout-Ms"), &ms); err != nil || ms < 1 || ms > testTimeout.Milliseconds() {
		t.Errorf("X-Timeout-Ms %q: %v", r.Header.Get("X-Timeout-Ms"), err)
	}
}

// TestChangedEndpoint has a server restart: its old connections must not get the next request.
func TestChangedEndpoint(t *testing.T) {
	conns := make(chan net.Conn, 10)
	b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		conns <- c
		return respondWith(200, "", "")(c, r, body)
	})
	connections := newTestUpstream(t, b)
	ask := func() net.Conn {
		if r := connections.attempt(context.Background(), "s-0", get(), nil); r.outcome != balance.Served {
			t.Fatalf("outcome %d", r.outcome)
		}
		return within(t, conns, "connection")
	}
	first := ask()
	connections.update(list(t, listText(2, false, entry("s-0", b.address, "DRAINING", 0))))
	if ask() != first {
		t.Error("a change of state cost the connection")
	}
	connections.update(list(t, listText(3, false, entry("s-0", b.address, "SERVING", 1700000000000))))
	if ask() == first {
		t.Error("a request went to the former process's connection")
	}
	connections.update(list(t, listText(4, false, entry("s-0", b.address, "DELETED", 0))))
	if r := connections.attempt(context.Background(), "s-0", get(), nil); r.outcome != balance.NotSent {
		t.Errorf("outcome %d at a removed server", r.outcome)
	}
	connections.update(list(t, listText(5, false, entry("s-0", b.address, "SERVING", 0))))
	ask()
}

// TestOneBrokenConnection has attempts fail on one connection while another connection to a healthy
// server is idle: the idle one is used again.
func TestOneBrokenConnection(t *testing.T) {
	half := func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		return false
	}
	for name, fault := range map[string]func(net.Conn, *http.Request, []byte) bool{"just used": resetConnection, "half an answer": half,
		"passed by an answer": neverAnswer} {
		t.Run(name, func(t *testing.T) {
			type exchange struct {
				conn  net.Conn
				sound chan bool // whether the request is answered
			}
			came := make(chan exchange, 10)
			b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
				x := exchange{c, make(chan bool, 1)}
				came <- x
				if <-x.sound {
					return respondWith(200, "", "")(c, r, body)
				}
				return fault(c, r, body)
			})
			u := newTestUpstream(t, b)
			if u.minOutage = testTimeout; name != "just used" {
				u.minOutage = 0
			}
			ctx, ended := newManualContext(), make(chan reply, 3)
			ask := func() exchange {
				go func() { ended <- u.attempt(ctx, "s-0", get(), nil) }()
				return within(t, came, "request")
			}
			first, second := ask(), ask()
			first.sound <- true
			within(t, ended, "end")
			second.sound <- true
			within(t, ended, "end")
			bad := ask()
			if name == "passed by an answer" {
				ask().sound <- true
				within(t, ended, "answer")
				ctx.end()
				ctx = newManualContext()
			}
			bad.sound <- false
			within(t, ended, "end")
			next := ask()
			if next.conn == bad.conn || next.conn != first.conn && next.conn != second.conn {
				t.Error("a healthy connection was closed")
			}
			next.sound <- true
			within(t, ended, "end")
		})
	}
}

// TestVanishedMachine has one attempt fail while another connection is idle: the idle one must not get a request.
func TestVanishedMachine(t *testing.T) {
	for _, timeout := range []bool{true, false} {
		conns := make(chan net.Conn, 10)
		verdict := make(chan string, 10)
		b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			conns <- c
			switch <-verdict {
			case "silent":
				return neverAnswer(c, r, body)
			case "reset":
				return resetConnection(c, r, body)
			}
			return respondWith(200, "", "")(c, r, body)
		})
		connections := newTestUpstream(t, b)
		connections.minOutage = 0
		ended := make(chan reply, 2)
		for range 2 {
			go func() { ended <- connections.attempt(context.Background(), "s-0", get(), nil) }()
		}
		old := map[net.Conn]bool{within(t, conns, "connection"): true, within(t, conns, "connection"): true}
		for range 2 {
			verdict <- "ok"
			within(t, ended, "end")
		}
		ctx, want := newManualContext(), balance.Reset
		go func() { ended <- connections.attempt(ctx, "s-0", get(), nil) }()
		if c := within(t, conns, "connection"); !old[c] {
			t.Fatal("the request did not reuse a connection")
		}
		if timeout {
			want = balance.TimedOut
			verdict <- "silent"
			ctx.end()
		} else {
			verdict <- "reset"
		}
		if r := within(t, ended, "end"); r.outcome != want {
			t.Errorf("outcome %d, want %d", r.outcome, want)
		}
		go func() { ended <- connections.attempt(context.Background(), "s-0", get(), nil) }()
		if c := within(t, conns, "connection"); old[c] {
			t.Error("a request went to an idle connection of a server that failed")
		}
		verdict <- "ok"
		within(t, ended, "end")
	}
}
