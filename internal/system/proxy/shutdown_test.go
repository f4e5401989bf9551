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

// TestDrain ends a proxy as planned: an idle connection is closed, a request that runs is answered and told that the
// connection ends, a new one is served at first, and a connection that is refused later gets no request's loss.
func TestDrain(t *testing.T) {
	goOn := make(chan bool)
	s := startServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Wait") != "" {
			<-goOn
		}
		return respondWith(200, "x")(c, r, body)
	})
	f := startProxy(t, []*fakeServer{s}, func(o *Options, _ *config.Config) { o.GracePeriod = 3 * time.Second })
	idle, busy, open := f.dial(t), f.dial(t), f.dial(t)
	if got := idle.sendRequest("id-1", "").readResponse(); got.StatusCode != 200 || got.Close || !f.Ready() {
		t.Errorf("status %d, closing %v, ready %v", got.StatusCode, got.Close, f.Ready())
	}
	open.sendRequest("id-2", "").readResponse()
	busy.sendRequest("id-3", "", "X-Wait: 1")
	receive(t, s.requests, "request")
	receive(t, s.requests, "request")
	receive(t, s.requests, "request")
	over := make(chan bool)
	go func() {
		defer close(over)
		f.Drain(context.Background())
	}()
	for f.Ready() { // until Drain has begun
		runtime.Gosched()
	}
	if got := open.sendRequest("id-4", "").readResponse(); got.StatusCode != 200 || !got.Close {
		t.Errorf("status %d, closing %v", got.StatusCode, got.Close)
	}
	if got := f.roundTrip(t, "id-5", ""); got.StatusCode != 200 || !got.Close {
		t.Errorf("a new connection: status %d, closing %v", got.StatusCode, got.Close)
	}
	if n, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, error %v", n, err)
	}
	goOn <- true
	if got := busy.readResponse(); got.StatusCode != 200 || !got.Close || got.body != "x" {
		t.Errorf("status %d, closing %v, body %q", got.StatusCode, got.Close, got.body)
	}
	receive(t, over, "end of Drain")
	if err := receive(t, f.serveErr, "end of Serve"); err != nil {
		t.Error(err)
	}
	f.serveErr <- nil
	if _, err := net.Dial("tcp4", f.address); err == nil {
		t.Error("connections are taken still")
	}
}

// TestDrainEndsUnanswered ends a proxy whose server does not answer: the end comes within the time given.
func TestDrainEndsUnanswered(t *testing.T) {
	s := startServer(t, neverRespond)
	f := startProxy(t, []*fakeServer{s}, func(o *Options, _ *config.Config) { o.GracePeriod = 400 * time.Millisecond })
	c := f.dial(t).sendRequest("id-1", "")
	receive(t, s.requests, "request")
	began := time.Now()
	f.Drain(context.Background())
	if took := time.Since(began); took < 300*time.Millisecond || took > 5*time.Second {
		t.Errorf("after %v", took)
	}
	if text, err := io.ReadAll(c.reader); len(text) > 0 {
		t.Errorf("%q, error %v", text, err)
	}
}

// TestDrainBeforeServe has the end come first.
func TestDrainBeforeServe(t *testing.T) {
	p := newProxy(Options{Log: &log.Logger{Handler: discard.New()}}, &fakePicker{})
	p.Drain(context.Background())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Serve(context.Background(), l); err != nil {
		t.Error(err)
	}
}
