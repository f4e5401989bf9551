package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// long is a text that is too long to be buffered.
var longText = strings.Repeat("0123456789abcdef", 3*maxBufferedBytes/16)

// forms are the ways to frame a body: the head, a piece of the body, and the end.
var forms = map[string]struct {
	head  string
	piece func(string) string
	end   string
}{
	"length": {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(longText)), func(s string) string { return s }, ""},
	"chunks": {"Transfer-Encoding: chunked\r\n\r\n", func(s string) string { return fmt.Sprintf("%x;a=b\r\n%s\r\n", len(s), s) }, "0\r\nA: b\r\n\r\n"},
	"close":  {"Connection: close\r\n\r\n", func(s string) string { return s }, ""},
}

// TestLongAnswer has a server begin a long answer in each form, and finish it only after the client has received the first bytes.
func TestLongAnswer(t *testing.T) {
	for name, form := range forms {
		t.Run(name, func(t *testing.T) {
			gate := make(chan bool)
			b := startBackend(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
				_, _ = fmt.Fprint(c, "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Type: video/x\r\n"+form.head+form.piece(longText[:100]))
				<-gate
				_, _ = fmt.Fprint(c, form.piece(longText[100:])+form.end)
				return name != "close"
			})
			p := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
			resp, err := p.client.Do(p.request(context.Background(), "pay", "50000"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			first := make([]byte, 100)
			if _, err := io.ReadFull(resp.Body, first); err != nil {
				t.Fatal(err)
			}
			close(gate)
			rest, err := io.ReadAll(resp.Body)
			if err != nil || string(first)+string(rest) != longText {
				t.Errorf("%d bytes came of %d, error %v", len(first)+len(rest), len(longText), err)
			}
			if resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "video/x" || resp.Close {
				t.Errorf("answer %+v", resp)
			}
		})
	}
}

// readsAnswer reports whether a complete answer arrives.
func readsAnswer(conn net.Conn) bool {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// acceptLongBody accepts one connection and reads the request on it. It reports when the beginning of
// the body has arrived, and then the complete body.
func acceptLongBody(listener net.Listener, begun chan<- bool, complete chan<- string) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	begin := make([]byte, 100)
	if _, err := io.ReadFull(r.Body, begin); err != nil {
		return
	}
	begun <- true
	rest, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	complete <- string(begin) + string(rest)
	respondWith(200, "", "ok")(conn, r, nil)
}

// TestBrokenAnswer has the server break off a long answer in each form: the client can detect it, and the request is not retried.
func TestBrokenAnswer(t *testing.T) {
	for name, form := range forms {
		if name == "close" {
			continue // the end of the connection is the regular end here
		}
		for _, proto := range []string{"1.0", "1.1"} {
			t.Run(name+" "+proto, func(t *testing.T) {
				b := startBackend(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
					_, _ = fmt.Fprint(c, "HTTP/1.1 200 X\r\n"+form.head+form.piece(longText[:2*maxBufferedBytes]))
					return false
				})
				p, call := startWithControl(t, configText(startRegistry(t).address, serving(1, b, b), testSettings))
				conn := dial(t, p.address)
				_, _ = fmt.Fprintf(conn, "GET /api HTTP/%s\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: read\r\nX-Timeout-Ms: 50000\r\n\r\n", proto)
				if readsAnswer(conn) {
					t.Error("a truncated answer looks complete to the client")
				}
				if n := b.count(); n != 1 {
					t.Errorf("%d attempts", n)
				}
				eventually(t, "counted as failed", func() bool { return strings.Contains(call("INFO"), "read.faulted:1|") })
			})
		}
	}
}

// TestBackpressure has a client not read a long answer: the server cannot send all of it.
func TestBackpressure(t *testing.T) {
	const size = 64 << 20
	var written atomic.Int64
	stuck := make(chan bool)
	b := startBackend(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n", size)
		piece := make([]byte, 1<<16)
		for written.Load() < size {
			if c.SetWriteDeadline(time.Now().Add(time.Second)) != nil {
				return false
			}
			n, err := c.Write(piece)
			if written.Add(int64(n)); err != nil {
				break
			}
		}
		close(stuck)
		return false
	})
	p := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	resp, err := p.client.Do(p.request(context.Background(), "read", "50000"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	within(t, stuck, "end of the writing")
	if n := written.Load(); n >= size {
		t.Errorf("%d bytes were read from the server for a client that reads none", n)
	}
}

// TestBufferedAnswers exhausts the budget: even a short answer is then streamed, and the reserved bytes are released.
func TestBufferedAnswers(t *testing.T) {
	room := newByteBudget(10)
	for _, test := range []struct {
		text  string
		begun bool
	}{{"0123456789", false}, {"0123456789a", true}} {
		form := newAnswerStream(int64(len(test.text)), "", room, func(form *answerStream) {
			go func() {
				var text bytes.Buffer
				nothing := func() error { return nil }
				if err := form.copy(&text, nothing, nothing); err != nil || text.String() != test.text {
					t.Errorf("%q was streamed, error %v", text.String(), err)
				}
				form.abandon()
			}()
		})
		form.stop = func() {}
		whole, err := form.receive(strings.NewReader(test.text))
		if err != nil || form.started != test.begun || !test.begun && string(whole) != test.text {
			t.Errorf("%q: buffered %q, started %v, error %v", test.text, whole, form.started, err)
		}
		if n := room.used.Load(); n != 0 {
			t.Errorf("%d bytes are still reserved", n)
		}
	}
}

// TestClientLeavesFlow has a client disconnect in the middle of an answer: the attempt ends.
func TestClientLeavesFlow(t *testing.T) {
	ended := make(chan bool, 1)
	b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\nbegin", len(longText))
		neverAnswer(c, r, body)
		ended <- true
		return false
	})
	p := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	ctx, leave := context.WithCancel(context.Background())
	resp, err := p.client.Do(p.request(ctx, "read", "50000"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	leave()
	within(t, ended, "end of the attempt")
}

// TestLongBody has a client send a long body in each form, and its end only after the server has received the first bytes.
func TestLongBody(t *testing.T) {
	for name, form := range forms {
		if name == "close" {
			continue // not possible for a request
		}
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			first, whole := make(chan bool, 1), make(chan string, 1)
			go acceptLongBody(listener, first, whole)
			prog := start(t, configText(startRegistry(t).address, serving(1, &backend{address: listener.Addr().String()}), testSettings))
			conn := dial(t, prog.address)
			in := bufio.NewReader(conn)
			_, _ = fmt.Fprint(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 50000\r\nExpect: 100-continue\r\n"+form.head)
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusContinue { //nolint:bodyclose // the test closes the connection; to close the body would be to read it
				t.Fatal(resp, err)
			}
			_, _ = fmt.Fprint(conn, form.piece(longText[:2*maxBufferedBytes]))
			within(t, first, "first bytes")
			_, _ = fmt.Fprint(conn, form.piece(longText[2*maxBufferedBytes:])+form.end)
			if got := within(t, whole, "body"); got != longText {
				t.Errorf("%d bytes came of %d", len(got), len(longText))
			}
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK || resp.Close { //nolint:bodyclose // the test closes the connection; to close the body would be to read it
				t.Errorf("answer %+v, error %v", resp, err)
			}
		})
	}
}

// TestUploadBreaks has a server end the connection in the middle of a long body. The body cannot be sent again, so there
// is no second attempt. Since nothing ran, the request is refused, and immediately, not only when the body has arrived.
func TestUploadBreaks(t *testing.T) {
	listener := listen(t)
	var attempts atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			attempts.Add(1)
			_, _ = io.CopyN(io.Discard, conn, 2*maxBufferedBytes)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	b := &backend{address: listener.Addr().String()}
	p := start(t, configText(startRegistry(t).address, serving(1, b, b), testSettings))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 50000\r\nContent-Length: %d\r\n\r\n", 1<<20)
	_, _ = fmt.Fprint(conn, longText)
	go func() {
		for {
			if _, err := io.WriteString(conn, "more"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil) //nolint:bodyclose // the test closes the connection; to close the body would be to read it
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("answer %+v, error %v", resp, err)
	}
	if n := attempts.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// TestSlowBody has one client send a long body for longer than any limit on silence, and another client stop in the middle of it.
func TestSlowBody(t *testing.T) {
	b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		return respondWith(200, "", fmt.Sprint(len(body)))(c, r, body)
	})
	prog := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	const piece, pieces = 16 << 10, 16
	head := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 300\r\nContent-Length: %d\r\n\r\n", pieces*piece)
	t.Run("slow", func(t *testing.T) {
		t.Parallel()
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", prog.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprint(c, head)
		for range pieces {
			if _, err := io.WriteString(c, longText[:piece]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // the test closes the connection; to close the body would be to read it
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
		if text, err := io.ReadAll(resp.Body); string(text) != fmt.Sprint(pieces*piece) {
			t.Errorf("the server received %s bytes, error %v", text, err)
		}
	})
	t.Run("stopped", func(t *testing.T) {
		t.Parallel()
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", prog.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		began := time.Now()
		_, _ = fmt.Fprint(c, head+longText[:6*piece])
		resp, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // the test closes the connection; to close the body would be to read it
		if took := time.Since(began); took > maxResponseTime {
			t.Errorf("it took %v", took)
		}
		if err == nil && resp.StatusCode < 400 {
			t.Errorf("answer %+v", resp)
		}
	})
}

// TestTooLong sends a chunked body that exceeds the limit: the client gets an error, and no server receives the complete body.
func TestTooLong(t *testing.T) {
	var whole atomic.Int64
	b := startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		whole.Add(1)
		return respondWith(200, "", "ok")(c, r, body)
	})
	p := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	r := p.request(context.Background(), "pay", "50000")
	r.Body, r.ContentLength, r.GetBody = io.NopCloser(io.LimitReader(zeros{}, maxBodyBytes+1)), -1, nil
	g := p.do(r)
	if errors.Is(g.err, context.DeadlineExceeded) || g.err == nil && g.status != 413 || whole.Load() != 0 {
		t.Errorf("answer %+v, %d servers received the complete body", g, whole.Load())
	}
}

type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }
