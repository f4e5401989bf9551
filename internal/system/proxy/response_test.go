package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestResponses combines a first server that responds in different ways with a second one that responds normally. It checks what the
// client receives, how the attempts ended, and how many requests each server received, for non-idempotent and idempotent requests.
func TestResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n"
	for _, test := range []struct {
		name        string
		behavior    serverBehavior
		once, again int // expected status if non-idempotent and if idempotent; in the latter case 200 is the second server's
		outcome     pick.AttemptOutcome
	}{
		{"served", respondWith(200, "first"), 200, 200, pick.Served},
		{"created", respondWith(201, "first"), 201, 201, pick.Served},
		{"chunks", respondRaw(ok+"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n", true), 200, 200, pick.Served},
		{"interim", respondRaw("HTTP/1.1 103 X\r\nA: b\r\n\r\n"+ok+"Content-Length: 5\r\n\r\nfirst", true), 200, 200, pick.Served},
		{"its own 404", respondWith(404, "first"), 404, 404, pick.Served},
		{"its own 500", respondWith(500, "first"), 500, 200, pick.ServerError},
		{"its own 504", respondWith(504, "first"), 504, 200, pick.ServerError},
		{"503 that may have run", respondWith(503, "first"), 502, 200, pick.ServerError},
		{"429 that may have run", respondWith(429, "first"), 502, 200, pick.ServerError},
		{"408 that may have run", respondWith(408, "first"), 502, 200, pick.ServerError},
		{"full", respondWith(503, "", "X-Not-Executed: 1"), 200, 200, pick.NotExecuted},
		{"too late", respondWith(503, "no", "X-Not-Executed: true"), 200, 200, pick.NotExecuted},
		{"misdirected", respondWith(421, "", "X-Not-Executed: 1"), 200, 200, pick.Misdirected},
		{"misdirected, nothing more", respondWith(421, ""), 200, 200, pick.Misdirected},
		{"reset", resetConn, 502, 200, pick.ConnectionLost},
		{"close", respondRaw("", false), 502, 200, pick.ConnectionLost},
		{"garbage", respondRaw("what?\r\n\r\n", true), 502, 200, pick.ConnectionLost},
		{"another protocol", respondRaw("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", true), 502, 200, pick.ConnectionLost},
		{"another's answer", respondRaw("HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nfirst", true), 502, 200, pick.ConnectionLost},
		{"another's refusal", respondRaw("HTTP/1.1 503 X\r\nX-Attempt-Id: other\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true), 502, 200, pick.ConnectionLost},
		{"no id", respondRaw("HTTP/1.1 200 X\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nfirst", true), 502, 200, pick.ConnectionLost},
		{"no seal", respondRaw("HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\nContent-Length: 5\r\n\r\nfirst", true), 502, 200, pick.ConnectionLost},
		{"an encoding", respondWith(200, "first", "Content-Encoding: gzip"), 502, 200, pick.ConnectionLost},
		{"half a head", respondRaw(ok, false), 502, 200, pick.ConnectionLost},
		{"half a body", respondRaw(ok+"Content-Length: 10\r\n\r\nfirst", false), 502, 200, pick.ConnectionLost},
		{"half a chunked body", respondRaw(ok+"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n", false), 502, 200, pick.ConnectionLost},
		{"half an error", respondRaw("HTTP/1.1 500 X\r\nX-Attempt-Id: ID\r\nContent-Length: 10\r\n\r\nfirst", false), 502, 200, pick.ConnectionLost},
		{"a body up to the close", respondRaw(ok+"Connection: close\r\n\r\nfirst", false), 502, 200, pick.ConnectionLost},
		{"two lengths", respondRaw(ok+"Content-Length: 5\r\nContent-Length: 5\r\n\r\nfirst", true), 502, 200, pick.ConnectionLost},
		{"length and chunks", respondRaw(ok+"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n", true), 502, 200, pick.ConnectionLost},
		{"half a stream before its first event", respondRaw(ok+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", false), 502, 200, pick.ConnectionLost},
	} {
		t.Run(fmt.Sprint(test.name, config.NonIdempotent), func(t *testing.T) {
			checkResponse(t, config.NonIdempotent, test.behavior, expectResponse(test.outcome, test.once, test.once == http.StatusOK))
		})
		t.Run(fmt.Sprint(test.name, config.Idempotent), func(t *testing.T) {
			checkResponse(t, config.Idempotent, test.behavior, expectResponse(test.outcome, test.again, test.again == http.StatusOK))
		})
	}
}

// expectedResponse is what a client receives, and how the attempts at a first and a second server end.
type expectedResponse struct {
	status   int
	body     string
	outcomes []pick.AttemptOutcome
}

// expectResponse returns the expectation for a first attempt that ends with the given outcome. If that is not a success and the status
// is the second server's, so is the body.
func expectResponse(outcome pick.AttemptOutcome, status int, secondMayServe bool) expectedResponse {
	want := expectedResponse{status: status, body: "first", outcomes: []pick.AttemptOutcome{outcome}}
	switch {
	case outcome != pick.Served && secondMayServe:
		want.body, want.outcomes = "second", append(want.outcomes, pick.Served)
	case status == http.StatusBadGateway || status == http.StatusServiceUnavailable:
		want.body = ""
	}
	return want
}

// checkResponse sends a request to a first server with the given behavior and a second one that responds normally, and compares the
// result with the expectation.
func checkResponse(t *testing.T, category config.Category, behavior serverBehavior, want expectedResponse) {
	t.Helper()
	first, second := startServer(t, behavior), startServer(t, respondWith(200, "second"))
	proxy := startProxy(t, []*fakeServer{first, second}, withCategory(category))
	got := proxy.roundTrip(t, "id-1", "body")
	if got.StatusCode != want.status || got.body != want.body || got.err != nil || got.Header.Get(headerAttemptID) != "id-1" {
		t.Errorf("status %d, body %q, error %v, id %q; want %d, %q", got.StatusCode, got.body, got.err,
			got.Header.Get(headerAttemptID), want.status, want.body)
	}
	if outcomes := proxy.outcomes(); !slices.Equal(outcomes, want.outcomes) {
		t.Errorf("attempts ended as %v, want %v", outcomes, want.outcomes)
	}
	if len(first.requests) != 1 || len(second.requests) != len(want.outcomes)-1 {
		t.Errorf("the servers received %d and %d requests", len(first.requests), len(second.requests))
	}
}

// TestRefusals covers requests that all servers refuse, or for which no server is reachable: the response has a not-executed status.
func TestRefusals(t *testing.T) {
	full := respondWith(503, "", "X-Not-Executed: 1", "Retry-After: 0.45")
	t.Run("all are full", func(t *testing.T) {
		proxy := startProxy(t, []*fakeServer{startServer(t, full), startServer(t, full)})
		if got := proxy.roundTrip(t, "id-1", ""); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") != "0.450" {
			t.Errorf("status %d, Retry-After %q", got.StatusCode, got.Header.Get("Retry-After"))
		}
	})
	t.Run("one is full, one may have run it", func(t *testing.T) {
		proxy := startProxy(t, []*fakeServer{startServer(t, full), startServer(t, resetConn)})
		if got := proxy.roundTrip(t, "id-1", ""); got.StatusCode != http.StatusBadGateway {
			t.Errorf("status %d", got.StatusCode)
		}
	})
	t.Run("one may have run it, one is full", func(t *testing.T) {
		proxy := startProxy(t, []*fakeServer{startServer(t, resetConn), startServer(t, full)}, withCategory(config.Idempotent))
		if got := proxy.roundTrip(t, "id-1", ""); got.StatusCode != http.StatusBadGateway {
			t.Errorf("status %d", got.StatusCode)
		}
	})
	t.Run("no more tries", func(t *testing.T) {
		other := startServer(t, respondWith(200, "x"))
		proxy := startProxy(t, []*fakeServer{startServer(t, full), other},
			func(_ *Options, c *config.Config) { c.Routes[0].MaxAttempts = 1 })
		if got := proxy.roundTrip(t, "id-1", ""); got.StatusCode != http.StatusServiceUnavailable || len(other.requests) > 0 {
			t.Errorf("status %d, %d more attempts", got.StatusCode, len(other.requests))
		}
	})
	t.Run("nobody listens", func(t *testing.T) {
		proxy := startProxy(t, []*fakeServer{startServer(t, full), startServer(t, respondWith(200, "x"))})
		w := *proxy.clusterState.Load()
		w.Servers = slices.Clone(w.Servers)
		w.Servers[0].Address = closedAddress(t)
		proxy.UpdateClusterState(time.Now(), w)
		if got := proxy.roundTrip(t, "id-1", ""); got.StatusCode != http.StatusOK {
			t.Errorf("status %d", got.StatusCode)
		}
		if outcomes := proxy.outcomes(); !slices.Equal(outcomes, []pick.AttemptOutcome{pick.ConnectFailed, pick.Served}) {
			t.Errorf("attempts ended as %v", outcomes)
		}
	})
	t.Run("nobody is chosen", func(t *testing.T) {
		proxy := startProxy(t, nil)
		proxy.fake.retryAfter = 350 * time.Millisecond
		if got := proxy.roundTrip(t, "id-1", ""); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") != "0.350" {
			t.Errorf("status %d, Retry-After %q", got.StatusCode, got.Header.Get("Retry-After"))
		}
	})
	t.Run("no configuration", func(t *testing.T) {
		proxy := startProxy(t, nil)
		proxy.UpdateClusterState(time.Now(), pick.ClusterState{})
		if got := proxy.roundTrip(t, "id-1", ""); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || proxy.Ready() {
			t.Errorf("status %d, ready %v", got.StatusCode, proxy.Ready())
		}
	})
}
