package load

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// A client has to know the moment of a request's last byte, and how which connection ended, which the transport of net/http does not
// report. So this package manages the connections itself, and only reads responses by net/http.

// errConnClosed says that a connection ended, otherwise than by a time-out, before the first byte of a response.
var errConnClosed = errors.New("hung up without an answer")

// clientConn is a connection to a sidecar, for one request at a time.
type clientConn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

// apiRequest is the content of a request.
type apiRequest struct {
	id      string
	class   plan.Class
	work    time.Duration // that it asks of the server, of a core of speed 1
	timeout time.Duration
	retry   bool
	client  string // tenant; "": none
}

// apiResponse is the content of a complete response.
type apiResponse struct {
	status     int
	servedBy   string // UID of the server; "?": the body names none
	retryAfter time.Duration
	closeConn  bool
}

// roundTrip writes a request and reads its response. sent is when the last byte was written, in ns of the lab's clock; 0: it was not.
func (c *clientConn) roundTrip(request apiRequest, deadline time.Time) (sent int64, response apiResponse, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return 0, apiResponse{}, err
	}
	if _, err := io.WriteString(c, request.text()); err != nil {
		return 0, apiResponse{}, classifyError(err)
	}
	sent = clock.Now()
	if _, err := c.reader.Peek(1); err != nil {
		return sent, apiResponse{}, classifyError(err)
	}
	response, err = c.readResponse(request)
	return sent, response, err
}

// method is the HTTP method of a request: idempotent requests are read, others write.
func (r *apiRequest) method() string {
	if r.class.Safe {
		return http.MethodGet
	}
	return http.MethodPost
}

// text is the request on the wire.
func (r *apiRequest) text() string {
	var text strings.Builder
	header := func(name string, value any) { fmt.Fprintf(&text, "%s: %v\r\n", name, value) }
	fmt.Fprintf(&text, "%s /api?class=%s&work_ns=%d HTTP/1.1\r\n", r.method(), r.class.Name, r.work.Nanoseconds())
	header("Host", "origin.svc")
	header("X-Request-ID", r.id)
	header("X-Priority-Class", r.class.Name)
	header("X-Timeout-Ms", r.timeout.Milliseconds())
	if r.retry {
		header("X-Retried", 1)
	}
	if r.client != "" {
		header("X-Tenant-Id", r.client)
	}
	body := ""
	if r.method() == http.MethodPost {
		body = "present " + r.id + "\n"
		header("Content-Length", len(body))
	}
	text.WriteString("\r\n" + body)
	return text.String()
}

// readResponse reads a response whose first byte is there.
func (c *clientConn) readResponse(request apiRequest) (apiResponse, error) {
	message, err := http.ReadResponse(c.reader, &http.Request{Method: request.method()})
	if err != nil {
		return apiResponse{}, fmt.Errorf("unreadable answer: %w", err)
	}
	defer func() { _ = message.Body.Close() }() // it is read to its end, or the connection is closed
	body, err := io.ReadAll(message.Body)
	if err != nil {
		return apiResponse{}, fmt.Errorf("answer broken off: %w", err)
	}
	response := apiResponse{status: message.StatusCode, closeConn: message.Close}
	if seconds, err := strconv.ParseFloat(message.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		response.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if response.status == http.StatusOK {
		response.servedBy = server(string(body), request.id)
	}
	return response, nil
}

// server is the server that made the body of a successful response to a request; "?" where no server's body reads so.
func server(body, id string) string {
	uid, ok := strings.CutPrefix(body, "recorded "+id+" by ")
	if !ok || !strings.HasSuffix(uid, "\n") {
		return "?"
	}
	return strings.TrimSuffix(uid, "\n")
}

// classifyError distinguishes the end of a connection (errConnClosed) from a time-out.
func classifyError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("no answer: %w", err)
	}
	return fmt.Errorf("%w: %w", errConnClosed, err)
}
