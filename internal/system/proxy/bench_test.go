package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/system/config"
)

// benchServer responds to every request on a connection with the same bytes.
func benchServer(b *testing.B, answer string) *fakeServer {
	b.Helper()
	first, second := []byte(answer), bytes.Replace([]byte(answer), []byte("id-1"), []byte("id-2"), 1)
	server := &fakeServer{connServer: connServer{listener: listenLocal(b)}}
	server.start(func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Header.Get(headerAttemptID) == "id-2" {
				_, _ = conn.Write(second)
			} else {
				_, _ = conn.Write(first)
			}
		}
	})
	b.Cleanup(server.stop)
	return server
}

// benchmark lets one client send requests one after another on one connection.
func benchmark(b *testing.B, answer, end, body string, change configure) {
	const ok = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: seal\r\nX-Server-Load: 1,2,3\r\nKeep-Alive: timeout=10\r\n"
	proxy := startProxy(b, []*fakeServer{benchServer(b, ok+answer)}, change)
	conn, err := new(net.Dialer).DialContext(b.Context(), "tcp4", proxy.address)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := fmt.Appendf(nil, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\nX-Time-Left-Ms: 5000\r\nX-Model: m\r\n"+
		"X-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	other := bytes.Replace(request, []byte("id-1"), []byte("id-2"), 1) // each attempt has its own id
	got := make([]byte, 64<<10)
	b.ReportAllocs()
	for b.Loop() {
		request, other = other, request
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		for n := 0; !bytes.HasSuffix(got[:n], []byte(end)); {
			k, err := conn.Read(got[n:])
			if err != nil {
				b.Fatal(err)
			}
			n += k
		}
	}
}

// BenchmarkPlain measures a request without a body and a short response.
func BenchmarkPlain(b *testing.B) {
	benchmark(b, "Content-Length: 800\r\n\r\n"+strings.Repeat("x", 800), "xxx", "", withCategory(config.Idempotent))
}

// BenchmarkLongPrompt measures a request whose body is not sent in the same write as its head.
func BenchmarkLongPrompt(b *testing.B) {
	benchmark(b, "Content-Length: 800\r\n\r\n"+strings.Repeat("x", 800), "xxx", strings.Repeat("y", 34<<10), withCategory(config.Idempotent))
}

// BenchmarkStream measures an event stream of nine events.
func BenchmarkStream(b *testing.B) {
	text := "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for id := range 9 {
		text += eventChunk(id)
	}
	benchmark(b, text+"0\r\n\r\n", "0\r\n\r\n", "", withCategory(config.Streaming))
}

// BenchmarkConnections measures the memory per idle client connection, in bytes.
func BenchmarkConnections(b *testing.B) {
	s := benchServer(b, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: seal\r\nContent-Length: 0\r\n\r\n")
	f := startProxy(b, []*fakeServer{s})
	const conns = 500
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var all []net.Conn
		for range conns {
			c, err := new(net.Dialer).DialContext(b.Context(), "tcp4", f.address)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = c.Write([]byte("GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\n\r\n"))
			_, _ = c.Read(make([]byte, 1024))
			all = append(all, c)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/conns, "B/conn")
		for _, c := range all {
			_ = c.Close()
		}
	}
}
