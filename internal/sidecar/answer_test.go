package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestEffects fails the first attempt of each class in each way, and checks whether the request is retried as the class allows.
func TestEffects(t *testing.T) {
	full := respondWith(503, "X-Not-Processed: 1\r\n", "")
	for _, test := range []struct {
		name     string
		class    string
		fault    func(net.Conn, *http.Request, []byte) bool
		status   int
		attempts int
	}{
		{"safe after an error", "read", respondWith(500, "", ""), 200, 2},
		{"safe after a reset", "read", resetConnection, 200, 2},
		{"safe, turned away", "read", full, 200, 2},
		{"keyed after an error", "book", respondWith(500, "", ""), 200, 2},
		{"keyed after a reset", "book", resetConnection, 200, 2},
		{"keyed, turned away", "book", full, 200, 2},
		{"unsafe after an error", "pay", respondWith(500, "", ""), 502, 1},
		{"unsafe after a reset", "pay", resetConnection, 502, 1},
		{"unsafe, turned away", "pay", full, 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			faults := make(chan bool, 1)
			faults <- true
			came := make(chan string, 10)
			do := func(c net.Conn, r *http.Request, body []byte) bool {
				came <- r.Header.Get("X-Request-ID") + " " + r.Header.Get("Idempotency-Key") + " " + string(body)
				select {
				case <-faults:
					return test.fault(c, r, body)
				default:
					return respondWith(200, "", "done")(c, r, body)
				}
			}
			p := start(t, configText(startRegistry(t).address, serving(1, startBackend(t, do), startBackend(t, do)), testSettings))
			g := p.ask(test.class)
			if g.status != test.status || len(came) != test.attempts {
				t.Fatalf("status %d after %d attempts, want %d after %d", g.status, len(came), test.status, test.attempts)
			}
			if g.status == 200 && g.body != "done" {
				t.Errorf("body %q", g.body)
			}
			first := <-came
			for len(came) > 0 {
				if again := <-came; again != first {
					t.Errorf("attempts %q and %q differ", first, again)
				}
			}
		})
	}
}

// TestBlamedRequests has servers reject some requests themselves (400): each of those is sent once
// and fails, and no server is ejected for it.
func TestBlamedRequests(t *testing.T) {
	do := func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Request-ID") == "unheard-of" {
			return respondWith(400, "", "who?")(c, r, body)
		}
		return respondWith(200, "", "ok")(c, r, body)
	}
	backends := []*backend{startBackend(t, do), startBackend(t, do), startBackend(t, do), startBackend(t, do)}
	log := &logText{}
	c, err := load(t, configText(startRegistry(t).address, serving(1, backends...), testSettings))
	if err != nil {
		t.Fatal(err)
	}
	prog := startLogging(t, c, log, drainTimes{quietTime: time.Millisecond, finish: testTimeout})
	const bad = 20
	for range bad {
		r := prog.request(context.Background(), "read", "50000")
		r.Header.Set("X-Request-ID", "unheard-of")
		if g := prog.do(r); g.err != nil || g.status != 502 {
			t.Errorf("status %d, error %v, want 502", g.status, g.err)
		}
	}
	came := 0
	for _, b := range backends {
		came += b.count()
	}
	if came != bad {
		t.Errorf("%d attempts for %d requests", came, bad)
	}
	if strings.Contains(log.String(), "ejected") {
		t.Errorf("healthy servers were ejected:\n%s", log)
	}
	if g := prog.ask("pay"); g.status != 200 {
		t.Errorf("the next request: %+v", g)
	}
}

// TestNoServer has the only server refuse connections: nothing ran, so requests of every class are refused immediately.
func TestNoServer(t *testing.T) {
	l := listen(t)
	_ = l.Close()
	gone := &backend{address: l.Addr().String()}
	p := start(t, configText(startRegistry(t).address, serving(1, gone), testSettings))
	for _, class := range []string{"read", "book", "pay"} {
		if g := p.ask(class); g.status != 503 {
			t.Errorf("%s: status %d, want a refusal", class, g.status)
		}
	}
}

func TestClientGone(t *testing.T) {
	closed := make(chan bool, 1)
	b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		neverAnswer(c, r, body)
		closed <- true
		return false
	})
	p := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan clientAnswer, 1)
	go func() { ended <- p.do(p.request(ctx, "read", "50000")) }()
	within(t, b.received, "attempt")
	cancel()
	within(t, ended, "end")
	within(t, closed, "end of the attempt")
	if n := b.count(); n != 0 {
		t.Errorf("%d more attempts for a client that has disconnected", n)
	}
}

func TestRefusalSaysWhen(t *testing.T) {
	for _, test := range []struct {
		a      answer
		status int
		header string
	}{
		{answer{kind: refused, retryAfter: 250 * time.Millisecond}, 503, "0.250"},
		{answer{kind: refused}, 503, ""},
		{answer{kind: failed}, 502, ""},
	} {
		w := httptest.NewRecorder()
		_ = test.a.write(w)
		if w.Code != test.status || w.Header().Get("Retry-After") != test.header {
			t.Errorf("%+v: status %d, header %v", test.a, w.Code, w.Header())
		}
	}
}
