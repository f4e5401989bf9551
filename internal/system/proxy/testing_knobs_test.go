package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/invariant/invarianttest"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestExactlyOnceControls disables one protection at a time: a scenario then violates what TestExactlyOnce checks, and does not
// violate it with the protection in place.
func TestExactlyOnceControls(t *testing.T) {
	with := func(change func(*behaviour)) []behaviour {
		b := validBehaviour
		change(&b)
		return []behaviour{b}
	}
	cutStream := with(func(b *behaviour) { b.Framing, b.PermilleSent, b.After = "chunked", 850, halfCloseAfter })
	for _, test := range []struct {
		name     string
		without  TestingKnobs
		category config.Category
		first    []behaviour
		breaks   string
	}{
		{"the echoed id", TestingKnobs{SkipAttemptIDCheck: true}, config.NonIdempotent,
			with(func(b *behaviour) { b.Echo = otherID }), "has a different id"},
		{"the seal of a success", TestingKnobs{SkipServerSealCheck: true}, config.NonIdempotent,
			with(func(b *behaviour) { b.Unsealed = true }), "no server sent this response"},
		{"interim answers", TestingKnobs{PassInterimResponses: true}, config.NonIdempotent,
			with(func(b *behaviour) { b.Interims = 1 }), "has a different id"},
		{"at most one run", TestingKnobs{RetryNonIdempotent: true}, config.NonIdempotent,
			with(func(b *behaviour) { b.PermilleSent, b.After = 0, resetAfter }), "sent again although it may have run"},
		{"not-executed statuses", TestingKnobs{PassUnconfirmedNotExecuted: true}, config.NonIdempotent,
			with(func(b *behaviour) { b.Status = http.StatusTooManyRequests }), "its client got a not-executed status"},
		{"the end of a response", TestingKnobs{AcceptUnframed: true}, config.NonIdempotent,
			with(func(b *behaviour) { b.Framing, b.PermilleSent, b.After = "none", 950, halfCloseAfter }), "looks complete"},
		{"streams that may not be resumed", TestingKnobs{ResumeAnyStream: true}, config.Streaming, cutStream, "sent again although it may have run"},
		{"a truncated response ends its connection", TestingKnobs{KeepTruncatedConns: true}, config.Streaming, cutStream, "looks complete"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := testScenario{Category: test.category, MaxTries: 2, Servers: [][]behaviour{test.first, nil},
				Steps: []clientStep{{Manner: "plain", Method: http.MethodPost}}}
			if err := playScenario(s, TestingKnobs{}); err != nil {
				t.Errorf("with the protection: %v", err)
			}
			without := func() {
				if err := playScenario(s, test.without); err == nil || !strings.Contains(err.Error(), test.breaks) {
					t.Errorf("without the protection: %v, want %q", err, test.breaks)
				}
			}
			if test.without.RetryNonIdempotent || test.without.ResumeAnyStream {
				invarianttest.Expect(t, nonIdempotentOnce, without)
			} else {
				without()
			}
		})
	}
}

// TestClosedWhileIdle covers a server that closes an idle connection before a non-idempotent request arrives: the request is not lost
// on that connection. Without the inspection of idle connections it is.
func TestClosedWhileIdle(t *testing.T) {
	for _, test := range []struct {
		name    string
		without TestingKnobs
		want    int
	}{
		{"inspected", TestingKnobs{}, http.StatusOK},
		{"not inspected", TestingKnobs{SkipIdleInspection: true}, http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := startServer(t, respondWith(200, "x"))
			proxy := startProxy(t, []*fakeServer{server}, func(o *Options, _ *config.Config) { o.knobs = test.without })
			client := proxy.dial(t)
			client.sendRequest("id-1", "").readResponse()
			_ = receive(t, server.requests, "request").conn.(*net.TCPConn).CloseWrite()
			proxy.awaitIdleClosed(t)
			if got := client.sendRequest("id-2", "").readResponse(); got.StatusCode != test.want {
				t.Errorf("status %d, want %d", got.StatusCode, test.want)
			}
		})
	}
}

// awaitIdleClosed waits until the end of the only idle connection has been received.
func (f *testProxy) awaitIdleClosed(t *testing.T) {
	t.Helper()
	f.pools.mu.Lock()
	defer f.pools.mu.Unlock()
	for _, p := range f.pools.pools {
		for _, c := range p.idle {
			raw, err := c.tcp.SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			err = raw.Control(func(fd uintptr) {
				wait := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
				if n, err := unix.Poll(wait, int(testTimeout.Milliseconds())); n != 1 {
					t.Errorf("the idle connection did not end: %v", err)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

// limitedConn is a connection that accepts a limited number of bytes and then breaks.
type limitedConn struct {
	net.Conn
	capacity int
}

func (c *limitedConn) Write(p []byte) (int, error) {
	if len(p) <= c.capacity {
		c.capacity -= len(p)
		return c.Conn.Write(p)
	}
	n := 0
	if c.capacity > 0 {
		n, _ = c.Conn.Write(p[:c.capacity])
	}
	_ = c.Close()
	return n, unix.EPIPE
}

// TestPartlyWritten covers a connection that breaks while a non-idempotent request is written on it: the request is sent to another
// server only if not a byte of it was written. Without that rule it is sent twice.
func TestPartlyWritten(t *testing.T) {
	for _, test := range []struct {
		capacity int
		without  TestingKnobs
		want     int
		sends    int64
	}{
		{0, TestingKnobs{}, 200, 1},
		{1, TestingKnobs{}, 502, 1},
		{60, TestingKnobs{}, 502, 1},
		{1, TestingKnobs{RetryPartlyWritten: true}, 200, 1},
	} {
		t.Run(fmt.Sprintf("%d bytes, retry %v", test.capacity, test.without.RetryPartlyWritten), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				piped := newPipedProxy([]configure{withCategory(config.NonIdempotent), func(o *Options, _ *config.Config) { o.knobs = test.without }},
					respondWith(200, "first"), respondWith(200, "second"))
				open := piped.pools.connect
				piped.pools.connect = func(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
					c, err := open(ctx, address, within)
					if address == "at-0" && err == nil {
						c = &limitedConn{c, test.capacity}
					}
					return c, err
				}
				w, _ := piped.roundTrip(t.Context())
				if w.Code != test.want || piped.counters.Sends.Load() != test.sends {
					t.Errorf("status %d, %d attempts", w.Code, piped.counters.Sends.Load())
				}
			})
		})
	}
}
