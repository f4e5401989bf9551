package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/config"
)

// TestDrain shuts a proxy down gracefully: an idle connection is closed, the response to a running request announces that the connection
// will be closed, a new connection is served at first, and none is accepted afterwards.
func TestDrain(t *testing.T) {
	release := make(chan bool)
	server := startServer(t, respondWhenReleased(release))
	proxy := startProxy(t, []*fakeServer{server}, func(o *Options, _ *config.Config) { o.GracePeriod = 3 * time.Second })
	idle, busy, open := proxy.dial(t), proxy.dial(t), proxy.dial(t)
	if got := idle.sendRequest("id-1", "").readResponse(); got.StatusCode != http.StatusOK || got.Close || !proxy.Ready() {
		t.Errorf("status %d, closing %v, ready %v", got.StatusCode, got.Close, proxy.Ready())
	}
	open.sendRequest("id-2", "").readResponse()
	busy.sendRequest("id-3", "", "X-Wait: 1")
	receive(t, server.requests, "request")
	receive(t, server.requests, "request")
	receive(t, server.requests, "request")
	over := make(chan bool)
	go func() {
		defer close(over)
		proxy.Drain(context.Background())
	}()
	for proxy.Ready() { // until Drain has begun
		runtime.Gosched()
	}
	if got := open.sendRequest("id-4", "").readResponse(); got.StatusCode != http.StatusOK || !got.Close {
		t.Errorf("status %d, closing %v", got.StatusCode, got.Close)
	}
	if got := proxy.roundTrip(t, "id-5", ""); got.StatusCode != http.StatusOK || !got.Close {
		t.Errorf("a new connection: status %d, closing %v", got.StatusCode, got.Close)
	}
	if n, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, error %v", n, err)
	}
	release <- true
	if got := busy.readResponse(); got.StatusCode != http.StatusOK || !got.Close || got.body != "x" {
		t.Errorf("status %d, closing %v, body %q", got.StatusCode, got.Close, got.body)
	}
	receive(t, over, "end of Drain")
	if err := receive(t, proxy.serveErr, "end of Serve"); err != nil {
		t.Error(err)
	}
	proxy.serveErr <- nil
	if _, err := new(net.Dialer).DialContext(t.Context(), "tcp4", proxy.address); err == nil {
		t.Error("connections are still accepted")
	}
}

// TestDrainEndsUnanswered shuts down a proxy whose server does not respond: it ends within the grace period.
func TestDrainEndsUnanswered(t *testing.T) {
	server := startServer(t, neverRespond)
	proxy := startProxy(t, []*fakeServer{server}, func(o *Options, _ *config.Config) { o.GracePeriod = 400 * time.Millisecond })
	c := proxy.dial(t).sendRequest("id-1", "")
	receive(t, server.requests, "request")
	began := time.Now()
	proxy.Drain(context.Background())
	if took := time.Since(began); took < 300*time.Millisecond || took > 5*time.Second {
		t.Errorf("Drain returned after %v", took)
	}
	if text, err := io.ReadAll(c.reader); len(text) > 0 {
		t.Errorf("%q, error %v", text, err)
	}
}

// TestDrainBeforeServe calls Drain before Serve.
func TestDrainBeforeServe(t *testing.T) {
	p := newProxy(Options{Log: &log.Logger{Handler: discard.New()}}, &fakePicker{})
	p.Drain(context.Background())
	listener := listenLocal(t)
	if err := p.Serve(t.Context(), listener); err != nil {
		t.Error(err)
	}
}
