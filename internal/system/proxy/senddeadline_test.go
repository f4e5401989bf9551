package proxy

import (
	"context"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestSendDeadline checks that a request that has to be sent within 200 ms, because its server is warming up, is sent to another server
// if the connection is established later, or is established in time but the process then stalls.
func TestSendDeadline(t *testing.T) {
	for name, test := range map[string]struct{ within, opens time.Duration }{
		"in time":                {200 * time.Millisecond, 150 * time.Millisecond},
		"too late":               {200 * time.Millisecond, 210 * time.Millisecond},
		"late, at no one's cost": {0, 240 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ran := make(chan int, 4)
				serve := func(n int) serverBehavior {
					return func(c net.Conn, r *http.Request, body []byte) bool {
						ran <- n
						return respondWith(200, "x")(c, r, body)
					}
				}
				piped := newPipedProxy([]configure{withCategory(config.NonIdempotent)}, serve(0), serve(1))
				piped.fake.sendWithin = test.within
				open := piped.pools.connect
				piped.pools.connect = func(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
					if address == "at-0" {
						time.Sleep(test.opens)
					}
					return open(ctx, address, within)
				}
				w, _ := piped.roundTrip(t.Context())
				want, wantOutcomes := 0, []pick.AttemptOutcome{pick.Served}
				if test.within > 0 && test.opens > test.within {
					want, wantOutcomes = 1, []pick.AttemptOutcome{pick.ConnectFailed, pick.Served}
				}
				if w.Code != http.StatusOK || len(ran) != 1 || <-ran != want || !slices.Equal(piped.fake.outcomes, wantOutcomes) {
					t.Errorf("status %d, attempts ended as %v, want %v at server %d", w.Code, piped.fake.outcomes, wantOutcomes, want)
				}
			})
		})
	}
}
