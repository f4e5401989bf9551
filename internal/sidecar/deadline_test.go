package sidecar

import (
	"context"
	"io"
	"log/slog"
	"net/url"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance"
)

func TestDeadline(t *testing.T) {
	b := startBackend(t, neverAnswer)
	prog := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	for _, test := range []struct {
		class  string
		status int
	}{{"pay", 502}, {"read", 503}} {
		g := prog.do(prog.request(context.Background(), test.class, "1500"))
		if g.err != nil || g.status != test.status {
			t.Errorf("%s: status %d, error %v, want %d", test.class, g.status, g.err, test.status)
		}
		within(t, b.received, "attempt")
	}
	if n := b.count(); n != 0 {
		t.Errorf("%d unexpected attempts", n)
	}
	// A request with no time left is not sent at all.
	if g := prog.do(prog.request(context.Background(), "pay", "0")); g.status != 503 || b.count() != 0 {
		t.Errorf("status %d, %d attempts", g.status, b.count())
	}
}

// testCall is a call of a host without a loop, whose only server never answers. The test runs the
// loop's events itself, and no timer of the call fires during the test.
type testCall struct {
	*call
	t      *testing.T
	host   *host
	server *backend
}

func newTestCall(t *testing.T, class string) *testCall {
	t.Helper()
	b := startBackend(t, neverAnswer)
	c, err := load(t, configText("127.0.0.1:9", serving(1, b), testSettings))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h, err := newHost(ctx, c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	h.now = h.clock()
	return &testCall{t: t, host: h, server: b, call: &call{class: c.Names.Class[class], tenant: -1,
		answered: make(chan answer, 1), deadline: time.Now().Add(time.Hour),
		message: message{method: "POST", url: &url.URL{Path: "/api"}, id: "id-1", key: "k-1", timeout: time.Hour}}}
}

// begin passes the call to the host, and waits until the server has received its one attempt.
func (s *testCall) begin() {
	s.t.Helper()
	s.host.beginCall(s.call)
	within(s.t, s.server.received, "attempt")
}

// processEvents waits until an event is posted, and runs all that are queued.
func (s *testCall) processEvents() {
	s.t.Helper()
	within(s.t, s.host.wake, "event")
	s.host.mu.Lock()
	queue := s.host.queue
	s.host.queue = nil
	s.host.mu.Unlock()
	for _, e := range queue {
		e.do()
	}
}

// attemptTimedOut ends the attempt as its timer would, and processes its result.
func (s *testCall) attemptTimedOut() {
	s.t.Helper()
	s.attempts[0].cancel(context.DeadlineExceeded)
	for s.inFlight > 0 {
		s.processEvents()
	}
}

// passDeadline advances the host's time to when the call's timer would fire.
func (s *testCall) passDeadline() {
	s.t.Helper()
	if s.overdueTimer == nil {
		s.t.Fatal("the call has no timer")
	}
	s.host.now = s.deadline.Add(answerMargin / 2).Sub(s.host.origin)
}

// overdue does what the call's timer would post.
func (s *testCall) overdue() { s.host.abandon(s.call, true) }

// checkOneTimedOut checks that the call had one attempt, which timed out, and that the host has removed the call.
func (s *testCall) checkOneTimedOut(t *testing.T) {
	t.Helper()
	for outcome := range s.host.counts.attempts {
		want := int64(0)
		if balance.Outcome(outcome) == balance.TimedOut {
			want = 1
		}
		if n := s.host.counts.attempts[outcome].Load(); n != want {
			t.Errorf("%d attempts with outcome %d, want %d", n, outcome, want)
		}
	}
	if len(s.host.calls) != 0 {
		t.Error("the host still has the call")
	}
}

// TestDeadlineOrder processes the result of an attempt that timed out before and after the call's own
// timer: the answer and the counters must be the same.
func TestDeadlineOrder(t *testing.T) {
	type step = func(*testCall)
	attempt, overdue := (*testCall).attemptTimedOut, (*testCall).overdue
	for _, class := range []struct {
		name string
		want answerKind
	}{{"read", refused}, {"book", refused}, {"pay", failed}} {
		for _, order := range []struct {
			name  string
			steps []step
		}{{"result first", []step{attempt, overdue}}, {"deadline first", []step{overdue, attempt}}} {
			t.Run(class.name+", "+order.name, func(t *testing.T) {
				played := newTestCall(t, class.name)
				played.begin()
				played.passDeadline()
				for i, do := range order.steps {
					do(played)
					if n := len(played.answered); n != 1 {
						t.Fatalf("%d answers after step %d", n, i)
					}
				}
				if a := <-played.answered; a.kind != class.want || a.retryAfter != 0 {
					t.Errorf("answer %+v, want kind %d at once", a, class.want)
				}
				played.checkOneTimedOut(t)
			})
		}
	}
}

// TestDeadlineBehindBody forwards a body while it is still arriving. No timer of the call may be started
// before the body is complete: a timer that is started and stopped immediately may have fired.
func TestDeadlineBehindBody(t *testing.T) {
	played := newTestCall(t, "read")
	played.deadline = time.Time{}
	played.rest, played.length = &upload{}, -1
	played.rest.mu.Lock() // the body is still arriving
	answers := make(chan answer, 1)
	go func() {
		a, _ := played.host.serve(context.Background(), played.call)
		answers <- a
	}()
	for len(played.attempts) == 0 {
		played.processEvents()
	}
	early := played.overdueTimer != nil
	played.rest.err = io.EOF
	played.rest.mu.Unlock()
	if early {
		t.Fatal("the call's timer was started before its body was complete")
	}
	within(t, played.server.received, "attempt")
	played.host.bodyComplete(played.call)
	played.passDeadline()
	played.overdue()
	if a := within(t, answers, "answer"); a.kind != refused {
		t.Errorf("answer %+v, want a refusal", a)
	}
	played.attemptTimedOut()
}
