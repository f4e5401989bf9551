package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestUnbufferedNotExecutedStatus covers a server that responds with a not-executed status without X-Not-Executed and with a body
// that is too long to be buffered: the status is not forwarded, because the server did not state that it did not execute the request.
func TestUnbufferedNotExecutedStatus(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+1)
	for _, status := range []int{408, 429, 503} {
		for _, category := range []config.Category{config.NonIdempotent, config.Idempotent} {
			t.Run(fmt.Sprint(status, category), func(t *testing.T) {
				proxy := startProxy(t, []*fakeServer{startServer(t, respondWith(status, long)), startServer(t, respondWith(200, "second"))}, withCategory(category))
				want, wantOutcomes := http.StatusBadGateway, []pick.AttemptOutcome{pick.ServerError}
				if category == config.Idempotent {
					want, wantOutcomes = http.StatusOK, append(wantOutcomes, pick.Served)
				}
				if got := proxy.roundTrip(t, "id-1", ""); got.StatusCode != want {
					t.Errorf("status %d, want %d", got.StatusCode, want)
				}
				if outcomes := proxy.outcomes(); !slices.Equal(outcomes, wantOutcomes) {
					t.Errorf("attempts ended as %v, want %v", outcomes, wantOutcomes)
				}
			})
		}
	}
}

// TestSuccessNotExecuted covers a success that also states that the request was not executed: because both cannot be true, neither is
// trusted, and a non-idempotent request is not sent to another server.
func TestSuccessNotExecuted(t *testing.T) {
	second := startServer(t, respondWith(200, "second"))
	proxy := startProxy(t, []*fakeServer{startServer(t, respondWith(200, "first", "X-Not-Executed: 1")), second})
	if got := proxy.roundTrip(t, "id-1", ""); got.StatusCode != http.StatusBadGateway || len(second.requests) > 0 {
		t.Errorf("status %d, %d further attempts", got.StatusCode, len(second.requests))
	}
}
