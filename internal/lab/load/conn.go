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
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// A client needs to know the moment of a request's last byte, and which connection ended how, which net/http's transport
// keeps to itself. So connections are held here; requests and answers are still read and written by net/http's rules.

const (
	maxIdleTime  = 1500 * time.Millisecond // before the 2 s after which a sidecar may close one
	maxIdleConns = 64                      // connections to one sidecar
)

var errConnClosed = errors.New("hung up without an answer")

// connPool is the connections to one sidecar, the last used first.
type connPool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
	closed  bool
}

type clientConn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

func (p *connPool) get(deadline time.Time) (c *clientConn, used bool, err error) {
	p.mu.Lock()
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) > maxIdleTime {
		p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	if c != nil {
		return c, true, nil
	}
	c, err = p.dial(deadline)
	return c, false, err
}

func (p *connPool) dial(deadline time.Time) (*clientConn, error) {
	dialer := net.Dialer{Deadline: deadline}
	raw, err := dialer.Dial("tcp4", p.address)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

func (p *connPool) put(c *clientConn, closeConn bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if closeConn || p.closed || len(p.idle) >= maxIdleConns {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// apiRequest is what a request says.
type apiRequest struct {
	id      string
	class   plan.Class
	work    time.Duration
	timeout time.Duration
	retry   bool
	client  string // "": nobody by name
}

// apiResponse is what came back.
type apiResponse struct {
	status     int
	servedBy   string // the server that made it; "?" where no server's answer reads so
	retryAfter time.Duration
	closeConn  bool
}

// roundTrip writes a request and reads its answer. sent is when the last byte was written; 0: it was not.
func (c *clientConn) roundTrip(request apiRequest, deadline time.Time) (sent int64, a apiResponse, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return 0, a, err
	}
	method, body := "GET", ""
	if !request.class.Safe {
		method, body = "POST", "present "+request.id+"\n"
	}
	more := ""
	if request.retry {
		more = "X-Retried: 1\r\n"
	}
	if request.client != "" {
		more += "X-Tenant-Id: " + request.client + "\r\n"
	}
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = fmt.Fprintf(c, "%s /api?class=%s&work_ns=%d HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n%s%s\r\n%s",
		method, request.class.Name, request.work.Nanoseconds(), request.id, request.class.Name, request.timeout.Milliseconds(), more, length, body)
	if err != nil {
		return 0, a, classifyError(err)
	}
	sent = clock.Now()
	if _, err := c.reader.Peek(1); err != nil {
		return sent, a, classifyError(err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return sent, a, fmt.Errorf("unreadable answer: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return sent, a, fmt.Errorf("answer broken off: %w", err)
	}
	a.status, a.closeConn = resp.StatusCode, resp.Close
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && after > 0 {
		a.retryAfter = time.Duration(after * float64(time.Second))
	}
	if a.status == http.StatusOK {
		a.servedBy = "?"
		if uid, ok := strings.CutPrefix(string(text), "recorded "+request.id+" by "); ok && strings.HasSuffix(uid, "\n") {
			a.servedBy = strings.TrimSuffix(uid, "\n")
		}
	}
	return sent, a, nil
}

// classifyError tells the end of a connection from a time-out.
func classifyError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("no answer: %w", err)
	}
	return fmt.Errorf("%w: %w", errConnClosed, err)
}
