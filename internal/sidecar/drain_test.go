package sidecar

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// dialAndSend connects and sends a text; reads from the connection time out.
func dialAndSend(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn := dial(t, address)
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// callTwice sends a command that is idempotent twice.
func callTwice(t *testing.T, call func(string) string, line string) {
	t.Helper()
	for range 2 {
		if answer := call(line); !strings.HasPrefix(answer, "ok ") {
			t.Errorf("%s is answered %q", line, answer)
		}
	}
}

// TestLameduck has an operator drain a sidecar and end the drain. Meanwhile the health check fails,
// answers ask to close, idle connections are closed and requests that have begun are served.
func TestLameduck(t *testing.T) {
	gate := make(chan bool)
	b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("Idempotency-Key") != "" {
			<-gate
		}
		return respondWith(200, "", "ok")(c, r, body)
	})
	prog, call := startWithControl(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	health := func() int {
		t.Helper()
		return healthStatus(t, http.DefaultClient, prog.address)
	}
	if status := health(); status != 200 {
		t.Fatalf("health %d at first", status)
	}
	silent, idle := dialAndSend(t, prog.address, ""), dialAndSend(t, prog.address, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	reader := bufio.NewReader(idle)
	if resp, err := http.ReadResponse(reader, nil); err != nil || resp.Close { //nolint:bodyclose // the test closes the connection; to close the body would be to read it
		t.Fatal(resp, err)
	}
	slow := make(chan clientAnswer, 1)
	go func() { slow <- prog.do(prog.request(context.Background(), "book", "50000")) }()
	within(t, b.received, "attempt")
	callTwice(t, call, "LAMEDUCK")
	if status := health(); status != 503 {
		t.Errorf("health %d while drained", status)
	}
	if answer := call("PING"); !strings.HasPrefix(answer, "fail ") {
		t.Errorf("PING is answered %q while drained", answer)
	}
	if g := prog.ask("pay"); g.status != 200 || !g.closing {
		t.Errorf("answer %+v while drained", g)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection ended with %v", err)
	}
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // the connection's own error, not one that wraps it
		t.Errorf("a connection without a request ended with %v", err)
	}
	close(gate)
	if g := within(t, slow, "answer"); g.status != 200 || g.body != "ok" || !g.closing {
		t.Errorf("answer %+v to a request from before the drain", g)
	}
	callTwice(t, call, "REJOIN")
	if answer := call("PING"); !strings.HasPrefix(answer, "ok ") || health() != 200 {
		t.Errorf("PING is answered %q after the drain", answer)
	}
	if g := prog.ask("pay"); g.status != 200 || g.closing {
		t.Errorf("answer %+v after the drain", g)
	}
}

// TestRejoinWhileShuttingDown sends REJOIN to a process that has received SIGTERM: it continues to shut down.
func TestRejoinWhileShuttingDown(t *testing.T) {
	s := &server{host: &host{log: slog.New(slog.DiscardHandler)}}
	s.shuttingDown.Store(true)
	if answer := s.handleCall([]string{"REJOIN"}); !strings.HasPrefix(answer, "fail ") {
		t.Errorf("answer %q", answer)
	}
}

// TestDrain has SIGTERM arrive while one request is in flight, and others continue to arrive on new and on existing connections.
func TestDrain(t *testing.T) {
	gate := make(chan bool)
	b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("Idempotency-Key") != "" {
			<-gate
		}
		return respondWith(200, "", "ok")(c, r, body)
	})
	prog := startDraining(t, configText(startRegistry(t).address, serving(1, b), testSettings),
		drainTimes{accept: 4 * time.Second, quietTime: 10 * time.Millisecond, closeIdle: 2 * time.Second, finish: testTimeout})
	slow := make(chan clientAnswer, 1)
	go func() { slow <- prog.do(prog.request(context.Background(), "book", "50000")) }()
	within(t, b.received, "attempt")
	prog.stop()
	for closing := false; !closing; {
		g := prog.ask("pay")
		if g.status != 200 {
			t.Fatalf("answer %+v while draining", g)
		}
		closing = g.closing
	}
	time.Sleep(200 * time.Millisecond) // much longer than quietTime, well within the accept time
	fresh, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", prog.address)
	if err != nil {
		t.Fatalf("no new connections while draining: %v", err)
	}
	defer func() { _ = fresh.Close() }()
	if err := prog.request(context.Background(), "pay", "50000").Write(fresh); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(fresh), nil) //nolint:bodyclose // the test closes the connection; to close the body would be to read it
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("answer %+v, error %v on a new connection", resp, err)
	}
	for end := time.Now().Add(testTimeout); ; {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", prog.address)
		if err != nil {
			break
		}
		_ = c.Close()
		if time.Now().After(end) {
			t.Fatal("it never stopped listening")
		}
	}
	select {
	case err := <-prog.ended:
		t.Fatalf("it ended with %v while a request was in flight", err)
	default:
	}
	close(gate)
	if g := within(t, slow, "answer"); g.status != 200 || g.body != "ok" {
		t.Errorf("answer %+v to the request in flight", g)
	}
	if err := within(t, prog.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// TestBacklog has connections in the backlog when the listener stops accepting: none may be reset.
func TestBacklog(t *testing.T) {
	inner := listen(t).(*net.TCPListener)
	listener := &drainListener{TCPListener: inner, quietTime: time.Second}
	const n = 3
	for range n {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	if err := listener.drain(-time.Second); err != nil { // the deadline has passed already
		t.Fatal(err)
	}
	for i := range n {
		c, err := listener.Accept()
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		_ = c.Close()
	}
	if _, err := listener.Accept(); err == nil {
		t.Error("accepting did not end")
	}
}
