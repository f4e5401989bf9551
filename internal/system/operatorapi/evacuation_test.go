package operatorapi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// scriptedChain answers with the results of its functions, and records the submitted changes.
type scriptedChain struct {
	read      func(ctx context.Context) (*controlstate.State, error)
	submit    func(controlstate.Change) controlstate.Verdict
	submitted []controlstate.Change
}

func (s *scriptedChain) Read(ctx context.Context) (*controlstate.State, error) { return s.read(ctx) }

func (s *scriptedChain) Submit(_ context.Context, c controlstate.Change) (controlstate.Verdict, error) {
	s.submitted = append(s.submitted, c)
	return s.submit(c), nil
}

func stateAt(seq uint64) *controlstate.State { return &controlstate.State{Seq: seq} }

func accepted(controlstate.Change) controlstate.Verdict {
	return controlstate.Verdict{Kind: controlstate.Accepted, Seq: 1}
}

// TestEvacuationFence checks that the fence is the state known when the request arrived, not one that a majority confirmed later, and
// that a superseded change is not retried with a newer fence.
func TestEvacuationFence(t *testing.T) {
	for name, test := range map[string]struct {
		superseded, known, late bool
		status                  int
		fence                   int64
	}{
		"known here":         {false, true, false, 200, 3},
		"nothing known here": {false, false, false, 200, 11},
		"superseded":         {true, true, false, 503, 3},
		"the control":        {false, true, true, 200, 11},
	} {
		t.Run(name, func(t *testing.T) {
			chain := &scriptedChain{read: func(context.Context) (*controlstate.State, error) { return stateAt(11), nil }, submit: accepted}
			if test.superseded {
				chain.submit = func(controlstate.Change) controlstate.Verdict {
					return controlstate.Verdict{Kind: controlstate.Superseded}
				}
			}
			options := Options{Chain: chain, Log: discardLog(), knobs: TestingKnobs{FenceByConfirmedState: test.late}}
			if test.known {
				options.CommittedState = func() *controlstate.State { return stateAt(3) }
			}
			w := serve(t, Handler(options), "POST", "/Evacuation.Start/z", "")
			if w.Code != test.status || len(chain.submitted) != 1 || chain.submitted[0].Base != test.fence {
				t.Errorf("status %d, submitted %+v", w.Code, chain.submitted)
			}
		})
	}
}

// TestEvacuationDropped checks that a change is not submitted if its caller disconnected or the linearizable read took too long.
func TestEvacuationDropped(t *testing.T) {
	for name, test := range map[string]struct {
		read func(cancel func()) // runs during the linearizable read
		sent int
	}{
		"in time":         {func(func()) { time.Sleep(chainTimeout - time.Millisecond) }, 1}, // of the bubble's clock
		"too late":        {func(func()) { time.Sleep(chainTimeout) }, 0},
		"long after":      {func(func()) { time.Sleep(20 * time.Second) }, 0},
		"the caller left": {func(cancel func()) { cancel() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for _, submitForGoneCallers := range []bool{false, true} {
				bubble.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					chain := &scriptedChain{submit: accepted, read: func(context.Context) (*controlstate.State, error) {
						test.read(cancel)
						return stateAt(4), nil
					}}
					handler := Handler(Options{Chain: chain, Log: discardLog(), knobs: TestingKnobs{SubmitForGoneCallers: submitForGoneCallers}})
					w := httptest.NewRecorder()
					handler.ServeHTTP(w, httptest.NewRequestWithContext(ctx, "POST", "/Evacuation.Finish/z", nil))
					want := test.sent
					if submitForGoneCallers {
						want = 1 // the control: without the protection it is submitted
					}
					if len(chain.submitted) != want || !submitForGoneCallers && (w.Code == 200) != (want == 1) || w.Code != 200 && w.Code != 503 {
						t.Errorf("SubmitForGoneCallers %v: %d changes submitted, want %d; status %d", submitForGoneCallers, len(chain.submitted), want, w.Code)
					}
				})
			}
		})
	}
}

// TestEvacuationOfACallerThatHungUp checks, over a real connection, that a change is dropped if its bytes and the end of its connection
// arrive together, as after a partition. net/http cancels the request's context then, however the request's body is framed.
func TestEvacuationOfACallerThatHungUp(t *testing.T) {
	for name, body := range map[string]string{
		"no body": "\r\n", "an empty body": "Content-Length: 0\r\n\r\n", "a body": "Content-Length: 2\r\n\r\n{}",
		"a body in chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			noticed := make(chan bool, 1)
			chain := &scriptedChain{submit: accepted}
			entered := make(chan context.Context, 1)
			handler := Handler(Options{Chain: chain, Log: discardLog()})
			chain.read = func(context.Context) (*controlstate.State, error) {
				caller := <-entered
				select {
				case <-caller.Done():
					noticed <- true
				case <-time.After(5 * time.Second):
					noticed <- false
				}
				return stateAt(4), nil
			}
			done := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(done)
				entered <- r.Context()
				handler.ServeHTTP(w, r)
			}))
			defer server.Close()
			conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, "POST /Evacuation.Start/z HTTP/1.1\r\nHost: k\r\n"+body); err != nil {
				t.Fatal(err)
			}
			if err := conn.Close(); err != nil {
				t.Fatal(err)
			}
			<-done
			if !<-noticed || len(chain.submitted) > 0 {
				t.Errorf("%d changes submitted", len(chain.submitted))
			}
		})
	}
}

// canceledContext is the context of a caller that has disconnected, where the cancellation has not reached derived contexts yet.
type canceledContext struct{ context.Context }

func (canceledContext) Err() error { return context.Canceled }

// TestEvacuationOfACallerThatHasJustGone guards against submitting a change whose caller has disconnected: the caller's context is
// canceled, and the cancellation has not reached the context of the change yet.
func TestEvacuationOfACallerThatHasJustGone(t *testing.T) {
	chain := &scriptedChain{submit: accepted, read: func(context.Context) (*controlstate.State, error) { return stateAt(4), nil }}
	a := &api{options: Options{Chain: chain, Log: discardLog()}}
	o := changeRequest{change: controlstate.Change{Op: controlstate.OpEvacuate, Zone: "z"}, receivedAt: time.Now()}
	if _, err := a.submitWithFence(canceledContext{t.Context()}, &o, nil); !errors.Is(err, errCallerGone) || len(chain.submitted) > 0 {
		t.Errorf("%v, %d changes submitted", err, len(chain.submitted))
	}
}

// TestEvacuationAfterAStall checks that a change that is read after a stall is rejected, and that its connection is closed.
func TestEvacuationAfterAStall(t *testing.T) {
	chain := &scriptedChain{submit: accepted, read: func(context.Context) (*controlstate.State, error) { return stateAt(4), nil }}
	stalled := true
	options := Options{Chain: chain, Log: discardLog(), Stalled: func() bool { return stalled }}
	w := serve(t, Handler(options), "POST", "/Evacuation.Start/z", "")
	if w.Code != 503 || w.Header().Get("Connection") != "close" || len(chain.submitted) > 0 {
		t.Errorf("status %d, %d changes submitted", w.Code, len(chain.submitted))
	}
	// A change of the configuration is fenced by its base.
	if w := serve(t, Handler(options), "POST", "/Config.Replace", "{}", "X-Base-Version", "0"); w.Code != 200 {
		t.Errorf("a change of the configuration: status %d", w.Code)
	}
	stalled = false
	if w := serve(t, Handler(options), "POST", "/Evacuation.Start/z", ""); w.Code != 200 {
		t.Errorf("status %d", w.Code)
	}
	stalled, options.knobs.AcceptAfterStalls = true, true
	if w := serve(t, Handler(options), "POST", "/Evacuation.Start/z", ""); w.Code != 200 {
		t.Errorf("the control: status %d", w.Code)
	}
}

// TestEvacuationWithABody checks that the optional bodies of evacuations are read, within bounds.
func TestEvacuationWithABody(t *testing.T) {
	for name, test := range map[string]struct {
		body   string
		length int64
		status int
	}{
		"some": {"{}", 2, 200}, "in chunks": {"{}", -1, 200}, "cut short": {"{}", 9, 503},
		"too much": {strings.Repeat(" ", maxDiscardedBodyBytes+1), maxDiscardedBodyBytes + 1, 413},
	} {
		t.Run(name, func(t *testing.T) {
			chain := &scriptedChain{submit: accepted, read: func(context.Context) (*controlstate.State, error) { return stateAt(4), nil }}
			server := httptest.NewServer(Handler(Options{Chain: chain, Log: discardLog()}))
			t.Cleanup(server.Close)
			conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", test.length, test.body)
			if test.length < 0 {
				framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(test.body), test.body)
			}
			if _, err := io.WriteString(conn, "POST /Evacuation.Start/z HTTP/1.1\r\nHost: k\r\n"+framing); err != nil {
				t.Fatal(err)
			}
			if tcp, ok := conn.(*net.TCPConn); ok && test.length > int64(len(test.body)) {
				_ = tcp.CloseWrite()
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != test.status {
				t.Errorf("status %d, want %d", resp.StatusCode, test.status)
			}
		})
	}
}
