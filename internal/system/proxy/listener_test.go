package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// TestLimits changes the clients' timeouts: new connections use the new ones, and open connections are not closed.
func TestLimits(t *testing.T) {
	server := startServer(t, respondWith(200, "x"))
	proxy := startProxy(t, []*fakeServer{server})
	old := proxy.dial(t)
	old.sendRequest("id-1", "").readResponse()
	w := *proxy.clusterState.Load()
	config := *w.Config
	config.Limits.HeaderTimeout, config.Limits.IdleTimeout = 50*time.Millisecond, 60*time.Millisecond
	w.Config = &config
	proxy.UpdateClusterState(time.Now(), w)
	slow := proxy.dial(t)
	_, _ = fmt.Fprint(slow, "POST /a/x HT")
	if _, err := io.ReadAll(slow); err != nil {
		t.Errorf("connection with half a request head: %v", err)
	}
	idle := proxy.dial(t)
	idle.sendRequest("id-2", "").readResponse()
	if n, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: read %v bytes, error %v", n, err)
	}
	if got := old.sendRequest("id-3", "").readResponse(); got.StatusCode != http.StatusOK {
		t.Errorf("status %d", got.StatusCode)
	}
}

// TestConnectionLimit opens more connections than the limit allows: the one that has been idle longest is closed.
func TestConnectionLimit(t *testing.T) {
	release := make(chan bool)
	server := startServer(t, respondWhenReleased(release))
	proxy := startProxy(t, []*fakeServer{server}, func(o *Options, _ *config.Config) { o.FDLimit = 1 })
	var all []*testClient
	for n := range proxy.clients.maxConns {
		c := proxy.dial(t)
		if n != 3 {
			c.sendRequest("id-1", "", "X-Wait: 1")
		} else {
			c.sendRequest("id-1", "").readResponse()
		}
		receive(t, server.requests, "request")
		all = append(all, c)
	}
	if got := proxy.roundTrip(t, "id-2", ""); got.StatusCode != http.StatusOK {
		t.Errorf("status %d", got.StatusCode)
	}
	close(release)
	for n, c := range all {
		if n == 3 {
			if _, err := c.reader.ReadByte(); err != io.EOF {
				t.Errorf("the connection that was idle longest: %v", err)
			}
			continue
		}
		if got := c.readResponse(); got.StatusCode != http.StatusOK {
			t.Errorf("%d: status %d", n, got.StatusCode)
		}
	}
}

// TestSlowClient covers a client that does not read a long response: it delays no other client, and its connection is closed.
func TestSlowClient(t *testing.T) {
	long := strings.Repeat("x", 16<<20)
	server := startServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Long") == "" {
			return respondWith(200, "x")(c, r, body)
		}
		return respondWith(200, long)(c, r, body)
	})
	proxy := startProxy(t, []*fakeServer{server}, func(o *Options, _ *config.Config) { o.Timeouts.ClientWrite = 300 * time.Millisecond })
	slow := proxy.dial(t)
	_ = slow.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	slow.sendRequest("id-1", "", "X-Long: 1")
	receive(t, server.requests, "request")
	if got := proxy.roundTrip(t, "id-2", ""); got.StatusCode != http.StatusOK {
		t.Errorf("status %d", got.StatusCode)
	}
	for proxy.Counters().ClientGone.Load() == 0 { // bounded by the timeout of the test binary, which prints all stacks
		runtime.Gosched()
	}
	if got := slow.readResponse(); got.err == nil || len(got.body) == len(long) {
		t.Errorf("%d bytes, error %v", len(got.body), got.err)
	}
}
