package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestIdleTimeouts leaves connections idle for a long time: whether they are reused depends on the time that servers announce.
func TestIdleTimeouts(t *testing.T) {
	for _, test := range []struct {
		name  string
		do    serverBehavior
		waits []time.Duration
		dials int64
	}{
		{"not announced", respondWith(200, "x"), []time.Duration{20 * time.Second, 29 * time.Second}, 1},
		{"not announced, too long", respondWith(200, "x"), []time.Duration{31 * time.Second}, 2},
		{"announced", respondWith(200, "x", "Keep-Alive: timeout=5"), []time.Duration{2 * time.Second, 2400 * time.Millisecond}, 1},
		{"announced, too long", respondWith(200, "x", "Keep-Alive: max=3, timeout=5"), []time.Duration{2600 * time.Millisecond}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				piped := newPipedProxy(nil, test.do)
				sends := 0
				send := func() {
					sends++
					r := httptest.NewRequestWithContext(t.Context(), "GET", "/a/x", nil)
					r.Host = "h.example"
					r.Header.Set(headerAttemptID, fmt.Sprint("id-", sends))
					piped.ServeHTTP(httptest.NewRecorder(), r)
				}
				send()
				for _, d := range test.waits {
					time.Sleep(d)
					send()
				}
				piped.pools.close()
				synctest.Wait()
				if n := piped.Counters().Dials.Load(); n != test.dials {
					t.Errorf("connections opened: %d", n)
				}
			})
		})
	}
}

// TestIdleConnsAreSwept checks that idle connections that are no longer used are closed in time.
func TestIdleConnsAreSwept(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ended := make(chan time.Duration, 1)
		began := time.Now()
		piped := newPipedProxy(nil, func(c net.Conn, r *http.Request, body []byte) bool {
			respondWith(200, "x", "Keep-Alive: timeout=10")(c, r, body)
			_, _ = io.ReadAll(c)
			ended <- time.Since(began)
			return false
		})
		r := httptest.NewRequestWithContext(t.Context(), "GET", "/a/x", nil)
		r.Host = "h.example"
		r.Header.Set(headerAttemptID, "id-1")
		piped.ServeHTTP(httptest.NewRecorder(), r)
		time.Sleep(time.Minute)
		if d := <-ended; d != 6*time.Second {
			t.Errorf("idle connection closed after %v", d)
		}
	})
}
