package balance

import (
	"testing"
	"time"
)

// TestBodyConsumed makes an attempt fail to connect, with and without part of its body having been forwarded unbuffered.
func TestBodyConsumed(t *testing.T) {
	for _, consumed := range []bool{false, true} {
		b, recorder := start(t, settings(), twoEndpoints())
		b.Request(recorder.now, Request{ID: 1, Tenant: -1, TimeLeft: time.Second, BodyIncomplete: true})
		if consumed {
			b.BodyConsumed(1)
		}
		recorder.endAttempts(b, recorder.now, ConnectFailed)
		if again := len(recorder.sent) > 0; again == consumed {
			t.Errorf("part of its body consumed: %v, request is retried: %v", consumed, again)
		}
		if ended := len(recorder.refused) > 0; ended != consumed {
			t.Errorf("part of its body consumed: %v, request is refused: %v", consumed, ended)
		}
	}
}

// TestSlowBodiesAreNotOverdue has a request body and an answer that take a long time to stream. They must not make the endpoint seem
// slow, and the request's time starts to run only with the last byte of its body.
func TestSlowBodiesAreNotOverdue(t *testing.T) {
	b, recorder := start(t, settings(), twoEndpoints()[:1])
	serveRequests(b, recorder, 40, 20*time.Millisecond)
	slow := b.byID["a"]
	usual := b.expectedLatency(slow, recorder.now)
	b.Request(recorder.now, Request{ID: 1, Tenant: -1, TimeLeft: time.Second, BodyIncomplete: true})
	b.Request(recorder.now, Request{ID: 2, Tenant: -1, TimeLeft: time.Second})
	b.AnswerStarted(recorder.now, 2, 0)
	if recorder.now += 30 * time.Second; len(recorder.sent) != 2 {
		t.Fatalf("%d attempts, want 2", len(recorder.sent))
	}
	if owed := slow.pendingSeconds(recorder.now); owed != 0 {
		t.Errorf("pendingSeconds is %.1f while the body and the answer are still arriving, want 0", owed)
	}
	if now := b.expectedLatency(slow, recorder.now); now > 2*usual {
		t.Errorf("expected latency %.3f s while streaming, %.3f s before", now, usual)
	}
	b.BodyComplete(recorder.now, 1, time.Second)
	b.BodyComplete(recorder.now, 1, time.Second) // a duplicate has no effect
	if recorder.now += time.Second / 2; slow.pendingSeconds(recorder.now) != 0.5 {
		t.Errorf("pendingSeconds is %.1f half a second after the last byte, want 0.5", slow.pendingSeconds(recorder.now))
	}
	recorder.endAttempts(b, recorder.now, Errored)
	if len(recorder.sent) == 0 && len(recorder.refused) == 0 {
		t.Error("a request whose time had just started was given up as late")
	}
	recorder.endAttempts(b, recorder.now, Served)
	if len(slow.flights) != 0 || slow.inFlight != 0 || slow.pendingSeconds(recorder.now) != 0 {
		t.Errorf("the endpoint still has attempts in flight: %+v", slow)
	}
}
