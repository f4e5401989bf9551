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
	idleConn = 1500 * time.Millisecond // before the 2 s after which a sidecar may close one
	mostIdle = 64                      // connections to one sidecar
)

var errHungUp = errors.New("hung up without an answer")

// pool is the connections to one sidecar, the last used first.
type pool struct {
	address string
	mu      sync.Mutex
	idle    []*conn
	closed  bool
}

type conn struct {
	net.Conn
	in    *bufio.Reader
	since time.Time
}

func (p *pool) get(deadline time.Time) (c *conn, used bool, err error) {
	p.mu.Lock()
	for len(p.idle) > 0 && time.Since(p.idle[0].since) > idleConn {
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

func (p *pool) dial(deadline time.Time) (*conn, error) {
	dialer := net.Dialer{Deadline: deadline}
	raw, err := dialer.Dial("tcp4", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, in: bufio.NewReader(raw)}, nil
}

func (p *pool) put(c *conn, closes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if closes || p.closed || len(p.idle) >= mostIdle {
		c.Close()
		return
	}
	c.since = time.Now()
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// question is what a request says.
type question struct {
	id      string
	class   plan.Class
	work    time.Duration
	timeout time.Duration
	retry   bool
	client  string // "": nobody by name
}

// answer is what came back.
type answer struct {
	status int
	by     string // the server that made it; "?" where no server's answer reads so
	after  time.Duration
	closes bool
}

// ask writes a request and reads its answer. sent is when the last byte was written; 0: it was not.
func (c *conn) ask(q question, deadline time.Time) (sent int64, a answer, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return 0, a, err
	}
	method, body := "GET", ""
	if !q.class.Safe {
		method, body = "POST", "present "+q.id+"\n"
	}
	more := ""
	if q.retry {
		more = "X-Retried: 1\r\n"
	}
	if q.client != "" {
		more += "X-Tenant-Id: " + q.client + "\r\n"
	}
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = fmt.Fprintf(c, "%s /api?class=%s&work_ns=%d HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n%s%s\r\n%s",
		method, q.class.Name, q.work.Nanoseconds(), q.id, q.class.Name, q.timeout.Milliseconds(), more, length, body)
	if err != nil {
		return 0, a, hungUp(err)
	}
	sent = clock.Now()
	if _, err := c.in.Peek(1); err != nil {
		return sent, a, hungUp(err)
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return sent, a, fmt.Errorf("unreadable answer: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return sent, a, fmt.Errorf("answer broken off: %w", err)
	}
	a.status, a.closes = resp.StatusCode, resp.Close
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && after > 0 {
		a.after = time.Duration(after * float64(time.Second))
	}
	if a.status == http.StatusOK {
		a.by = "?"
		if uid, ok := strings.CutPrefix(string(text), "recorded "+q.id+" by "); ok && strings.HasSuffix(uid, "\n") {
			a.by = strings.TrimSuffix(uid, "\n")
		}
	}
	return sent, a, nil
}

// hungUp tells the end of a connection from a time-out.
func hungUp(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("no answer: %w", err)
	}
	return fmt.Errorf("%w: %w", errHungUp, err)
}
