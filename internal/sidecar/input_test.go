package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

func TestBadInput(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	prog := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	ask := func(class string, change func(*http.Request)) *http.Request {
		r := prog.request(context.Background(), class, "50000")
		change(r)
		return r
	}
	without := func(class, header string) *http.Request {
		return ask(class, func(r *http.Request) { r.Header.Del(header) })
	}
	with := func(class, header, value string) *http.Request {
		return ask(class, func(r *http.Request) { r.Header.Set(header, value) })
	}
	method := func(class, m string) *http.Request { return ask(class, func(r *http.Request) { r.Method = m }) }
	sized := func(n int) *http.Request {
		return ask("pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", n))), int64(n)
		})
	}
	for _, test := range []struct {
		name   string
		r      *http.Request
		status int
	}{
		{"no id", without("read", "X-Request-ID"), 400},
		{"no class", without("read", "X-Priority-Class"), 400},
		{"unknown class", with("read", "X-Priority-Class", "sing"), 400},
		{"no time", without("read", "X-Timeout-Ms"), 400},
		{"bad time", with("read", "X-Timeout-Ms", "soon"), 400},
		{"negative time", with("read", "X-Timeout-Ms", "-1"), 400},
		{"endless time", with("read", "X-Timeout-Ms", "99999999999999999999"), 400},
		{"no key", without("book", "Idempotency-Key"), 400},
		{"unsafe GET", method("pay", "GET"), 405},
		{"method", method("read", "DELETE"), 405},
		{"path", ask("read", func(r *http.Request) { r.URL.Path = "/apis" }), 404},
		{"health method", ask("read", func(r *http.Request) { r.URL.Path, r.Method = "/healthz", "PUT" }), 405},
		{"long body", sized(maxBodyBytes + 1), 413},
		{"longest body held", sized(maxBufferedBytes), 200},
		{"body that is not held", sized(maxBufferedBytes + 1), 200},
		{"unknown tenant", with("read", "X-Tenant-Id", "nobody"), 200},
		{"no tenant", without("pay", "X-Tenant-Id"), 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			came := b.count()
			if g := prog.do(test.r); g.err != nil || g.status != test.status {
				t.Errorf("status %d, error %v, want %d", g.status, g.err, test.status)
			}
			if sent := b.count() > came; sent != (test.status == 200) {
				t.Errorf("sent to a server: %v", sent)
			}
			if g := prog.ask("pay"); g.status != 200 {
				t.Errorf("the next request: %+v", g)
			}
		})
	}
}

// TestEndlessBody has a client send half a body and nothing more: its connection ends when its time
// is over, and other clients are served.
func TestEndlessBody(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	prog := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", prog.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprint(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 300\r\n"+
		"Content-Length: 10\r\n\r\nhalf")
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the connection did not end: %v", err)
	}
	if n := b.count(); n != 0 {
		t.Errorf("%d attempts for half a request", n)
	}
	// A client that takes longer than that body's time limit is still served.
	if g := prog.ask("pay"); g.status != 200 {
		t.Errorf("answer %+v", g)
	}
}

// TestUnresponsivePeers has peers send nothing, or stop in the middle of a request with a long
// timeout: their connections end within 3 s.
func TestUnresponsivePeers(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	p := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	const head = "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 50000\r\n"
	for name, text := range map[string]string{"nothing": "", "half a line": "POST /a", "half a head": head,
		"half a body": head + "Content-Length: 10\r\n\r\nhalf", "half a chunk": head + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			began := time.Now()
			if err := c.SetReadDeadline(began.Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection did not end")
			}
			if took := time.Since(began); took > maxResponseTime {
				t.Errorf("it took %v", took)
			}
			if n := b.count(); n != 0 {
				t.Errorf("%d attempts for half a request", n)
			}
		})
	}
}

// maxResponseTime is how long the sidecar may take to end a connection on which nothing more arrives. It is well above the
// required 3 s, so that the test does not fail on a loaded machine, and well below what a missing deadline would take.
const maxResponseTime = 9 * time.Second
