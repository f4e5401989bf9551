package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestAmbiguousFraming sends requests whose end can be read in two ways, with a second request inside
// the body. Neither request may reach a server; the peer gets an error or a closed connection.
func TestAmbiguousFraming(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	prog := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	const common = "Host: x\r\nX-Request-ID: outer\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 50000\r\n"
	inner := "POST /api HTTP/1.1\r\n" + strings.Replace(common, "outer", "inner", 1) + "Content-Length: 0\r\n\r\n"
	size := fmt.Sprint(len(inner))
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	ended := "0\r\n\r\n" + inner
	for _, test := range []struct{ name, head, body string }{
		{"length and chunks", "POST /api HTTP/1.1\r\n" + common + "Content-Length: " + fmt.Sprint(len(ended)) + "\r\nTransfer-Encoding: chunked\r\n\r\n", ended},
		{"chunks and length", "POST /api HTTP/1.1\r\n" + common + "Transfer-Encoding: chunked\r\nContent-Length: " + fmt.Sprint(len(ended)) + "\r\n\r\n", ended},
		{"chunks and another length", "POST /api HTTP/1.1\r\n" + common + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n", chunked},
		{"chunks in HTTP/1.0", "POST /api HTTP/1.0\r\n" + common + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n", chunked},
		{"chunks and length in HTTP/1.0", "POST /api HTTP/1.0\r\n" + common + "Connection: keep-alive\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n", inner},
		{"two lengths", "POST /api HTTP/1.1\r\n" + common + "Content-Length: 0\r\nContent-Length: " + size + "\r\n\r\n", inner},
		{"the same length twice", "POST /api HTTP/1.1\r\n" + common + "Content-Length: " + size + "\r\nContent-Length: " + size + "\r\n\r\n", inner},
		{"a list of lengths", "POST /api HTTP/1.1\r\n" + common + "Content-Length: " + size + ", 0\r\n\r\n", inner},
		{"a signed length", "POST /api HTTP/1.1\r\n" + common + "Content-Length: +" + size + "\r\n\r\n", inner},
		{"a negative length", "POST /api HTTP/1.1\r\n" + common + "Content-Length: -1\r\n\r\n", inner},
		{"a length in hexadecimal", "POST /api HTTP/1.1\r\n" + common + "Content-Length: 0x" + size + "\r\n\r\n", inner},
		{"an empty length", "POST /api HTTP/1.1\r\n" + common + "Content-Length:\r\n\r\n", inner},
		{"a length that overflows", "POST /api HTTP/1.1\r\n" + common + "Content-Length: 18446744073709551616\r\n\r\n", inner},
		{"a space before the colon", "POST /api HTTP/1.1\r\n" + common + "Content-Length : " + size + "\r\n\r\n", inner},
		{"a folded length", "POST /api HTTP/1.1\r\n" + common + "Content-Length:\r\n " + size + "\r\n\r\n", inner},
		{"a folded coding", "POST /api HTTP/1.1\r\n" + common + "Transfer-Encoding:\r\n chunked\r\n\r\n", chunked},
		{"a bare line feed", "POST /api HTTP/1.1\r\n" + common + "X-A: b\nContent-Length: " + size + "\r\n\r\n", inner},
		{"a bare carriage return", "POST /api HTTP/1.1\r\n" + common + "X-A: b\rContent-Length: " + size + "\r\n\r\n", inner},
		{"an unknown coding", "POST /api HTTP/1.1\r\n" + common + "Transfer-Encoding: xchunked\r\n\r\n", chunked},
		{"two codings", "POST /api HTTP/1.1\r\n" + common + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", chunked},
		{"a list of codings", "POST /api HTTP/1.1\r\n" + common + "Transfer-Encoding: gzip, chunked\r\n\r\n", chunked},
		{"a tab in a coding", "POST /api HTTP/1.1\r\n" + common + "Transfer-Encoding: \x0bchunked\r\n\r\n", chunked},
		{"a chunk longer than said", "POST /api HTTP/1.1\r\n" + common + "Transfer-Encoding: chunked\r\n\r\n", "1\r\n" + inner + "\r\n0\r\n\r\n"},
		{"a chunk of negative size", "POST /api HTTP/1.1\r\n" + common + "Transfer-Encoding: chunked\r\n\r\n", "-1\r\n" + inner},
		{"a chunk size that overflows", "POST /api HTTP/1.1\r\n" + common + "Transfer-Encoding: chunked\r\n\r\n", "10000000000000000\r\n" + inner},
		{"a GET with a body", "GET /api HTTP/1.1\r\n" + strings.Replace(common, "pay", "read", 1) + "Content-Length: " + size + "\r\n\r\n", inner},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", prog.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if err := c.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, test.head+test.body)
			text, err := io.ReadAll(c)
			t.Logf("%q %v", text, err)
			if strings.Contains(string(text), "HTTP/1.1 200") || strings.Contains(string(text), "HTTP/1.0 200") {
				t.Errorf("served: %q", text)
			}
			for len(b.received) > 0 {
				t.Errorf("forwarded the request %q", (<-b.received).Header.Get("X-Request-ID"))
			}
		})
	}
}

// TestPlainFraming sends requests with unambiguous framing, one byte at a time: all are served.
func TestPlainFraming(t *testing.T) {
	b := startBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		return respondWith(200, "", r.Header.Get("X-Request-ID")+string(body))(conn, r, body)
	})
	p := start(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	const common = " /api HTTP/1.1\r\nHost: x\r\nX-Timeout-Ms: 50000\r\n"
	reader := bufio.NewReader(conn)
	for _, test := range []struct {
		text, body string
		closing    bool
	}{
		{"GET" + common + "X-Request-ID: 1\r\nX-Priority-Class: read\r\n\r\n", "1", false},
		{"POST" + common + "X-Request-ID: 2\r\nX-Priority-Class: pay\r\ncontent-length: 14\r\n\r\nGET / HTTP/1.1", "2GET / HTTP/1.1", false},
		{"GET" + common + "X-Request-ID: 3\r\nX-Priority-Class: read\r\nContent-Length: 0\r\n\r\n", "3", false},
		{"POST" + common + "X-Request-ID: 4\r\nX-Priority-Class: pay\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "4abc", false},
		{"POST" + common + "X-Request-ID: 5\r\nX-Priority-Class: pay\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n" +
			"01;x=\"y\"\r\na\r\n2\r\nbc\r\n0;z\r\nA: GET / HTTP/1.1\r\n\r\n", "5abc", false},
		{"GET" + common + "X-Request-ID: 6\r\nX-Priority-Class: read\r\nConnection: close\r\n\r\n", "6", true},
	} {
		for i := range len(test.text) {
			if _, err := io.WriteString(conn, test.text[i:i+1]); err != nil {
				t.Fatal(err)
			}
		}
		resp, err := http.ReadResponse(reader, nil) //nolint:bodyclose // the test closes the connection; to close the body would be to read it
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != test.body || resp.Close != test.closing {
			t.Errorf("status %d, body %q, closing %v, error %v; want %q, %v", resp.StatusCode, body, resp.Close, err, test.body, test.closing)
		}
	}
}
