package operatorapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
	"gradeusher.example/gradeusher/internal/testsupport/redirect"
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

// newAcceptingChain returns a chain that accepts every change, and whose reads return the state after record 4.
func newAcceptingChain() *scriptedChain {
	return &scriptedChain{submit: accepted, read: func(context.Context) (*controlstate.State, error) { return stateAt(4), nil }}
}

func stateAt(seq uint64) *controlstate.State { return &controlstate.State{Seq: seq} }

func accepted(controlstate.Change) controlstate.Verdict {
	return controlstate.Verdict{Kind: controlstate.Accepted, Seq: 1}
}

// TestEvacuationFence checks that an evacuation is submitted with the fence that its caller has received, that the fence is the record of a
// linearizable read, and that a superseded change is not retried with a newer fence.
func TestEvacuationFence(t *testing.T) {
	const confirmed = 11 // by a linearizable read
	for name, test := range map[string]struct {
		target     string
		superseded bool
		knobs      TestingKnobs
		status     int
		location   string
		submitted  []int64 // fences
	}{
		"without a fence": {target: "/Evacuation.Start/z", status: 307, location: "http://k:1/Evacuation.Start/z?fence=11"},
		"escaped zone":    {target: "/Evacuation.Start/z%20%3F", status: 307, location: "http://k:1/Evacuation.Start/z%20%3F?fence=11"},
		"with a fence":    {target: "/Evacuation.Start/z?fence=3", status: 200, submitted: []int64{3}},
		"superseded":      {target: "/Evacuation.Start/z?fence=3", superseded: true, status: 503, submitted: []int64{3}},
		"control: submitted without a redirect": {target: "/Evacuation.Start/z", knobs: TestingKnobs{SubmitWithoutRedirect: true}, status: 200,
			submitted: []int64{confirmed}},
		"control: the fence is read later": {target: "/Evacuation.Start/z?fence=3", knobs: TestingKnobs{FenceByConfirmedState: true}, status: 200,
			submitted: []int64{confirmed}},
	} {
		t.Run(name, func(t *testing.T) {
			chain := &scriptedChain{read: func(context.Context) (*controlstate.State, error) { return stateAt(confirmed), nil }, submit: accepted}
			if test.superseded {
				chain.submit = func(controlstate.Change) controlstate.Verdict {
					return controlstate.Verdict{Kind: controlstate.Superseded}
				}
			}
			w := serve(t, Handler(Options{Chain: chain, Log: discardLog(), knobs: test.knobs}), "POST", "http://k:1"+test.target, "")
			var fences []int64
			for _, change := range chain.submitted {
				fences = append(fences, change.Base)
			}
			if location := w.Header().Get("Location"); w.Code != test.status || location != test.location || !slices.Equal(fences, test.submitted) {
				t.Errorf("status %d, location %q, submitted with the fences %v", w.Code, location, fences)
			}
		})
	}
}

// TestLateEvacuationHasNoEffect plays an end of an evacuation that its caller has given up, and an evacuation that is acknowledged after
// that. The first request, or the redirected one, arrives at any later time, at the same node or another one, and the end of its connection
// later still or never. It guards against a request that undoes a newer change because it was in transit for long.
func TestLateEvacuationHasNoEffect(t *testing.T) {
	protected, unprotected := TestingKnobs{}, TestingKnobs{SubmitWithoutRedirect: true, FenceByConfirmedState: true}
	for nodes := 1; nodes <= 5; nodes++ {
		for play := range 8 * nodes {
			transit := []time.Duration{0, 100 * time.Millisecond, 3 * time.Second, time.Hour}[play%4]
			redirected, late := play/4%2 == 1, play/8
			name := fmt.Sprint(nodes, " nodes, redirected ", redirected, ", ", transit, ", at node ", late)
			bubble.Test(t, func(t *testing.T) {
				if playLateEvacuation(t, nodes, late, redirected, transit, protected) {
					t.Errorf("%s: the late request has undone the newer evacuation", name)
				}
				if !playLateEvacuation(t, nodes, late, redirected, transit, unprotected) {
					t.Errorf("%s: control: without its fence the late request has no effect either", name)
				}
			})
		}
	}
}

// playLateEvacuation reports whether the late request has undone the newer evacuation.
func playLateEvacuation(t *testing.T, nodes, late int, redirected bool, transit time.Duration, knobs TestingKnobs) (undone bool) {
	t.Helper()
	cluster := newModelCluster(0, controlstate.Empty(), TestingKnobs{}, chainKnobs{})
	chain := &scriptedChain{submit: cluster.decide, read: func(context.Context) (*controlstate.State, error) {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		return cluster.state, nil
	}}
	var apis []http.Handler
	for range nodes {
		apis = append(apis, Handler(Options{Chain: chain, Log: discardLog(), knobs: knobs}))
	}
	send := func(node int, target string) *httptest.ResponseRecorder {
		return redirect.Serve(apis[node%nodes], target, func(target string) *http.Request {
			return httptest.NewRequestWithContext(t.Context(), http.MethodPost, target, nil)
		})
	}
	mustSucceed := func(node int, target string) {
		if w := send(node, target); w.Code != http.StatusOK {
			t.Errorf("%s: status %d", target, w.Code)
		}
	}
	mustSucceed(0, "/Evacuation.Start/z")
	target := "/Evacuation.Finish/z"
	if redirected { // the caller has received the redirect and followed it
		target += "?fence=" + strconv.FormatUint(cluster.state.Seq, 10)
		if next, ok := redirect.Target(serve(t, apis[late], http.MethodPost, "/Evacuation.Finish/z", "")); ok && next != target {
			t.Errorf("redirected to %s, want %s", next, target)
		}
	}
	// The caller gives the request up, sends it again to the next node, and evacuates the zone once more.
	mustSucceed(late+1, "/Evacuation.Finish/z")
	mustSucceed(late+1, "/Evacuation.Start/z")
	time.Sleep(transit) // of the bubble's clock
	serve(t, apis[late], http.MethodPost, target, "")
	undone = !cluster.state.Evacuated["z"]
	mustSucceed(late, "/Evacuation.Finish/z") // a request in time still succeeds
	if cluster.state.Evacuated["z"] {
		t.Error("the evacuation was not ended")
	}
	cluster.pending.Wait()
	return undone
}

// TestEvacuationOfACallerThatHungUp checks, over a real connection, that a change is not submitted if its bytes and the end of its
// connection arrive together, as after a partition, however the request's body is framed.
func TestEvacuationOfACallerThatHungUp(t *testing.T) {
	for name, body := range map[string]string{
		"no body": "\r\n", "an empty body": "Content-Length: 0\r\n\r\n", "a body": "Content-Length: 2\r\n\r\n{}",
		"a body in chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			chain := newAcceptingChain()
			handler := Handler(Options{Chain: chain, Log: discardLog()})
			done := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(done)
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
			if len(chain.submitted) > 0 {
				t.Errorf("%d changes submitted", len(chain.submitted))
			}
		})
	}
}

// TestEvacuationDropped checks that a read or a submission that takes too long ends the request, and that nothing is submitted for a caller
// that received no fence, whether it waits or not.
func TestEvacuationDropped(t *testing.T) {
	const almost = chainTimeout - time.Millisecond
	for name, test := range map[string]struct {
		target      string
		takes       time.Duration
		callerStays time.Duration
		status      int
		took        time.Duration
	}{
		"a read in time":        {"/Evacuation.Finish/z", almost, time.Hour, 307, almost},
		"a read too late":       {"/Evacuation.Finish/z", chainTimeout + time.Millisecond, time.Hour, 503, chainTimeout},
		"a read long after":     {"/Evacuation.Finish/z", 20 * time.Second, time.Hour, 503, chainTimeout},
		"the caller left":       {"/Evacuation.Finish/z", 20 * time.Second, time.Millisecond, 503, time.Millisecond},
		"a submission in time":  {"/Evacuation.Finish/z?fence=4", almost, time.Hour, 200, almost},
		"a submission too late": {"/Evacuation.Finish/z?fence=4", 20 * time.Second, time.Hour, 503, chainTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.callerStays)
				defer cancel()
				chain := &slowChain{takes: test.takes}
				w, start := httptest.NewRecorder(), time.Now()
				Handler(Options{Chain: chain, Log: discardLog()}).ServeHTTP(w, httptest.NewRequestWithContext(ctx, "POST", test.target, nil))
				if took := time.Since(start); w.Code != test.status || took != test.took {
					t.Errorf("status %d after %v", w.Code, took)
				}
				if fenced := strings.Contains(test.target, "fence"); chain.submitted && !fenced {
					t.Error("a change without a fence was submitted")
				}
			})
		})
	}
}

// canceledContext is the context of a caller that has disconnected, where the cancellation has not reached derived contexts yet.
type canceledContext struct{ context.Context }

func (canceledContext) Err() error { return context.Canceled }

// TestEvacuationOfACallerThatHasJustGone guards against submitting a change of a caller that has disconnected, at the moment when its
// context is canceled and the cancellation has not reached the context of the change yet.
func TestEvacuationOfACallerThatHasJustGone(t *testing.T) {
	for _, submitWithoutRedirect := range []bool{false, true} {
		chain := newAcceptingChain()
		handler := Handler(Options{Chain: chain, Log: discardLog(), knobs: TestingKnobs{SubmitWithoutRedirect: submitWithoutRedirect}})
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(canceledContext{t.Context()}, "POST", "/Evacuation.Start/z", nil))
		if submitted := len(chain.submitted) > 0; submitted != submitWithoutRedirect {
			t.Errorf("SubmitWithoutRedirect %v: %d changes submitted", submitWithoutRedirect, len(chain.submitted))
		}
	}
}

// TestEvacuationAfterAStall checks, over a real connection, that a request that lay in the socket of a process while this was stalled is
// not submitted once the process runs again, and that a request which is sent then succeeds at once.
func TestEvacuationAfterAStall(t *testing.T) {
	for _, submitWithoutRedirect := range []bool{false, true} {
		chain := newAcceptingChain()
		handler := Handler(Options{Chain: chain, Log: discardLog(), knobs: TestingKnobs{SubmitWithoutRedirect: submitWithoutRedirect}})
		resumed, done := make(chan struct{}), make(chan struct{}, 3)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-resumed
			handler.ServeHTTP(w, r)
			done <- struct{}{}
		}))
		defer server.Close()
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "POST /Evacuation.Start/z HTTP/1.1\r\nHost: k\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if err := conn.Close(); err != nil { // its caller goes on to another node
			t.Fatal(err)
		}
		close(resumed)
		<-done
		if submitted := len(chain.submitted) > 0; submitted != submitWithoutRedirect {
			t.Errorf("SubmitWithoutRedirect %v: %d changes submitted", submitWithoutRedirect, len(chain.submitted))
		}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/Evacuation.Start/z", nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request) // follows the redirect
		if err != nil {
			t.Fatal(err)
		}
		if _ = response.Body.Close(); response.StatusCode != http.StatusOK {
			t.Errorf("a request after the stall: status %d", response.StatusCode)
		}
	}
}

// slowChain answers after a time, unless the caller's context ends before.
type slowChain struct {
	takes     time.Duration
	submitted bool
}

func (s *slowChain) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.takes):
		return nil
	}
}

func (s *slowChain) Read(ctx context.Context) (*controlstate.State, error) {
	return stateAt(4), s.wait(ctx)
}

func (s *slowChain) Submit(ctx context.Context, c controlstate.Change) (controlstate.Verdict, error) {
	s.submitted = true
	return accepted(c), s.wait(ctx)
}

// TestEvacuationWithABody checks that the optional bodies of evacuations are read, within bounds.
func TestEvacuationWithABody(t *testing.T) {
	for name, test := range map[string]struct {
		body   string
		length int64
		status int
	}{
		"some": {"{}", 2, 307}, "in chunks": {"{}", -1, 307}, "cut short": {"{}", 9, 503},
		"too much": {strings.Repeat(" ", maxDiscardedBodyBytes+1), maxDiscardedBodyBytes + 1, 413},
	} {
		t.Run(name, func(t *testing.T) {
			chain := newAcceptingChain()
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
