package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// TestCounts checks that the log reports each event exactly once.
func TestCounts(t *testing.T) {
	counted := newCounts([]balance.Class{{Name: "read"}, {Name: "pay"}})
	counted.requests.Add(3)
	counted.open.Add(1)
	counted.attempts[balance.TimedOut].Add(2)
	counted.classes[0].countAnswer(served)
	counted.classes[1].countAnswer(served)
	counted.classes[1].countAnswer(refused)
	counted.connected(true, 40*time.Millisecond)
	counted.connected(false, 20*time.Millisecond)
	var text bytes.Buffer
	log := slog.New(slog.NewTextHandler(&text, nil))
	w := newConnLimiter(64)
	w.count.Store(7)
	last := counted.report(log, w, [2][]metric{})
	for _, want := range []string{"conns=7 open=1 crowded=0 requests=3 fulfilled=2 throttled=1 faulted=0 ", "attempts.timeout=2 ",
		"reused=1 ", "connect_ms=40\n"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q lacks %q", text.String(), want)
		}
	}
	text.Reset()
	counted.classes[0].countAnswer(failed)
	counted.report(log, w, last)
	for _, want := range []string{"requests=0 fulfilled=0 throttled=0 faulted=1 ", "attempts.timeout=0 ", "connect_ms=0\n"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("second report: %q lacks %q", text.String(), want)
		}
	}
}

// TestInfo has requests end in each way, and checks the metrics.
func TestInfo(t *testing.T) {
	b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		switch r.Header.Get("X-Request-ID") {
		case "error":
			return respondWith(500, "", "")(c, r, body)
		case "full":
			return respondWith(503, "X-Not-Processed: 1\r\n", "")(c, r, body)
		case "silent":
			return neverAnswer(c, r, body)
		}
		return respondWith(200, "", "ok")(c, r, body)
	})
	gone := startBackend(t, resetConnection)
	list := listText(1, true, entry("s-0", b.address, "SERVING", 0), entry("s-1", gone.address, "DRAINING", 0))
	prog, call := startWithControl(t, configText(startRegistry(t).address, list, testSettings))
	ask := func(class, id string, status int) {
		t.Helper()
		r := prog.request(context.Background(), class, "50000")
		r.Header.Set("X-Request-ID", id)
		if g := prog.do(r); g.status != status {
			t.Fatalf("%s, %s: answer %+v, want %d", class, id, g, status)
		}
	}
	ask("read", "1", 200)
	ask("read", "2", 200)
	ask("pay", "3", 200)
	ask("pay", "full", 503)
	ask("pay", "error", 502)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go func() {
		r := prog.request(ctx, "book", "50000")
		r.Header.Set("X-Request-ID", "silent")
		prog.do(r)
	}()
	for range 6 {
		within(t, b.received, "request")
	}
	// The client may get its answer just before it is counted.
	want := "svc.operations.read.fulfilled:2|c\nsvc.operations.read.throttled:0|c\nsvc.operations.read.faulted:0|c\nsvc.operations.read.relayed:2|c\n" +
		"svc.operations.book.fulfilled:0|c\nsvc.operations.book.throttled:0|c\nsvc.operations.book.faulted:0|c\nsvc.operations.book.relayed:1|c\n" +
		"svc.operations.pay.fulfilled:1|c\nsvc.operations.pay.throttled:1|c\nsvc.operations.pay.faulted:1|c\nsvc.operations.pay.relayed:3|c\n" +
		"svc.open_requests:1|g\nsvc.registry_entries:2|g\nsvc.out_of_rotation:%d|g\neof\n"
	// Two failures take the only serving server out of rotation, but ejection is suspended when all servers are out.
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		text := call("INFO")
		if text == fmt.Sprintf(want, 1) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got\n%s\nwant\n%s", text, fmt.Sprintf(want, 1))
		}
	}
}
