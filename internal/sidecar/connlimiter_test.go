package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// closer is a connection that records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

// Close implements net.Conn.
func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.closed = c.closed || t.Before(time.Now())
	return nil
}

// age makes the limiter treat some connections as having been in their state for longer.
func (w *connLimiter) age(by time.Duration, conns ...*fakeConn) {
	for _, c := range conns {
		s := w.conns[c]
		s.since = s.since.Add(-by)
		w.conns[c] = s
	}
}

// TestHoardedConns has a peer hold idle connections: they are closed, the longest idle first, and
// clients of busy connections are not asked to close theirs.
func TestHoardedConns(t *testing.T) {
	w := newConnLimiter(48) // idleThreshold 24, maxConns 28
	var idle, busy []*fakeConn
	for i := range 24 {
		c := &fakeConn{}
		w.observeState(c, http.StateNew)
		w.observeState(c, http.StateActive)
		if i%2 == 0 {
			w.observeState(c, http.StateIdle)
			idle = append(idle, c)
		} else {
			busy = append(busy, c)
		}
	}
	w.age(time.Minute, idle[3])
	w.age(minIdleTime+time.Second, idle[4])
	for i, want := range []*fakeConn{idle[3], idle[4], nil} {
		if w.isOverloaded() {
			t.Fatalf("overloaded with %d connections", w.count.Load())
		}
		w.observeState(&fakeConn{}, http.StateNew)
		for j, c := range append(idle, busy...) {
			if c.closed != (c == want || c == idle[3] || i > 0 && c == idle[4]) {
				t.Errorf("after %d more: connection %d closed: %v", i+1, j, c.closed)
			}
		}
	}
	if !w.isOverloaded() {
		t.Error("not overloaded, though no connection has been idle for long")
	}
}

// TestMaxConns opens connections none of which is idle: those that have sent nothing for long are
// closed first; after that no new connection is admitted.
func TestMaxConns(t *testing.T) {
	w := newConnLimiter(48)
	silent := &fakeConn{}
	w.observeState(silent, http.StateNew)
	w.age(minIdleTime, silent)
	for range 27 {
		c := &fakeConn{}
		w.observeState(c, http.StateNew)
		w.observeState(c, http.StateActive)
	}
	next, last := &fakeConn{}, &fakeConn{}
	w.observeState(next, http.StateNew)
	if !silent.closed || next.closed {
		t.Errorf("silent one closed: %v, newcomer: %v", silent.closed, next.closed)
	}
	w.observeState(last, http.StateNew)
	if !last.closed || w.count.Load() != 28 {
		t.Errorf("newcomer closed: %v, connections %d", last.closed, w.count.Load())
	}
	w.observeState(last, http.StateClosed) // as the HTTP server reports later
	if w.count.Load() != 28 {
		t.Errorf("connections %d after a close that was observed twice", w.count.Load())
	}
}

// TestHoardOnSockets has a peer's idle connections be closed in favour of a client, which is not asked to close its own.
func TestHoardOnSockets(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	config := strings.Replace(configText(startRegistry(t).address, serving(1, b), testSettings), `"sockets":1024`, `"sockets":64`, 1)
	prog := start(t, config)
	ends := make(chan error, 40)
	for range 34 {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", prog.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(c)
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK { //nolint:bodyclose // the test closes the connection; to close the body would be to read it
			t.Fatal(resp, err)
		}
		go func() {
			_, err := in.ReadByte()
			ends <- err
		}()
	}
	time.Sleep(minIdleTime + 100*time.Millisecond)
	if g := prog.ask("pay"); g.status != 200 || g.closing {
		t.Errorf("answer %+v", g)
	}
	for range 3 {
		if err := within(t, ends, "end of an idle connection"); err != io.EOF { //nolint:errorlint // the connection's own error, not one that wraps it
			t.Errorf("an idle connection ended with %v", err)
		}
	}
}

func TestMaxPending(t *testing.T) {
	b := startBackend(t, neverAnswer)
	settings := strings.Replace(testSettings, `"most_held":20000`, `"most_held":1`, 1)
	p := start(t, configText(startRegistry(t).address, serving(1, b), settings))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan clientAnswer, 1)
	go func() { ended <- p.do(p.request(ctx, "pay", "50000")) }()
	within(t, b.received, "attempt")
	if g := p.ask("pay"); g.status != 503 || b.count() != 0 {
		t.Errorf("status %d, %d attempts", g.status, b.count())
	}
	cancel()
	within(t, ended, "end")
}

// TestOverloadAsksToClose has clients hold more connections than the descriptor limit allows: they are asked to close them.
func TestOverloadAsksToClose(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	config := strings.Replace(configText(startRegistry(t).address, serving(1, b), testSettings), `"sockets":1024`, `"sockets":64`, 1)
	p := start(t, config)
	if g := p.ask("pay"); g.status != 200 || g.closing {
		t.Errorf("answer %+v with one connection", g)
	}
	for range 32 {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	for end := time.Now().Add(testTimeout); ; {
		if g := p.ask("pay"); g.closing {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no client was asked to close its connection")
		}
	}
}
