package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// TestRejectedHeads covers requests that are not sent to any server because of their heads.
func TestRejectedHeads(t *testing.T) {
	server := startServer(t, respondWith(200, "x"))
	proxy := startProxy(t, []*fakeServer{server})
	for _, test := range []struct {
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
		t.Run(test.name, func(t *testing.T) {
			client := proxy.dial(t)
			go func() { _, _ = client.Write([]byte(test.text)) }()
			resp, err := http.ReadResponse(client.reader, nil)
			if err == nil {
				defer func() { _ = resp.Body.Close() }()
			}
			if err != nil || resp.StatusCode != test.want {
				t.Errorf("%v, error %v, want %d", resp, err, test.want)
			}
			if len(server.requests) > 0 {
				t.Error("a server received the request")
			}
		})
	}
}

// TestMessagesForwardedUnchanged compares messages before and after the proxy, in both directions.
func TestMessagesForwardedUnchanged(t *testing.T) {
	server := startServer(t, func(client net.Conn, r *http.Request, body []byte) bool {
		return respondWith(200, "answer", "X-Server-Load: 3,1,8", "X-Own: v1", "X-Own: v2", "Connection: X-Hop", "X-Hop: 1",
			"Keep-Alive: timeout=9", "Content-Type: text/odd", "Date: long ago")(client, r, body)
	})
	proxy := startProxy(t, []*fakeServer{server})
	for _, body := range []string{"", "short", strings.Repeat("long", 20<<10)} {
		for _, chunked := range []bool{false, true} {
			client, id := proxy.dial(t), fmt.Sprint("i-d", len(body), chunked) // each attempt has its own
			text := unusualRequest(id, body, chunked)
			go func() { _, _ = client.Write([]byte(text)) }()
			response := client.readResponse()
			checkForwardedRequest(t, receive(t, server.requests, "request"), id, body)
			checkForwardedResponse(t, response)
		}
	}
	if proxy.fake.lastLoad != "i-0 3,1,8" {
		t.Errorf("server load reported to the picker: %q", proxy.fake.lastLoad)
	}
	if n := proxy.Counters().Dials.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// unusualRequest returns a request with everything that a proxy might change.
func unusualRequest(id, body string, chunked bool) string {
	head := "POST /a/b%2fc;d?q=%20&x HTTP/1.1\r\nHost: H.example:80\r\nX-Attempt-Id: " + id + "\r\nX-Time-Left-Ms: 5000\r\n" +
		"X-Model: m\r\nX-Token-Count: 10,20\r\nX-Prompt-Prefix: ff:6,1a:4\r\nConnection: X-Mine, keep-alive\r\nX-Mine: 1\r\n" +
		"X-End: 2\r\nPriority: 8\r\nX-Target-Instance: odd\r\nTE: trailers\r\nUpgrade: h2c\r\nAccept: a\r\nAccept: b\r\n"
	if !chunked {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	chunks := ""
	if body != "" {
		half := len(body)/2 + 1
		chunks = chunk(body[:half]) + chunkUnlessEmpty(body[half:])
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"
}

// checkForwardedRequest checks an unusual request as received by a server.
func checkForwardedRequest(t *testing.T, r *receivedRequest, id, body string) {
	t.Helper()
	if r.Method != http.MethodPost || r.RequestURI != "/a/b%2fc;d?q=%20&x" || r.Host != "H.example:80" || r.body != body {
		t.Errorf("%s %s at %s with %d bytes", r.Method, r.RequestURI, r.Host, len(r.body))
	}
	for name, want := range map[string]string{"X-Attempt-Id": "[" + id + "]", "X-Target-Instance": "[i-0]", "Priority": "[3]",
		"X-End": "[2]", "Accept": "[a b]", "X-Mine": "[]", "Te": "[]", "Upgrade": "[]", "Connection": "[]",
		"X-Model": "[m]", "User-Agent": "[]"} {
		if v := fmt.Sprint(r.Header[name]); v != want {
			t.Errorf("%s is %s, want %s", name, v, want)
		}
	}
	if d, ok := parseMilliseconds(r.Header.Get(headerTimeLeft)); !ok || d > 5*time.Second || d < 4*time.Second {
		t.Errorf("time left %v", d)
	}
}

// checkForwardedResponse checks the server's response as received by a client.
func checkForwardedResponse(t *testing.T, response clientResponse) {
	t.Helper()
	header := response.Header
	forwarded := response.body == "answer" && fmt.Sprint(header["X-Own"]) == "[v1 v2]" && header.Get(headerServerSeal) == "seal" &&
		header.Get("Content-Type") == "text/odd" && header.Get("Date") == "long ago"
	dropped := header["X-Hop"] == nil && header["Keep-Alive"] == nil && header["Connection"] == nil
	if !forwarded || !dropped {
		t.Errorf("response %q, %v", response.body, header)
	}
}

// TestHeadRequests covers HEAD requests: their responses have no body, whatever length they announce.
func TestHeadRequests(t *testing.T) {
	server := startServer(t, func(client net.Conn, r *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(client, "%sContent-Length: 1000\r\n\r\n", head(r, 200))
		return true
	})
	proxy := startProxy(t, []*fakeServer{server})
	client := proxy.dial(t)
	for n := range 2 {
		_, _ = fmt.Fprintf(client, "HEAD /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a%d\r\n\r\n", n)
		resp, err := http.ReadResponse(client.reader, &http.Request{Method: http.MethodHead})
		if err == nil {
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK || resp.ContentLength != 1000 {
			t.Fatalf("%v, error %v", resp, err)
		}
	}
	if n := proxy.Counters().Dials.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// TestBodyMemoryLimit sends larger bodies than may be buffered at the same time: the request without memory is refused.
func TestBodyMemoryLimit(t *testing.T) {
	release := make(chan bool)
	server := startServer(t, respondWhenReleased(release))
	proxy := startProxy(t, []*fakeServer{server}, func(o *Options, _ *config.Config) { o.MemoryMB = 1 })
	long := strings.Repeat("x", 150<<10)
	first := proxy.dial(t).sendRequest("id-1", long, "X-Wait: 1")
	receive(t, server.requests, "request")
	c := proxy.dial(t)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-2\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
	}()
	if got := c.readResponse(); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Errorf("status %d", got.StatusCode)
	}
	release <- true
	if got := first.readResponse(); got.StatusCode != http.StatusOK {
		t.Errorf("status %d", got.StatusCode)
	}
}

// TestSmuggling sends requests whose end is ambiguous and that contain a second request: neither of the two runs.
func TestSmuggling(t *testing.T) {
	server := startServer(t, respondWith(200, "ok"))
	proxy := startProxy(t, []*fakeServer{server})
	const common = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: outer\r\n"
	inner := strings.Replace(common, "outer", "inner", 1) + "Content-Length: 0\r\n\r\n"
	size := fmt.Sprint(len(inner))
	ended := "0\r\n\r\n" + inner
	for name, text := range map[string]string{
		"length and chunks":       common + "Content-Length: " + fmt.Sprint(len(ended)) + "\r\nTransfer-Encoding: chunked\r\n\r\n" + ended,
		"two lengths":             common + "Content-Length: 0\r\nContent-Length: " + size + "\r\n\r\n" + inner,
		"a list of lengths":       common + "Content-Length: " + size + ", 0\r\n\r\n" + inner,
		"a signed length":         common + "Content-Length: +" + size + "\r\n\r\n" + inner,
		"a space before a colon":  common + "Content-Length : " + size + "\r\n\r\n" + inner,
		"a folded length":         common + "Content-Length:\r\n " + size + "\r\n\r\n" + inner,
		"a bare line feed":        common + "X-A: b\nContent-Length: " + size + "\r\n\r\n" + inner,
		"an unknown coding":       common + "Transfer-Encoding: xchunked\r\n\r\n" + ended,
		"two codings":             common + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n" + ended,
		"chunks in HTTP/1.0":      strings.Replace(common, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n" + ended,
		"a line feed in a target": strings.Replace(common, "/a/x", "/a/\nx", 1) + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := proxy.dial(t)
			_, _ = io.WriteString(c, text)
			got, err := io.ReadAll(c)
			if strings.Contains(string(got), " 200 ") {
				t.Errorf("request was served: %q, error %v", got, err)
			}
			for len(server.requests) > 0 {
				t.Errorf("request %q was forwarded", (<-server.requests).Header.Get(headerAttemptID))
			}
		})
	}
}
