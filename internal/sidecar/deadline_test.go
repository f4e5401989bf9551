package sidecar

import (
	"context"
	"log/slog"
	"net/url"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// startedCall is a call that a host without a loop has begun: it has one attempt, which a silent server has whole. The
// test takes the loop's place, and no timer of the call fires during it.
type startedCall struct {
	*call
	t    *testing.T
	host *host
}

func startCall(t *testing.T, class string) *startedCall {
	t.Helper()
	b := startBackend(t, silent)
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
	s := &startedCall{t: t, host: h, call: &call{class: c.Names.Class[class], tenant: -1, answered: make(chan answer, 1),
		deadline: time.Now().Add(time.Hour),
		message:  message{method: "POST", uri: &url.URL{Path: "/api"}, id: "id-1", key: "k-1", wait: time.Hour}}}
	h.now = h.clock()
	h.begin(s.call)
	within(t, b.came, "attempt")
	return s
}

// attemptTimedOut ends the attempt as its timer does, and takes in what is posted until its result is among that.
func (s *startedCall) attemptTimedOut() {
	s.t.Helper()
	s.attempts[0].cancel(context.DeadlineExceeded)
	for s.out > 0 {
		within(s.t, s.host.wake, "result")
		s.host.mu.Lock()
		queue := s.host.queue
		s.host.queue = nil
		s.host.mu.Unlock()
		for _, e := range queue {
			e.do()
		}
	}
}

// overdue takes in that the deadline of the call has passed.
func (s *startedCall) overdue() { s.host.abandon(s.call, true) }

// TestDeadlineOrder has the result of an attempt that timed out come before the call is found overdue, and after it: the
// answer is the same, and so is what is counted.
func TestDeadlineOrder(t *testing.T) {
	type step = func(*startedCall)
	attempt, overdue := (*startedCall).attemptTimedOut, (*startedCall).overdue
	for _, class := range []struct {
		name string
		want answerKind
	}{{"read", refused}, {"book", refused}, {"pay", failed}} {
		for _, order := range []struct {
			name  string
			steps []step
		}{{"result first", []step{attempt, overdue}}, {"deadline first", []step{overdue, attempt}}} {
			t.Run(class.name+", "+order.name, func(t *testing.T) {
				s := startCall(t, class.name)
				s.host.now = s.deadline.Add(answerMargin / 2).Sub(s.host.origin)
				for i, do := range order.steps {
					do(s)
					if n := len(s.answered); n != 1 {
						t.Fatalf("%d answers after step %d", n, i)
					}
				}
				if a := <-s.answered; a.kind != class.want || a.after != 0 {
					t.Errorf("answer %+v, want kind %d at once", a, class.want)
				}
				for outcome := range s.host.counts.attempts {
					want := int64(0)
					if balance.Outcome(outcome) == balance.TimedOut {
						want = 1
					}
					if n := s.host.counts.attempts[outcome].Load(); int64(n) != want {
						t.Errorf("%d attempts with outcome %d, want %d", n, outcome, want)
					}
				}
				if len(s.host.calls) != 0 {
					t.Error("the call is not forgotten")
				}
			})
		}
	}
}
