package proxy

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestAnswers has a first server answer in each way and a second one well: what the client gets, how the sends ended, and
// how often each server was asked, for a request that may run once and for one that may run again.
func TestAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n"
	for _, tt := range []struct {
		name        string
		do          deed
		once, again int // status; where it may run again, 200 is the second server's
		outcome     pick.Outcome
	}{
		{"served", say(200, "first"), 200, 200, pick.Served},
		{"created", say(201, "first"), 201, 201, pick.Served},
		{"chunks", raw(ok+"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n", true), 200, 200, pick.Served},
		{"interim", raw("HTTP/1.1 103 X\r\nA: b\r\n\r\n"+ok+"Content-Length: 5\r\n\r\nfirst", true), 200, 200, pick.Served},
		{"its own 404", say(404, "first"), 404, 404, pick.Served},
		{"its own 500", say(500, "first"), 500, 200, pick.ServerError},
		{"its own 504", say(504, "first"), 504, 200, pick.ServerError},
		{"503 that may have run", say(503, "first"), 502, 200, pick.ServerError},
		{"429 that may have run", say(429, "first"), 502, 200, pick.ServerError},
		{"408 that may have run", say(408, "first"), 502, 200, pick.ServerError},
		{"full", say(503, "", "X-Not-Executed: 1"), 200, 200, pick.NotExecuted},
		{"too late", say(503, "no", "X-Not-Executed: true"), 200, 200, pick.NotExecuted},
		{"misdirected", say(421, "", "X-Not-Executed: 1"), 200, 200, pick.Misdirected},
		{"misdirected, nothing more", say(421, ""), 200, 200, pick.Misdirected},
		{"reset", reset, 502, 200, pick.ConnectionLost},
		{"close", raw("", false), 502, 200, pick.ConnectionLost},
		{"garbage", raw("what?\r\n\r\n", true), 502, 200, pick.ConnectionLost},
		{"another protocol", raw("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", true), 502, 200, pick.ConnectionLost},
		{"another's answer", raw("HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nfirst", true), 502, 200, pick.ConnectionLost},
		{"another's refusal", raw("HTTP/1.1 503 X\r\nX-Attempt-Id: other\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true), 502, 200, pick.ConnectionLost},
		{"no id", raw("HTTP/1.1 200 X\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nfirst", true), 502, 200, pick.ConnectionLost},
		{"no seal", raw("HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\nContent-Length: 5\r\n\r\nfirst", true), 502, 200, pick.ConnectionLost},
		{"an encoding", say(200, "first", "Content-Encoding: gzip"), 502, 200, pick.ConnectionLost},
		{"half a head", raw(ok, false), 502, 200, pick.ConnectionLost},
		{"half a body", raw(ok+"Content-Length: 10\r\n\r\nfirst", false), 502, 200, pick.ConnectionLost},
		{"half a chunked body", raw(ok+"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n", false), 502, 200, pick.ConnectionLost},
		{"half an error", raw("HTTP/1.1 500 X\r\nX-Attempt-Id: ID\r\nContent-Length: 10\r\n\r\nfirst", false), 502, 200, pick.ConnectionLost},
		{"a body up to the close", raw(ok+"Connection: close\r\n\r\nfirst", false), 502, 200, pick.ConnectionLost},
		{"two lengths", raw(ok+"Content-Length: 5\r\nContent-Length: 5\r\n\r\nfirst", true), 502, 200, pick.ConnectionLost},
		{"length and chunks", raw(ok+"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n", true), 502, 200, pick.ConnectionLost},
		{"half a stream before its first event", raw(ok+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", false), 502, 200, pick.ConnectionLost},
	} {
		for _, may := range []config.Category{config.NonIdempotent, config.Idempotent} {
			t.Run(fmt.Sprint(tt.name, may), func(t *testing.T) {
				first, second := startServer(t, tt.do), startServer(t, say(200, "second"))
				f := startProxy(t, []*fakeServer{first, second}, category(may))
				got := f.ask(t, "id-1", "body")
				want, outcomes := tt.once, []pick.Outcome{tt.outcome}
				if may == config.Idempotent {
					want = tt.again
				}
				body := "first"
				switch {
				case tt.outcome != pick.Served && want == 200 && (may == config.Idempotent || tt.once == 200):
					body, outcomes = "second", append(outcomes, pick.Served)
				case want == 502 || want == 503:
					body = ""
				}
				if got.StatusCode != want || got.body != body || got.err != nil || got.Header.Get(attemptID) != "id-1" {
					t.Errorf("status %d, body %q, error %v, id %q; want %d, %q", got.StatusCode, got.body, got.err,
						got.Header.Get(attemptID), want, body)
				}
				if ends := f.ends(); !slices.Equal(ends, outcomes) {
					t.Errorf("sends ended as %v, want %v", ends, outcomes)
				}
				if len(first.came) != 1 || len(second.came) != len(outcomes)-1 {
					t.Errorf("the servers were asked %d and %d times", len(first.came), len(second.came))
				}
			})
		}
	}
}

// TestRefusals has all servers refuse, or none be there: the answer promises that the request has not run.
func TestRefusals(t *testing.T) {
	full := say(503, "", "X-Not-Executed: 1", "Retry-After: 0.45")
	t.Run("all are full", func(t *testing.T) {
		f := startProxy(t, []*fakeServer{startServer(t, full), startServer(t, full)})
		if got := f.ask(t, "id-1", ""); got.StatusCode != 503 || got.Header.Get("Retry-After") != "0.450" {
			t.Errorf("status %d, Retry-After %q", got.StatusCode, got.Header.Get("Retry-After"))
		}
	})
	t.Run("one is full, one may have run it", func(t *testing.T) {
		f := startProxy(t, []*fakeServer{startServer(t, full), startServer(t, reset)})
		if got := f.ask(t, "id-1", ""); got.StatusCode != 502 {
			t.Errorf("status %d", got.StatusCode)
		}
	})
	t.Run("one may have run it, one is full", func(t *testing.T) {
		f := startProxy(t, []*fakeServer{startServer(t, reset), startServer(t, full)}, category(config.Idempotent))
		if got := f.ask(t, "id-1", ""); got.StatusCode != 502 {
			t.Errorf("status %d", got.StatusCode)
		}
	})
	t.Run("no more tries", func(t *testing.T) {
		other := startServer(t, say(200, "x"))
		f := startProxy(t, []*fakeServer{startServer(t, full), other},
			func(_ *Options, c *config.Config) { c.Routes[0].MaxAttempts = 1 })
		if got := f.ask(t, "id-1", ""); got.StatusCode != 503 || len(other.came) > 0 {
			t.Errorf("status %d, %d more sends", got.StatusCode, len(other.came))
		}
	})
	t.Run("nobody listens", func(t *testing.T) {
		f := startProxy(t, []*fakeServer{startServer(t, full), startServer(t, say(200, "x"))})
		w := *f.world.Load()
		w.Servers = slices.Clone(w.Servers)
		w.Servers[0].Address = deafAddress(t)
		f.UpdateClusterState(time.Now(), w)
		if got := f.ask(t, "id-1", ""); got.StatusCode != 200 {
			t.Errorf("status %d", got.StatusCode)
		}
		if ends := f.ends(); !slices.Equal(ends, []pick.Outcome{pick.ConnectFailed, pick.Served}) {
			t.Errorf("sends ended as %v", ends)
		}
	})
	t.Run("nobody is chosen", func(t *testing.T) {
		f := startProxy(t, nil)
		f.pick.retry = 350 * time.Millisecond
		if got := f.ask(t, "id-1", ""); got.StatusCode != 503 || got.Header.Get("Retry-After") != "0.350" {
			t.Errorf("status %d, Retry-After %q", got.StatusCode, got.Header.Get("Retry-After"))
		}
	})
	t.Run("no configuration", func(t *testing.T) {
		f := startProxy(t, nil)
		f.UpdateClusterState(time.Now(), pick.ClusterState{})
		if got := f.ask(t, "id-1", ""); got.StatusCode != 503 || got.Header.Get("Retry-After") == "" || f.Ready() {
			t.Errorf("status %d, ready %v", got.StatusCode, f.Ready())
		}
	})
}

// TestHeads has requests that go to no server.
func TestHeads(t *testing.T) {
	s := startServer(t, say(200, "x"))
	f := startProxy(t, []*fakeServer{s})
	for _, tt := range []struct {
		name, text string
		want       int
	}{
		{"no id", "POST /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n", 400},
		{"two ids", "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n", 400},
		{"another host", "GET /a/x HTTP/1.1\r\nHost: g.example\r\nX-Attempt-Id: a\r\n\r\n", 404},
		{"another path", "GET /b/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\n\r\n", 404},
		{"no path", "OPTIONS * HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\n\r\n", 404},
		{"long head", "GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\nX-A: " + strings.Repeat("x", 17<<10) + "\r\n\r\n", 431},
		{"very long head", "GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\nX-A: " + strings.Repeat("x", 69<<10) + "\r\n\r\n", 431},
		{"long body", "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\nContent-Length: 1048577\r\n\r\n", 413},
		{"long body in chunks", "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"100001\r\n" + strings.Repeat("x", 0x100001) + "\r\n0\r\n\r\n", 413},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := f.dial(t)
			go func() { _, _ = c.Write([]byte(tt.text)) }()
			resp, err := http.ReadResponse(c.in, nil)
			if err != nil || resp.StatusCode != tt.want {
				t.Errorf("%v, error %v, want %d", resp, err, tt.want)
			}
			if len(s.came) > 0 {
				t.Error("a server was asked")
			}
		})
	}
}

// TestUnchanged compares what goes in with what comes out, both ways.
func TestUnchanged(t *testing.T) {
	s := startServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		return say(200, "answer", "X-Server-Load: 3,1,8", "X-Own: v1", "X-Own: v2", "Connection: X-Hop", "X-Hop: 1",
			"Keep-Alive: timeout=9", "Content-Type: text/odd", "Date: long ago")(c, r, body)
	})
	f := startProxy(t, []*fakeServer{s})
	for _, body := range []string{"", "short", strings.Repeat("long", 20<<10)} {
		for _, chunked := range []bool{false, true} {
			c, id := f.dial(t), fmt.Sprint("i-d", len(body), chunked) // each try has its own
			text := "POST /a/b%2fc;d?q=%20&x HTTP/1.1\r\nHost: H.example:80\r\nX-Attempt-Id: " + id + "\r\nX-Time-Left-Ms: 5000\r\n" +
				"X-Model: m\r\nX-Token-Count: 10,20\r\nX-Prompt-Prefix: ff:6,1a:4\r\nConnection: X-Mine, keep-alive\r\nX-Mine: 1\r\n" +
				"X-End: 2\r\nPriority: 8\r\nX-Target-Instance: odd\r\nTE: trailers\r\nUpgrade: h2c\r\nAccept: a\r\nAccept: b\r\n"
			if chunked {
				text += "Transfer-Encoding: chunked\r\n\r\n"
				if body != "" {
					text += chunk(body[:len(body)/2+1]) + chunkOrNone(body[len(body)/2+1:])
				}
				text += "0\r\n\r\n"
			} else {
				text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
			}
			go func() { _, _ = c.Write([]byte(text)) }()
			got := c.read()
			r := within(t, s.came, "request")
			if r.Method != "POST" || r.RequestURI != "/a/b%2fc;d?q=%20&x" || r.Host != "H.example:80" || r.body != body {
				t.Errorf("%s %s at %s with %d bytes", r.Method, r.RequestURI, r.Host, len(r.body))
			}
			for name, want := range map[string]string{"X-Attempt-Id": "[" + id + "]", "X-Target-Instance": "[i-0]", "Priority": "[3]",
				"X-End": "[2]", "Accept": "[a b]", "X-Mine": "[]", "Te": "[]", "Upgrade": "[]", "Connection": "[]",
				"X-Model": "[m]", "User-Agent": "[]"} {
				if v := fmt.Sprint(r.Header[name]); v != want {
					t.Errorf("%s is %s, want %s", name, v, want)
				}
			}
			if d, ok := millis(r.Header.Get(timeLeft)); !ok || d > 5*time.Second || d < 4*time.Second {
				t.Errorf("time left %v", d)
			}
			if got.body != "answer" || fmt.Sprint(got.Header["X-Own"]) != "[v1 v2]" || got.Header.Get(serverSeal) != "seal" ||
				got.Header.Get("Content-Type") != "text/odd" || got.Header.Get("Date") != "long ago" ||
				got.Header["X-Hop"] != nil || got.Header["Keep-Alive"] != nil || got.Header["Connection"] != nil {
				t.Errorf("answer %q, %v", got.body, got.Header)
			}
		}
	}
	if f.pick.load != "i-0 3,1,8" {
		t.Errorf("load %q", f.pick.load)
	}
	if n := f.Counters().Dials.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

func chunkOrNone(text string) string {
	if text == "" {
		return ""
	}
	return chunk(text)
}

// TestHeadMethod has a HEAD request answered: its answer has no body, whatever its length says.
func TestHeadMethod(t *testing.T) {
	s := startServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		fmt.Fprintf(c, "%sContent-Length: 1000\r\n\r\n", head(r, 200))
		return true
	})
	f := startProxy(t, []*fakeServer{s})
	c := f.dial(t)
	for n := range 2 {
		fmt.Fprintf(c, "HEAD /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a%d\r\n\r\n", n)
		resp, err := http.ReadResponse(c.in, &http.Request{Method: "HEAD"})
		if err != nil || resp.StatusCode != 200 || resp.ContentLength != 1000 {
			t.Fatalf("%v, error %v", resp, err)
		}
	}
	if n := f.Counters().Dials.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}
