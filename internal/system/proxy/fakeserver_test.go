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

// serverBehavior is what a fake server does with one request; false: it closes the connection afterwards.
type serverBehavior func(c net.Conn, r *http.Request, body []byte) bool

// fakeServer is a server of HTTP/1.1 with a given behavior.
type fakeServer struct {
	connServer
	requests chan *receivedRequest
}

// receivedRequest is a request as it came to a server.
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

// serve has the requests of a connection go to a behavior, until that ends it.
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

// closedAddress is an address where nobody listens, and that no other socket gets meanwhile.
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

// head is that of a valid response to r.
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

// respondWhenReleased responds to requests with X-Wait once something comes from release, and to others at once.
func respondWhenReleased(release <-chan bool) serverBehavior {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Wait") != "" {
			<-release
		}
		return respondWith(200, "x")(c, r, body)
	}
}

// respondRaw responds with a text in which ID stands for the request's id.
func respondRaw(text string, stays bool) serverBehavior {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(headerAttemptID)))
		return stays
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

// chunk is a text as a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// chunkUnlessEmpty does so but for an empty text, which would end the body.
func chunkUnlessEmpty(text string) string {
	if text == "" {
		return ""
	}
	return chunk(text)
}

// eventChunk is one event of a stream, as a chunk.
func eventChunk(id int) string { return chunk(fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id)) }

// respondEvents responds with a stream of events, which ends as complete or with the connection.
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
func writeText(text string, stays bool) serverBehavior {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = io.WriteString(c, text)
		return stays
	}
}

// streamText is the events as a client should get them.
func streamText(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: d%d\n\n", id, id)
	}
	return b.String()
}
