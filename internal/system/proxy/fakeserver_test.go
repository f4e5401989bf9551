package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// serverBehavior is how a fake server handles one request. If it returns false, the server closes the connection afterwards.
type serverBehavior func(c net.Conn, r *http.Request, body []byte) bool

// fakeServer is an HTTP/1.1 server with a given behavior.
type fakeServer struct {
	connServer
	requests chan *receivedRequest
}

// receivedRequest is a request as received by a server.
type receivedRequest struct {
	*http.Request
	body string
	conn net.Conn
}

// startServer starts a fake server on a loopback address.
func startServer(t *testing.T, behavior serverBehavior) *fakeServer {
	t.Helper()
	server := &fakeServer{connServer: connServer{listener: listenLocal(t)}, requests: make(chan *receivedRequest, 4096)}
	server.start(func(conn net.Conn) { server.serve(conn, behavior) })
	t.Cleanup(server.stop)
	return server
}

// serve passes the requests on a connection to a behavior until the behavior ends the connection.
func (s *fakeServer) serve(conn net.Conn, behavior serverBehavior) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.requests <- &receivedRequest{r, string(body), conn}
		if !behavior(conn, r, body) {
			return
		}
	}
}

// closedAddress returns an address on which nothing listens and which no other socket can bind during the test.
func closedAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", at.(*unix.SockaddrInet4).Port)
}

// head returns the head of a valid response to r.
func head(r *http.Request, status int, more ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\n", status, r.Header.Get(headerAttemptID))
	for _, m := range more {
		text += m + "\r\n"
	}
	return text
}

// respondWith responds with a status, headers and a body.
func respondWith(status int, body string, more ...string) serverBehavior {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head(r, status, more...), len(body), body)
		return true
	}
}

// respondWhenReleased responds to requests with X-Wait after a receive from release, and to others immediately.
func respondWhenReleased(release <-chan bool) serverBehavior {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Wait") != "" {
			<-release
		}
		return respondWith(200, "x")(c, r, body)
	}
}

// respondRaw responds with a text in which ID stands for the request's id.
func respondRaw(text string, keepOpen bool) serverBehavior {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(headerAttemptID)))
		return keepOpen
	}
}

// resetConn resets the connection.
func resetConn(c net.Conn, _ *http.Request, _ []byte) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// neverRespond sends nothing and waits for the end of the connection.
func neverRespond(c net.Conn, _ *http.Request, _ []byte) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

// chunk formats a text as one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// chunkUnlessEmpty does the same except for an empty text, which would end the body.
func chunkUnlessEmpty(text string) string {
	if text == "" {
		return ""
	}
	return chunk(text)
}

// eventChunk formats one event of a stream as a chunk.
func eventChunk(id int) string { return chunk(fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id)) }

// respondEvents responds with a stream of events. The stream ends as a complete response, or truncated by the end of the connection.
func respondEvents(from, to int, complete bool) serverBehavior {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+"\r\n")
		for id := from; id <= to; id++ {
			_, _ = io.WriteString(c, eventChunk(id))
		}
		if complete {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
		return complete
	}
}

// respondEventsThen responds with events from the first one on and then does something else.
func respondEventsThen(to int, then serverBehavior) serverBehavior {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		respondEvents(1, to, false)(c, r, body)
		return then(c, r, body)
	}
}

// writeText sends a text.
func writeText(text string, keepOpen bool) serverBehavior {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = io.WriteString(c, text)
		return keepOpen
	}
}

// streamText returns the events as a client should receive them.
func streamText(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: d%d\n\n", id, id)
	}
	return b.String()
}
