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

// TestLimits has the times that clients may take change: new connections keep to the new ones, and those that are open go on.
func TestLimits(t *testing.T) {
	s := startServer(t, respondWith(200, "x"))
	f := startProxy(t, []*fakeServer{s})
	old := f.dial(t)
	old.sendRequest("id-1", "").readResponse()
	w := *f.clusterState.Load()
	config := *w.Config
	config.Limits.HeaderTimeout, config.Limits.IdleTimeout = 50*time.Millisecond, 60*time.Millisecond
	w.Config = &config
	f.UpdateClusterState(time.Now(), w)
	slow := f.dial(t)
	fmt.Fprint(slow, "POST /a/x HT")
	if _, err := io.ReadAll(slow); err != nil {
		t.Errorf("half a head: %v", err)
	}
	idle := f.dial(t)
	idle.sendRequest("id-2", "").readResponse()
	if n, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("idle: %v, error %v", n, err)
	}
	if got := old.sendRequest("id-3", "").readResponse(); got.StatusCode != 200 {
		t.Errorf("status %d", got.StatusCode)
	}
}

// TestConnectionLimit has more connections come than are taken: the one that idles longest gives way.
func TestConnectionLimit(t *testing.T) {
	goOn := make(chan bool)
	s := startServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Wait") != "" {
			<-goOn
		}
		return respondWith(200, "x")(c, r, body)
	})
	f := startProxy(t, []*fakeServer{s}, func(o *Options, _ *config.Config) { o.FDLimit = 1 })
	var all []*testClient
	for n := range f.clients.maxConns {
		c := f.dial(t)
		if n != 3 {
			c.sendRequest("id-1", "", "X-Wait: 1")
		} else {
			c.sendRequest("id-1", "").readResponse()
		}
		receive(t, s.requests, "request")
		all = append(all, c)
	}
	if got := f.roundTrip(t, "id-2", ""); got.StatusCode != 200 {
		t.Errorf("status %d", got.StatusCode)
	}
	close(goOn)
	for n, c := range all {
		if n == 3 {
			if _, err := c.reader.ReadByte(); err != io.EOF {
				t.Errorf("the idle one: %v", err)
			}
			continue
		}
		if got := c.readResponse(); got.StatusCode != 200 {
			t.Errorf("%d: status %d", n, got.StatusCode)
		}
	}
}

// TestSlowClient has a client take nothing of a long answer: it holds up only itself, and is given up.
func TestSlowClient(t *testing.T) {
	long := strings.Repeat("x", 16<<20)
	s := startServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Long") == "" {
			return respondWith(200, "x")(c, r, body)
		}
		return respondWith(200, long)(c, r, body)
	})
	f := startProxy(t, []*fakeServer{s}, func(o *Options, _ *config.Config) { o.TestingKnobs.ClientWriteTimeout = 300 * time.Millisecond })
	slow := f.dial(t)
	_ = slow.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	slow.sendRequest("id-1", "", "X-Long: 1")
	receive(t, s.requests, "request")
	if got := f.roundTrip(t, "id-2", ""); got.StatusCode != 200 {
		t.Errorf("status %d", got.StatusCode)
	}
	for f.Counters().ClientGone.Load() == 0 { // within the time of the test binary, or it fails with all stacks
		runtime.Gosched()
	}
	if got := slow.readResponse(); got.err == nil || len(got.body) == len(long) {
		t.Errorf("%d bytes, error %v", len(got.body), got.err)
	}
}
