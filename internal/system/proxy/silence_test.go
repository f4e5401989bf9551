package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// piped is a proxy whose servers are functions at the other ends of pipes, on a clock that the test drives.
type piped struct {
	*Proxy
	pick    *toyPicker
	servers map[string]deed // by address
	came    chan *seen
}

func newPiped(changes []change, servers ...deed) *piped {
	route := &config.Route{Name: "r", Host: "h.example", Prefix: "/a/", Category: config.NonIdempotent, Timeout: 8 * time.Second,
		LatencyTarget: 800 * time.Millisecond, EventGapTarget: 600 * time.Millisecond, MaxAttempts: 3}
	config := &config.Config{Routes: []*config.Route{route}, Services: map[string]*config.Service{"s": {Name: "s", MaxConns: 100}}}
	o := Options{}
	for _, c := range changes {
		c(&o, config)
	}
	toy := &toyPicker{route: route, down: map[string]bool{}, sent: map[uint64]string{}}
	p := &piped{newProxy(o, toy), toy, map[string]deed{}, make(chan *seen, 100)}
	w := pick.ClusterState{Config: config}
	for i, do := range servers {
		at := fmt.Sprint("at-", i)
		p.servers[at] = do
		w.Servers = append(w.Servers, pick.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: at})
	}
	p.UpdateClusterState(time.Now(), w)
	p.upstream.open = func(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
		do := p.servers[address]
		if do == nil { // nobody answers
			ctx, cancel := context.WithTimeout(ctx, within)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := net.Pipe()
		s := &fakeServer{came: p.came}
		go s.serve(far, do)
		return near, nil
	}
	return p
}

// ask has a client ask and wait for the answer, and tells how long that took.
func (p *piped) ask(ctx context.Context, more ...string) (*httptest.ResponseRecorder, time.Duration) {
	r := httptest.NewRequestWithContext(ctx, "POST", "/a/x", strings.NewReader("body"))
	r.Host = "h.example"
	r.Header.Set(attemptID, "id-1")
	for i := 0; i < len(more); i += 2 {
		r.Header.Set(more[i], more[i+1])
	}
	w := httptest.NewRecorder()
	began := time.Now()
	p.ServeHTTP(w, r)
	took := time.Since(began)
	p.upstream.close()
	synctest.Wait()
	return w, took
}

// TestSilence has a first server say nothing, or stop saying, on a clock that the test drives.
func TestSilence(t *testing.T) {
	first := stream(1, 2, mute)
	for _, tt := range []struct {
		name     string
		how      change
		servers  []deed
		status   int
		body     string
		took     time.Duration
		outcomes []pick.Outcome
	}{
		{"may run once", category(config.NonIdempotent), []deed{mute, say(200, "x")}, 504, "", 8*time.Second - mostMargin,
			[]pick.Outcome{pick.TimedOut}},
		{"may run again", category(config.Idempotent), []deed{mute, say(200, "x")}, 200, "x", 1600 * time.Millisecond,
			[]pick.Outcome{pick.TimedOut, pick.Served}},
		{"nowhere to go", category(config.Idempotent), []deed{mute}, 504, "", 8*time.Second - mostMargin, []pick.Outcome{pick.TimedOut}},
		{"half an answer, may run again", category(config.Idempotent), []deed{stream(1, 0, mute), say(200, "x")}, 200, "x",
			1600 * time.Millisecond, []pick.Outcome{pick.TimedOut, pick.Served}},
		{"a stream may be resumed", resumable, []deed{first, eventsOf(3, 4, true)}, 200, streamText(1, 4), 1200 * time.Millisecond,
			[]pick.Outcome{pick.TimedOut, pick.Served}},
		{"a stream may not be resumed", category(config.Streaming), []deed{first, eventsOf(3, 4, true)}, 200, streamText(1, 2),
			8*time.Second - mostMargin, []pick.Outcome{pick.TimedOut}},
		{"nobody answers a call", category(config.NonIdempotent), []deed{nil, say(200, "x")}, 200, "x", dialNear,
			[]pick.Outcome{pick.ConnectFailed, pick.Served}},
		{"nobody answers any call", category(config.NonIdempotent), []deed{nil, nil}, 503, "", 2 * dialNear,
			[]pick.Outcome{pick.ConnectFailed, pick.ConnectFailed}},
		{"all are silent", category(config.Idempotent), []deed{mute, mute, mute, mute}, 504, "", 8*time.Second - mostMargin,
			[]pick.Outcome{pick.TimedOut, pick.TimedOut, pick.TimedOut}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPiped([]change{tt.how}, tt.servers...)
				w, took := p.ask(t.Context())
				if w.Code != tt.status || w.Body.String() != tt.body || took != tt.took || !slices.Equal(p.pick.ends, tt.outcomes) {
					t.Errorf("status %d, body %q after %v, sends ended as %v", w.Code, w.Body.String(), took, p.pick.ends)
				}
			})
		})
	}
}

// TestBusy has a server be slow with one request while it answers others: it is not left.
func TestBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(c net.Conn, r *http.Request, body []byte) bool {
			if r.Header.Get("X-Slow") != "" {
				time.Sleep(5 * time.Second)
			}
			return say(200, "x")(c, r, body)
		}
		p := newPiped([]change{category(config.Idempotent)}, slow, say(200, "other"))
		done := make(chan bool)
		go func() {
			defer close(done)
			for range 10 {
				time.Sleep(500 * time.Millisecond)
				r := httptest.NewRequest("GET", "/a/x", nil)
				r.Host = "h.example"
				r.Header.Set(attemptID, "id-2")
				p.ServeHTTP(httptest.NewRecorder(), r)
			}
		}()
		w, took := p.ask(t.Context(), "X-Slow", "1")
		<-done
		p.upstream.close()
		if w.Body.String() != "x" || took != 5*time.Second {
			t.Errorf("%q after %v", w.Body.String(), took)
		}
	})
}

// TestDeadlines compares what a client waits, what the route allows, and what the server is told.
func TestDeadlines(t *testing.T) {
	for _, tt := range []struct {
		says string
		told time.Duration
		took time.Duration
	}{
		{"3000", 2980 * time.Millisecond, 2980 * time.Millisecond},
		{"100", 95 * time.Millisecond, 95 * time.Millisecond},
		{"60000", 7980 * time.Millisecond, 7980 * time.Millisecond},
		{"soon", 7980 * time.Millisecond, 7980 * time.Millisecond},
		{"-5", 7980 * time.Millisecond, 7980 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newPiped(nil, mute)
			w, took := p.ask(t.Context(), timeLeft, tt.says)
			r := <-p.came
			if told, _ := millis(r.Header.Get(timeLeft)); w.Code != 504 || took != tt.took || told != tt.told {
				t.Errorf("%s: status %d after %v, told %v", tt.says, w.Code, took, told)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		p := newPiped(nil, mute)
		if w, took := p.ask(t.Context(), timeLeft, "0"); w.Code != 503 || took != 0 || len(p.came) > 0 {
			t.Errorf("status %d after %v, %d sends", w.Code, took, len(p.came))
		}
	})
}

// TestClientGone has a client go away while a server works: the send ends at once.
func TestClientGone(t *testing.T) {
	for _, do := range []deed{mute, stream(1, 2, mute)} {
		synctest.Test(t, func(t *testing.T) {
			p := newPiped([]change{category(config.Streaming)}, do, say(200, "x"))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, took := p.ask(ctx)
			if took != time.Second || !slices.Equal(p.pick.ends, []pick.Outcome{pick.Canceled}) || p.Counters().ClientGone.Load() != 1 {
				t.Errorf("after %v, sends ended as %v", took, p.pick.ends)
			}
		})
	}
}

// TestIdleTimes has connections idle for long: which are used again depends on what servers tell and show.
func TestIdleTimes(t *testing.T) {
	for _, tt := range []struct {
		name  string
		do    deed
		waits []time.Duration
		dials int64
	}{
		{"not told", say(200, "x"), []time.Duration{20 * time.Second, 29 * time.Second}, 1},
		{"not told, too long", say(200, "x"), []time.Duration{31 * time.Second}, 2},
		{"told", say(200, "x", "Keep-Alive: timeout=5"), []time.Duration{2 * time.Second, 2400 * time.Millisecond}, 1},
		{"told, too long", say(200, "x", "Keep-Alive: max=3, timeout=5"), []time.Duration{2600 * time.Millisecond}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPiped(nil, tt.do)
				sends := 0
				send := func() {
					sends++
					r := httptest.NewRequest("GET", "/a/x", nil)
					r.Host = "h.example"
					r.Header.Set(attemptID, fmt.Sprint("id-", sends))
					p.ServeHTTP(httptest.NewRecorder(), r)
				}
				send()
				for _, d := range tt.waits {
					time.Sleep(d)
					send()
				}
				p.upstream.close()
				synctest.Wait()
				if n := p.Counters().Dials.Load(); n != tt.dials {
					t.Errorf("%d connections", n)
				}
			})
		})
	}
}

// TestSweep has connections idle that nobody uses any more: they are closed in time.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Duration, 1)
		began := time.Now()
		p := newPiped(nil, func(c net.Conn, r *http.Request, body []byte) bool {
			say(200, "x", "Keep-Alive: timeout=10")(c, r, body)
			_, _ = io.ReadAll(c)
			ended <- time.Since(began)
			return false
		})
		r := httptest.NewRequest("GET", "/a/x", nil)
		r.Host = "h.example"
		r.Header.Set(attemptID, "id-1")
		p.ServeHTTP(httptest.NewRecorder(), r)
		time.Sleep(time.Minute)
		if d := <-ended; d != 6*time.Second {
			t.Errorf("closed after %v", d)
		}
	})
}

// TestLateAnswer has a server answer when the time for it is up: its connection is closed by then, and the next request goes
// out on another and gets its own answer.
func TestLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := make(chan error, 1)
		p := newPiped([]change{category(config.NonIdempotent)}, func(c net.Conn, r *http.Request, body []byte) bool {
			if r.Header.Get(attemptID) == "id-1" {
				time.Sleep(9 * time.Second)
				_, err := fmt.Fprintf(c, "%sContent-Length: 4\r\n\r\nlate", head(r, 200))
				late <- err
				return err == nil
			}
			return say(200, "own")(c, r, body)
		})
		ask := func(id string) *httptest.ResponseRecorder {
			r := httptest.NewRequest("POST", "/a/x", strings.NewReader("body"))
			r.Host = "h.example"
			r.Header.Set(attemptID, id)
			w := httptest.NewRecorder()
			p.ServeHTTP(w, r)
			return w
		}
		began := time.Now()
		if w := ask("id-1"); w.Code != 504 {
			t.Errorf("status %d", w.Code)
		}
		if err := <-late; err == nil || time.Since(began) != 9*time.Second {
			t.Errorf("the late answer's write ended after %v with %v: its connection was open still", time.Since(began), err)
		}
		if w := ask("id-2"); w.Code != 200 || w.Body.String() != "own" || p.counters.Dials.Load() != 2 {
			t.Errorf("status %d, body %q, %d connections", w.Code, w.Body.String(), p.counters.Dials.Load())
		}
		p.upstream.close()
		synctest.Wait()
	})
}
