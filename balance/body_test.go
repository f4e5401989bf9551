package balance

import (
	"testing"
	"time"
)

// TestBodyConsumed has an attempt fail, unseen by its endpoint, before and after part of a body that is not held was sent.
func TestBodyConsumed(t *testing.T) {
	for _, taken := range []bool{false, true} {
		b, h := start(t, settings(), pair())
		b.Request(h.now, Request{ID: 1, Tenant: -1, TimeLeft: time.Second, BodyIncomplete: true})
		if taken {
			b.BodyConsumed(1)
		}
		h.answer(b, h.now, ConnectFailed)
		if again := len(h.sent) > 0; again == taken {
			t.Errorf("with part of its body gone: %v, it is sent again: %v", taken, again)
		}
		if ended := len(h.refused) > 0; ended != taken {
			t.Errorf("with part of its body gone: %v, it is refused: %v", taken, ended)
		}
	}
}

// TestSlowBodiesOweNothing has bodies come, and answers stream, for a long time: the endpoint does not seem slow for it,
// and a request's time begins with its last byte.
func TestSlowBodiesOweNothing(t *testing.T) {
	b, h := start(t, settings(), pair()[:1])
	serve(b, h, 40, 20*time.Millisecond)
	e := b.byID["a"]
	usual := b.expectedLatency(e, h.now)
	b.Request(h.now, Request{ID: 1, Tenant: -1, TimeLeft: time.Second, BodyIncomplete: true})
	b.Request(h.now, Request{ID: 2, Tenant: -1, TimeLeft: time.Second})
	b.AnswerStarted(h.now, 2, 0)
	if h.now += 30 * time.Second; len(h.sent) != 2 {
		t.Fatalf("%d attempts", len(h.sent))
	}
	if owed := e.owedSeconds(h.now); owed != 0 {
		t.Errorf("%.1f s are owed for what is still coming", owed)
	}
	if now := b.expectedLatency(e, h.now); now > 2*usual {
		t.Errorf("an answer is expected in %.3f s, before it was %.3f s", now, usual)
	}
	b.BodyComplete(h.now, 1, time.Second)
	b.BodyComplete(h.now, 1, time.Second) // said once too often
	if h.now += time.Second / 2; e.owedSeconds(h.now) != 0.5 {
		t.Errorf("%.1f s are owed half a second after the last byte", e.owedSeconds(h.now))
	}
	h.answer(b, h.now, Errored)
	if len(h.sent) == 0 && len(h.refused) == 0 {
		t.Error("a request whose time had just begun was given up as late")
	}
	h.answer(b, h.now, Served)
	if len(e.flights) != 0 || e.inFlight != 0 || e.owedSeconds(h.now) != 0 {
		t.Errorf("the endpoint is left with %+v", e)
	}
}
