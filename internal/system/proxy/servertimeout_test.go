package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestServerTimeouts covers a first server that sends nothing, or stops sending, on a clock that the test controls.
func TestServerTimeouts(t *testing.T) {
	first := respondEventsThen(2, neverRespond)
	for _, test := range []struct {
		name     string
		how      configure
		servers  []serverBehavior
		status   int
		body     string
		took     time.Duration
		outcomes []pick.AttemptOutcome
	}{
		{"may run once", withCategory(config.NonIdempotent), []serverBehavior{neverRespond, respondWith(200, "x")}, 504, "", 8*time.Second - maxDeadlineMargin,
			[]pick.AttemptOutcome{pick.TimedOut}},
		{"may run again", withCategory(config.Idempotent), []serverBehavior{neverRespond, respondWith(200, "x")}, 200, "x", 1600 * time.Millisecond,
			[]pick.AttemptOutcome{pick.TimedOut, pick.Served}},
		{"nowhere to go", withCategory(config.Idempotent), []serverBehavior{neverRespond}, 504, "", 8*time.Second - maxDeadlineMargin, []pick.AttemptOutcome{pick.TimedOut}},
		{"half an answer, may run again", withCategory(config.Idempotent), []serverBehavior{respondEventsThen(0, neverRespond), respondWith(200, "x")}, 200, "x",
			1600 * time.Millisecond, []pick.AttemptOutcome{pick.TimedOut, pick.Served}},
		{"a stream may be resumed", withResumable, []serverBehavior{first, respondEvents(3, 4, true)}, 200, streamText(1, 4), 1200 * time.Millisecond,
			[]pick.AttemptOutcome{pick.TimedOut, pick.Served}},
		{"a stream may not be resumed", withCategory(config.Streaming), []serverBehavior{first, respondEvents(3, 4, true)}, 200, streamText(1, 2),
			8*time.Second - maxDeadlineMargin, []pick.AttemptOutcome{pick.TimedOut}},
		{"nobody answers a call", withCategory(config.NonIdempotent), []serverBehavior{nil, respondWith(200, "x")}, 200, "x", sameRegionDialTimeout,
			[]pick.AttemptOutcome{pick.ConnectFailed, pick.Served}},
		{"nobody answers any call", withCategory(config.NonIdempotent), []serverBehavior{nil, nil}, 503, "", 2 * sameRegionDialTimeout,
			[]pick.AttemptOutcome{pick.ConnectFailed, pick.ConnectFailed}},
		{"all are silent", withCategory(config.Idempotent), []serverBehavior{neverRespond, neverRespond, neverRespond, neverRespond}, 504, "", 8*time.Second - maxDeadlineMargin,
			[]pick.AttemptOutcome{pick.TimedOut, pick.TimedOut, pick.TimedOut}},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				piped := newPipedProxy([]configure{test.how}, test.servers...)
				w, took := piped.roundTrip(t.Context())
				if w.Code != test.status || w.Body.String() != test.body || took != test.took || !slices.Equal(piped.fake.outcomes, test.outcomes) {
					t.Errorf("status %d, body %q after %v, attempts ended as %v", w.Code, w.Body.String(), took, piped.fake.outcomes)
				}
			})
		})
	}
}

// TestBusyServerDoesNotTimeOut covers a server that is slow with one request while it answers others: it is not abandoned.
func TestBusyServerDoesNotTimeOut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		slow := func(c net.Conn, r *http.Request, body []byte) bool {
			if r.Header.Get("X-Slow") != "" {
				time.Sleep(5 * time.Second)
			}
			return respondWith(200, "x")(c, r, body)
		}
		piped := newPipedProxy([]configure{withCategory(config.Idempotent)}, slow, respondWith(200, "other"))
		done := make(chan bool)
		go func() {
			defer close(done)
			for range 10 {
				time.Sleep(500 * time.Millisecond)
				r := httptest.NewRequestWithContext(t.Context(), "GET", "/a/x", nil)
				r.Host = "h.example"
				r.Header.Set(headerAttemptID, "id-2")
				piped.ServeHTTP(httptest.NewRecorder(), r)
			}
		}()
		w, took := piped.roundTrip(t.Context(), "X-Slow", "1")
		<-done
		piped.pools.close()
		if w.Body.String() != "x" || took != 5*time.Second {
			t.Errorf("body %q after %v", w.Body.String(), took)
		}
	})
}

// TestDeadlines checks the deadline and the time left that the server receives, for different timeouts of the client and the route.
func TestDeadlines(t *testing.T) {
	for _, test := range []struct {
		clientTimeLeft string
		serverTimeLeft time.Duration
		took           time.Duration
	}{
		{"3000", 2980 * time.Millisecond, 2980 * time.Millisecond},
		{"100", 95 * time.Millisecond, 95 * time.Millisecond},
		{"60000", 7980 * time.Millisecond, 7980 * time.Millisecond},
		{"soon", 7980 * time.Millisecond, 7980 * time.Millisecond},
		{"-5", 7980 * time.Millisecond, 7980 * time.Millisecond},
	} {
		t.Run("X-Time-Left-Ms "+test.clientTimeLeft, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				piped := newPipedProxy(nil, neverRespond)
				w, took := piped.roundTrip(t.Context(), headerTimeLeft, test.clientTimeLeft)
				r := <-piped.requests
				timeLeft, _ := parseMilliseconds(r.Header.Get(headerTimeLeft))
				if w.Code != http.StatusGatewayTimeout || took != test.took || timeLeft != test.serverTimeLeft {
					t.Errorf("status %d after %v, time left for the server %v", w.Code, took, timeLeft)
				}
			})
		})
	}
	bubble.Test(t, func(t *testing.T) {
		piped := newPipedProxy(nil, neverRespond)
		if w, took := piped.roundTrip(t.Context(), headerTimeLeft, "0"); w.Code != http.StatusServiceUnavailable || took != 0 || len(piped.requests) > 0 {
			t.Errorf("status %d after %v, %d attempts", w.Code, took, len(piped.requests))
		}
	})
}

// TestClientGone covers a client that disconnects while a server is working: the attempt ends immediately.
func TestClientGone(t *testing.T) {
	for name, behavior := range map[string]serverBehavior{"before the response": neverRespond,
		"within a stream": respondEventsThen(2, neverRespond)} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				piped := newPipedProxy([]configure{withCategory(config.Streaming)}, behavior, respondWith(200, "x"))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, took := piped.roundTrip(ctx)
				if took != time.Second || !slices.Equal(piped.fake.outcomes, []pick.AttemptOutcome{pick.Canceled}) || piped.Counters().ClientGone.Load() != 1 {
					t.Errorf("request ended after %v, attempts ended as %v", took, piped.fake.outcomes)
				}
			})
		})
	}
}

// TestLateResponse covers a server that responds after the deadline: its connection is closed by then, and the next request is sent on
// another connection and gets its own response.
func TestLateResponse(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		late := make(chan error, 1)
		piped := newPipedProxy([]configure{withCategory(config.NonIdempotent)}, func(c net.Conn, r *http.Request, body []byte) bool {
			if r.Header.Get(headerAttemptID) == "id-1" {
				time.Sleep(9 * time.Second)
				_, err := fmt.Fprintf(c, "%sContent-Length: 4\r\n\r\nlate", head(r, 200))
				late <- err
				return err == nil
			}
			return respondWith(200, "own")(c, r, body)
		})
		ask := func(id string) *httptest.ResponseRecorder {
			r := httptest.NewRequestWithContext(t.Context(), "POST", "/a/x", strings.NewReader("body"))
			r.Host = "h.example"
			r.Header.Set(headerAttemptID, id)
			w := httptest.NewRecorder()
			piped.ServeHTTP(w, r)
			return w
		}
		began := time.Now()
		if w := ask("id-1"); w.Code != http.StatusGatewayTimeout {
			t.Errorf("status %d", w.Code)
		}
		if err := <-late; err == nil || time.Since(began) != 9*time.Second {
			t.Errorf("the late response's write ended after %v with %v: its connection was still open", time.Since(began), err)
		}
		if w := ask("id-2"); w.Code != http.StatusOK || w.Body.String() != "own" || piped.counters.Dials.Load() != 2 {
			t.Errorf("status %d, body %q, %d connections", w.Code, w.Body.String(), piped.counters.Dials.Load())
		}
		piped.pools.close()
		synctest.Wait()
	})
}
