package link

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestRetry checks that a lasting error is told once and waited for ever longer, up to a bound, and that a closed socket and a stop end it.
func TestRetry(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		told := 0
		retry := Retry{OnError: func(error) { told++ }}
		waited := func(err error) time.Duration {
			began := time.Now()
			if !retry.After(err) {
				t.Fatalf("%v ends the socket", err)
			}
			return time.Since(began)
		}
		for _, want := range []time.Duration{5, 10, 20, 40, 80, 160, 320, 640, 1000, 1000} {
			if got := waited(&net.OpError{Op: "accept", Err: syscall.EMFILE}); got != want*time.Millisecond {
				t.Errorf("waited %v, want %v ms", got, int64(want))
			}
		}
		if told != 1 {
			t.Errorf("told %d times, want once", told)
		}
		retry.Reset()
		if got := waited(syscall.EMFILE); got != minRetryDelay || told != 2 {
			t.Errorf("after a success: waited %v, told %d times", got, told)
		}
		if got := waited(syscall.ECONNABORTED); got != 0 || told != 2 {
			t.Errorf("a connection that its caller gave up: waited %v, told %d times", got, told)
		}
		if retry.After(&net.OpError{Op: "accept", Err: net.ErrClosed}) {
			t.Error("a closed socket is used again")
		}
		stopped := make(chan struct{})
		close(stopped)
		retry.Stop = stopped
		if retry.After(syscall.EMFILE) {
			t.Error("a socket is used again after the stop")
		}
	})
}
