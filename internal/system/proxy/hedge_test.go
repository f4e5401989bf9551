package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// pauseThen is silent for a time and then goes on.
func pauseThen(pause time.Duration, then serverBehavior) serverBehavior {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		time.Sleep(pause) // of the bubble's clock
		return then(c, r, body)
	}
}

// continueEvents sends events on a stream that has begun, and ends it.
func continueEvents(from, to int) serverBehavior {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		for id := from; id <= to; id++ {
			_, _ = io.WriteString(c, eventChunk(id))
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// TestSilentServerStaysUntilAnotherAccepts plays a server that is silent in the middle of a resumable stream, or before its response, and
// goes on later. Another server is offered the request meanwhile. It guards against a request that is lost because its server was given up
// before the other one had accepted it.
func TestSilentServerStaysUntilAnotherAccepts(t *testing.T) {
	const gap, silence = 1200 * time.Millisecond, 1600 * time.Millisecond // after which another server is asked
	closeConn := func(net.Conn, *http.Request, []byte) bool { return false }
	refuse := respondWith(503, "", "X-Not-Executed: full")
	pausing := respondEventsThen(3, pauseThen(2*time.Second, continueEvents(4, 6)))
	resumeLate := pauseThen(1500*time.Millisecond, respondEvents(4, 6, true))
	for _, test := range []struct {
		name     string
		how      configure
		servers  []serverBehavior
		body     string
		took     time.Duration
		outcomes []pick.AttemptOutcome
	}{
		{"refused", withResumable, []serverBehavior{pausing, refuse}, streamText(1, 6), 2 * time.Second, []pick.AttemptOutcome{pick.NotExecuted, pick.Served}},
		{"refused twice", withResumable, []serverBehavior{pausing, refuse, refuse}, streamText(1, 6), 2 * time.Second,
			[]pick.AttemptOutcome{pick.NotExecuted, pick.NotExecuted, pick.Served}},
		{"refused, then accepted", withResumable, []serverBehavior{pausing, refuse, respondEvents(4, 6, true)}, streamText(1, 6), gap,
			[]pick.AttemptOutcome{pick.NotExecuted, pick.TimedOut, pick.Served}},
		{"unreachable", withResumable, []serverBehavior{pausing, nil}, streamText(1, 6), 2 * time.Second, []pick.AttemptOutcome{pick.ConnectFailed, pick.Served}},
		{"failed", withResumable, []serverBehavior{pausing, respondWith(500, "x")}, streamText(1, 6), 2 * time.Second, []pick.AttemptOutcome{pick.ServerError, pick.Served}},
		{"broken off", withResumable, []serverBehavior{pausing, closeConn}, streamText(1, 6), 2 * time.Second, []pick.AttemptOutcome{pick.ConnectionLost, pick.Served}},
		{"accepted", withResumable, []serverBehavior{pausing, respondEvents(4, 6, true)}, streamText(1, 6), gap, []pick.AttemptOutcome{pick.TimedOut, pick.Served}},
		{"accepted too late", withResumable, []serverBehavior{pausing, resumeLate}, streamText(1, 6), 2 * time.Second,
			[]pick.AttemptOutcome{pick.Canceled, pick.Served}},
		{"the silent one breaks off", withResumable, []serverBehavior{respondEventsThen(3, pauseThen(2*time.Second, closeConn)), resumeLate}, streamText(1, 6),
			gap + 1500*time.Millisecond, []pick.AttemptOutcome{pick.ConnectionLost, pick.Served}},
		{"refused before the response", withCategory(config.Idempotent), []serverBehavior{pauseThen(2*time.Second, respondWith(200, "x")), refuse}, "x", 2 * time.Second,
			[]pick.AttemptOutcome{pick.NotExecuted, pick.Served}},
		{"accepted before the response", withCategory(config.Idempotent), []serverBehavior{pauseThen(2*time.Second, respondWith(200, "x")), respondWith(200, "y")}, "y",
			silence, []pick.AttemptOutcome{pick.TimedOut, pick.Served}},
		{"may run once", withCategory(config.NonIdempotent), []serverBehavior{pauseThen(2*time.Second, respondWith(200, "x")), respondWith(200, "y")}, "x",
			2 * time.Second, []pick.AttemptOutcome{pick.Served}},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				piped := newPipedProxy([]configure{test.how}, test.servers...)
				w, took := piped.roundTrip(t.Context())
				time.Sleep(3 * time.Second) // of the bubble's clock, so that all servers end
				if w.Code != http.StatusOK || w.Body.String() != test.body || took != test.took || !slices.Equal(piped.fake.outcomes, test.outcomes) {
					t.Errorf("status %d, body %q after %v, attempts ended as %v", w.Code, w.Body.String(), took, piped.fake.outcomes)
				}
			})
		})
	}
}

// TestReplacementEndsWithItsClient covers a client that disconnects while another server is offered its request: both attempts end at once.
func TestReplacementEndsWithItsClient(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		piped := newPipedProxy([]configure{withResumable}, respondEventsThen(3, neverRespond), neverRespond)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		_, took := piped.roundTrip(ctx)
		if want := []pick.AttemptOutcome{pick.Canceled, pick.Canceled}; took != 1500*time.Millisecond || !slices.Equal(piped.fake.outcomes, want) {
			t.Errorf("request ended after %v, attempts ended as %v", took, piped.fake.outcomes)
		}
	})
}

// TestReplacementsAreWithinTheAttempts covers a stream of which all servers but the silent one refuse to continue it: no more servers are
// asked than the route allows.
func TestReplacementsAreWithinTheAttempts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		refuse := respondWith(503, "", "X-Not-Executed: full")
		piped := newPipedProxy([]configure{withResumable}, respondEventsThen(3, neverRespond), refuse, refuse, refuse, refuse)
		piped.roundTrip(t.Context())
		if asked := len(piped.requests); asked != 3 {
			t.Errorf("%d servers were sent the request, want MaxAttempts = 3", asked)
		}
	})
}
