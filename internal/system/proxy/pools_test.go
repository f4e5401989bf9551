package proxy

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestSurplusResponses covers a server that sends a second response directly after each one: no request receives it.
func TestSurplusResponses(t *testing.T) {
	server := startServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		oneResponse := func(text string) string {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(r, 200), len(text), text)
		}
		_, _ = fmt.Fprint(c, oneResponse(r.Header.Get(headerAttemptID))+oneResponse("wrong"))
		return true
	})
	proxy := startProxy(t, []*fakeServer{server})
	var bad atomic.Int64
	var asking sync.WaitGroup
	for i := range 4 {
		asking.Go(func() {
			c := proxy.dial(t)
			for n := range 100 {
				id := fmt.Sprint("id-", i, "-", n)
				if got := c.sendRequest(id, "").readResponse(); got.StatusCode == http.StatusOK && (got.body != id || got.Header.Get(headerAttemptID) != id) {
					bad.Add(1)
				}
			}
		})
	}
	asking.Wait()
	if n := bad.Load(); n > 0 {
		t.Errorf("%d requests got a response to another request", n)
	}
}

// TestLateSurplusResponse covers a surplus response that arrives after the next request was sent: it is not accepted as the response
// to that request.
func TestLateSurplusResponse(t *testing.T) {
	received := 0
	server := startServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if received++; received == 1 {
			return respondWith(200, "first")(c, r, body)
		}
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 X\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nfirst")
		return respondWith(200, "second")(c, r, body)
	})
	proxy := startProxy(t, []*fakeServer{server})
	c := proxy.dial(t)
	c.sendRequest("id-1", "").readResponse()
	if got := c.sendRequest("id-2", "").readResponse(); got.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d, body %q", got.StatusCode, got.body)
	}
}

// TestDuplicateAttemptID sends two requests with the same id, and the server sends a surplus response to the first one in place of the
// second's: because the id does not distinguish them, the second request is sent on another connection.
func TestDuplicateAttemptID(t *testing.T) {
	var first net.Conn // the connection of the first request; the requests are sequential
	server := startServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if first == c {
			respondWith(200, "surplus")(c, r, body)
		}
		text := "second"
		if first == nil {
			first, text = c, "first"
		}
		return respondWith(200, text)(c, r, body)
	})
	proxy := startProxy(t, []*fakeServer{server})
	c := proxy.dial(t)
	c.sendRequest("id-1", "").readResponse()
	if got := c.sendRequest("id-1", "").readResponse(); got.StatusCode != http.StatusOK || got.body != "second" {
		t.Errorf("status %d, body %q", got.StatusCode, got.body)
	}
}

// TestStaleConns covers a server that closes an idle connection: the next request is sent on a new one.
func TestStaleConns(t *testing.T) {
	server := startServer(t, respondWith(200, "x"))
	proxy := startProxy(t, []*fakeServer{server})
	client := proxy.dial(t)
	client.sendRequest("id-1", "").readResponse()
	first := receive(t, server.requests, "request")
	_ = first.conn.Close()
	for n := range 20 { // the close may be noticed late, and then it is not known whether the request ran
		if got := client.sendRequest("id-2", "").readResponse(); got.StatusCode == http.StatusOK {
			break
		} else if n == 19 {
			t.Errorf("status %d", got.StatusCode)
		}
	}
	if second := receive(t, server.requests, "request"); second.conn == first.conn {
		t.Error("the closed connection was reused")
	}
}

// respondOnceThen responds to the first request and then does something else.
func respondOnceThen(then serverBehavior) serverBehavior {
	received := 0
	return func(c net.Conn, r *http.Request, body []byte) bool {
		received++
		if received == 1 {
			return respondWith(200, "x")(c, r, body)
		}
		return then(c, r, body)
	}
}

// TestNonIdempotentRunsOnce covers a server that breaks a connection on which it has received a second request: that request is not
// sent again.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, body := range []string{"", "body"} {
		for name, breakConn := range map[string]serverBehavior{"reset": resetConn, "close": respondRaw("", false),
			"half a status line": respondRaw("HTTP/1.1 2", false)} {
			t.Run(fmt.Sprint(name, " after ", len(body), " bytes"), func(t *testing.T) {
				server := startServer(t, respondOnceThen(breakConn))
				other := startServer(t, respondWith(200, "x"))
				proxy := startProxy(t, []*fakeServer{server, other})
				client := proxy.dial(t)
				client.sendRequest("id-1", body).readResponse()
				if got := client.sendRequest("id-2", body).readResponse(); got.StatusCode != http.StatusBadGateway {
					t.Errorf("status %d", got.StatusCode)
				}
				if len(server.requests) != 2 || len(other.requests) != 0 {
					t.Errorf("the servers received %d and %d requests", len(server.requests), len(other.requests))
				}
				if outcomes := proxy.outcomes(); !slices.Equal(outcomes, []pick.AttemptOutcome{pick.Served, pick.ConnectionLost}) {
					t.Errorf("attempts ended as %v", outcomes)
				}
			})
		}
	}
}

// TestAnnouncedClose covers a server that announces the end of its connection: no further request is sent on it.
func TestAnnouncedClose(t *testing.T) {
	server := startServer(t, respondWith(200, "x", "Connection: close"))
	proxy := startProxy(t, []*fakeServer{server})
	c := proxy.dial(t)
	for n := range 3 {
		if got := c.sendRequest(fmt.Sprint("id-", n), "").readResponse(); got.StatusCode != http.StatusOK || got.Close {
			t.Errorf("status %d, closing %v", got.StatusCode, got.Close)
		}
	}
	if n := proxy.Counters().Dials.Load(); n != 3 {
		t.Errorf("connections opened: %d", n)
	}
}

// TestRemovedServers replaces a server by another one at the same address: idle connections are closed, and those in use are not
// reused.
func TestRemovedServers(t *testing.T) {
	release := make(chan bool)
	server := startServer(t, respondWhenReleased(release))
	proxy := startProxy(t, []*fakeServer{server})
	client := proxy.dial(t).sendRequest("id-1", "", "X-Wait: 1")
	previousConn := receive(t, server.requests, "request").conn
	w := *proxy.clusterState.Load()
	w.Servers = []pick.Server{{ID: "i-new", Service: "s", Address: server.address()}}
	proxy.UpdateClusterState(time.Now(), w)
	release <- true
	if got := client.readResponse(); got.StatusCode != http.StatusOK {
		t.Errorf("status %d", got.StatusCode)
	}
	client.sendRequest("id-2", "", "X-Wait: 1")
	if r := receive(t, server.requests, "request"); r.conn == previousConn || r.Header.Get(headerTargetInstance) != "i-new" {
		t.Errorf("sent to %q on the former connection: %v", r.Header.Get(headerTargetInstance), r.conn == previousConn)
	}
	release <- true
	client.readResponse()
}

// TestPipelined covers a client that sends requests without waiting: the responses are sent in the order of the requests.
func TestPipelined(t *testing.T) {
	server := startServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		return respondWith(200, r.Header.Get(headerAttemptID))(c, r, body)
	})
	proxy := startProxy(t, []*fakeServer{server}, withCategory(config.Idempotent))
	c := proxy.dial(t)
	for n := range 5 {
		c.sendRequest(fmt.Sprint("id-", n), "body")
	}
	for n := range 5 {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil || resp.Header.Get(headerAttemptID) != fmt.Sprint("id-", n) {
			t.Fatalf("%v, error %v", resp, err)
		}
		buf := make([]byte, 4)
		if k, _ := resp.Body.Read(buf); string(buf[:k]) != fmt.Sprint("id-", n) {
			t.Errorf("body %q", buf[:k])
		}
		_ = resp.Body.Close()
	}
}
