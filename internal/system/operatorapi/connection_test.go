package operatorapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestDelayedRequestWaits checks that a change waits for the end of its connection if that was idle for long before, since the change
// may have been delayed by a partition. A request that arrives soon after another one, or after the connection was accepted, does not
// wait.
func TestDelayedRequestWaits(t *testing.T) {
	for name, test := range map[string]struct {
		idle              time.Duration // idle time before the change
		hadEarlierRequest bool          // another request came before that
		endsAfter         time.Duration // the connection ends this long after the change; 0: it stays open
		status            int
		took              time.Duration
	}{
		"a new connection":              {time.Millisecond, false, 0, 200, 0},
		"as quiet as may be":            {idleThreshold, false, 0, 200, 0},
		"quiet for longer":              {idleThreshold + 1, false, 0, 200, connectionEndTimeout},
		"20 s on the way":               {20 * time.Second, false, 150 * time.Millisecond, 503, 150 * time.Millisecond},
		"a connection that is in use":   {time.Millisecond, true, 0, 200, 0},
		"one that is used again later":  {20 * time.Second, true, 0, 200, connectionEndTimeout},
		"20 s on the way on an old one": {20 * time.Second, true, time.Millisecond, 503, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				chain := &scriptedChain{submit: accepted, read: func(ctx context.Context) (*controlstate.State, error) {
					return stateAt(4), ctx.Err()
				}}
				handler, _ := Handler(Options{Chain: chain, Log: discardLog()}).(*connectionTracker)
				ctx, end := context.WithCancel(handler.ConnContext(t.Context(), nil))
				defer end()
				if test.hadEarlierRequest {
					time.Sleep(time.Minute) // of the bubble's clock, as below
					handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "/Config.Read", nil))
				}
				time.Sleep(test.idle)
				if test.endsAfter > 0 {
					time.AfterFunc(test.endsAfter, end)
				}
				w, start := httptest.NewRecorder(), time.Now()
				handler.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPost, "/Evacuation.Start/z", nil))
				if took := time.Since(start); w.Code != test.status || took != test.took || (len(chain.submitted) == 1) != (test.status == 200) {
					t.Errorf("status %d after %v, %d changes submitted", w.Code, took, len(chain.submitted))
				}
			})
		})
	}
}
