package operatorapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// wireClient is one connection to the API over a chain that accepts everything.
type wireClient struct {
	t    *testing.T
	conn *net.TCPConn
	in   *bufio.Reader

	mu        sync.Mutex
	submitted []controlstate.Change
}

func (c *wireClient) Submit(_ context.Context, change controlstate.Change) (controlstate.Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted = append(c.submitted, change)
	return controlstate.Verdict{Kind: controlstate.Accepted, Seq: uint64(len(c.submitted))}, nil
}

func (c *wireClient) Read(context.Context) (*controlstate.State, error) {
	return &controlstate.State{Seq: 5, Config: &config.Config{Revision: 5, Raw: []byte(`{"revision":5}`)}}, nil
}

func (c *wireClient) changes() []controlstate.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.submitted
}

func dialAPI(t *testing.T) *wireClient {
	t.Helper()
	c := &wireClient{t: t}
	s := httptest.NewServer(Handler(Options{Chain: c, Log: discardLog()}))
	t.Cleanup(s.Close)
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c.conn, _ = conn.(*net.TCPConn)
	c.in = bufio.NewReader(conn)
	return c
}

func (c *wireClient) send(bytes string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, bytes); err != nil {
		c.t.Fatal(err)
	}
}

// wireResponse is a response that was read to its end.
type wireResponse struct {
	status        int
	contentLength int64
	closes        bool // the connection ends after it
	body          string
}

// readResponse reads the response to a request of the method.
func (c *wireClient) readResponse(method string) wireResponse {
	c.t.Helper()
	response, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return wireResponse{response.StatusCode, response.ContentLength, response.Close, string(body)}
}

// connectionEnded reports whether the connection ends without another byte.
func (c *wireClient) connectionEnded() bool {
	_, err := c.in.ReadByte()
	return err != nil
}

func rawChange(revision int, extra string) string {
	body := fmt.Sprintf(`{"revision":%d}`, revision)
	return fmt.Sprintf("POST /Config.Replace HTTP/1.1\r\nHost: k\r\nX-Base-Version: 5\r\nContent-Length: %d\r\n%s\r\n%s", len(body), extra, body)
}

// TestWirePipelined checks that pipelined requests that arrive together are answered in order, each with its own response.
func TestWirePipelined(t *testing.T) {
	client := dialAPI(t)
	const rounds = 8
	var pipelined strings.Builder
	for i := range rounds {
		pipelined.WriteString(rawChange(100+i, ""))
		pipelined.WriteString("HEAD /Config.Read HTTP/1.1\r\nHost: k\r\n\r\n")
		pipelined.WriteString("POST /Evacuation.Start/z?fence=3 HTTP/1.1\r\nHost: k\r\n\r\n")
	}
	client.send(pipelined.String())
	for i := range rounds {
		if response := client.readResponse("POST"); response.status != 200 || response.body != fmt.Sprintf(`{"revision":%d}`, 100+i) {
			t.Fatalf("change %d: status %d: %s", i, response.status, response.body)
		}
		if response := client.readResponse("HEAD"); response.status != 200 || response.body != "" || response.contentLength != int64(len(`{"revision":5}`)) {
			t.Fatalf("read %d: status %d: %s", i, response.status, response.body)
		}
		if response := client.readResponse("POST"); response.status != 200 || response.body != "{}" {
			t.Fatalf("evacuation %d: status %d: %s", i, response.status, response.body)
		}
	}
	for i, change := range client.changes() {
		if want := fmt.Sprintf(`{"revision":%d}`, 100+i/2); i%2 == 0 && string(change.Body) != want {
			t.Errorf("change %d: %s", i, change.Body)
		}
	}
}

// TestWireBodyLongerThanDeclared checks that bytes after the declared length of a body are rejected as a malformed request, and that
// the connection is closed.
func TestWireBodyLongerThanDeclared(t *testing.T) {
	c := dialAPI(t)
	c.send(rawChange(100, "") + "surplus bytes\r\n\r\n")
	if response := c.readResponse("POST"); response.status != 200 || response.body != `{"revision":100}` {
		t.Errorf("status %d: %s", response.status, response.body)
	}
	if response := c.readResponse("POST"); response.status != 400 || !c.connectionEnded() {
		t.Errorf("status %d for the surplus bytes, want 400 and the connection closed", response.status)
	}
	if n := len(c.changes()); n != 1 {
		t.Errorf("%d changes", n)
	}
}

// TestWireBodyTruncated checks that a body that ends before its declared length, or whose chunks are malformed, is not submitted as a
// change, and that its response, a 503, allows a retry.
func TestWireBodyTruncated(t *testing.T) {
	for name, framing := range map[string]string{
		"by its length":  "Content-Length: 100\r\n\r\n{\"revision\":100}",
		"in a chunk":     "Transfer-Encoding: chunked\r\n\r\n40\r\n{\"revision\":100}",
		"between chunks": "Transfer-Encoding: chunked\r\n\r\n10\r\n{\"revision\":100}\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := dialAPI(t)
			c.send("POST /Config.Replace HTTP/1.1\r\nHost: k\r\nX-Base-Version: 5\r\n" + framing)
			if err := c.conn.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if response := c.readResponse("POST"); response.status != 503 || !response.closes || !c.connectionEnded() || len(c.changes()) != 0 {
				t.Errorf("status %d, %d changes", response.status, len(c.changes()))
			}
		})
	}
}

// TestWireRefusedBodyIsNoCall checks that the rest of a rejected body is never parsed as a request.
func TestWireRefusedBodyIsNoCall(t *testing.T) {
	const hidden = "POST /Evacuation.Start/z?fence=3 HTTP/1.1\r\nHost: k\r\n\r\n"
	for name, head := range map[string]string{
		"too large":      fmt.Sprintf("POST /Config.Replace HTTP/1.1\r\nHost: k\r\nX-Base-Version: 5\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1),
		"without a base": fmt.Sprintf("POST /Config.Replace HTTP/1.1\r\nHost: k\r\nContent-Length: %d\r\n\r\n", len(hidden)),
		"unknown call":   fmt.Sprintf("POST /Config.Drop HTTP/1.1\r\nHost: k\r\nContent-Length: %d\r\n\r\n", len(hidden)),
	} {
		t.Run(name, func(t *testing.T) {
			c := dialAPI(t)
			c.send(head + hidden)
			if err := c.conn.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if response := c.readResponse("POST"); response.status < 400 || !c.connectionEnded() || len(c.changes()) != 0 {
				t.Errorf("status %d, %d changes", response.status, len(c.changes()))
			}
		})
	}
}

// TestWireExpectContinue checks that a caller that sends Expect: 100-continue gets a 100, or is rejected before it sends its body.
func TestWireExpectContinue(t *testing.T) {
	c := dialAPI(t)
	request := rawChange(100, "Expect: 100-continue\r\n")
	head, body, _ := strings.Cut(request, "\r\n\r\n")
	c.send(head + "\r\n\r\n")
	if response := c.readResponse("POST"); response.status != 100 {
		t.Fatalf("status %d", response.status)
	}
	c.send(body)
	if response := c.readResponse("POST"); response.status != 200 || response.body != `{"revision":100}` {
		t.Errorf("status %d: %s", response.status, response.body)
	}
	c.send(fmt.Sprintf("POST /Config.Replace HTTP/1.1\r\nHost: k\r\nX-Base-Version: 5\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1))
	if response := c.readResponse("POST"); response.status != 413 {
		t.Errorf("status %d", response.status)
	}
}

// TestAnswerWithinASecond checks that a request with a body that is not large is answered within a second, after which callers try
// another node, however late the chain answers and however slow the proxies are.
func TestAnswerWithinASecond(t *testing.T) {
	for _, target := range []string{"/Config.Replace", "/Evacuation.Start/z?fence=4"} {
		t.Run(target, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				chain := &scriptedChain{read: func(context.Context) (*controlstate.State, error) { return stateAt(4), nil },
					submit: func(c controlstate.Change) controlstate.Verdict {
						time.Sleep(chainTimeout - time.Millisecond) // of the bubble's clock
						return accepted(c)
					}}
				handler := Handler(Options{Chain: chain, Log: discardLog(), WaitDelivered: func(ctx context.Context, _ uint64) { <-ctx.Done() }})
				start := time.Now()
				w := serve(t, handler, "POST", target, "", "X-Base-Version", "0")
				if took := time.Since(start); w.Code != 200 || took > responseTimeout {
					t.Errorf("status %d after %v", w.Code, took)
				}
			})
		})
	}
}
