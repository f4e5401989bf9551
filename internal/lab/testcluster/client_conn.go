package testcluster

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

const (
	connectTimeout  = time.Second // PROTOCOL.md: a new connection has a second to come up
	maxAnswerBytes  = 64 << 20    // of an answer's body; what is beyond is not read
	headBufferBytes = 512
	peekBufferBytes = 512
)

// clientConn is a client's connection to a proxy. One goroutine uses it at a time.
type clientConn struct {
	tcp         *net.TCPConn
	in          *bufio.Reader
	bytesRead   int64  // from the socket, since the connection was made
	head        []byte // bytes of an answer whose head is not complete yet; nil: none is awaited
	peerClosed  bool   // the peer sends no more
	address     string
	idleSince   time.Duration
	idleTimeout time.Duration // as the proxy announced it; 0: it did not
}

// Read implements io.Reader for in.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	c.bytesRead += int64(n)
	c.peerClosed = c.peerClosed || errors.Is(err, io.EOF)
	if c.head != nil {
		c.head = append(c.head, p[:n]...)
	}
	return n, err
}

func dial(ctx context.Context, address string) (*clientConn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	raw, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	c := &clientConn{tcp: tcp, address: address}
	c.in = bufio.NewReader(c)
	return c, nil
}

// pendingBytes reports how many bytes have come that nobody has read, of an idle connection, and whether the connection was closed.
func (c *clientConn) pendingBytes() (count int, closed bool) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0, true
	}
	count = c.in.Buffered()
	var peeked int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		peeked, _, peekErr = unix.Recvfrom(int(fd), make([]byte, peekBufferBytes), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return count, true
	case errors.Is(peekErr, unix.EAGAIN):
		return count, false
	case peekErr != nil || peeked <= 0:
		return count, true
	}
	return count + peeked, false
}

// exchange sends an attempt on the connection, reads its answer and records both in the attempt. It returns the answer's header, nil if none
// came, and whether the connection can be used again.
func (c *clientConn) exchange(spec *attemptSpec, now func() time.Duration) (header http.Header, reusable bool) {
	attempt := spec.attempt
	before := c.bytesRead
	c.head = make([]byte, 0, headBufferBytes)
	if err := c.send(spec, now); err != nil {
		attempt.Outcome = c.classifyEnd(err, 0)
		return nil, false
	}
	resp, err := c.readHead(spec) //nolint:bodyclose // the connection ends with its owner
	if err != nil {
		attempt.Outcome = c.classifyEnd(err, c.bytesRead-before)
		return nil, false
	}
	if err := c.readBody(resp, spec); err != nil {
		attempt.Outcome = c.classifyEnd(err, c.bytesRead-before)
		return resp.Header, false
	}
	attempt.Outcome = rules.Answered
	attempt.Surplus = c.in.Buffered()
	c.idleTimeout = keepAliveTimeout(resp.Header)
	return resp.Header, !resp.Close && attempt.Surplus == 0
}

func (c *clientConn) send(spec *attemptSpec, now func() time.Duration) error {
	spec.attempt.Sent = now()
	_ = c.tcp.SetDeadline(spec.deadline)
	_, err := io.WriteString(c.tcp, spec.encode())
	spec.attempt.SentComplete = now()
	return err
}

func (c *clientConn) readHead(spec *attemptSpec) (*http.Response, error) {
	attempt := spec.attempt
	c.extendReadDeadline(spec)
	resp, err := http.ReadResponse(c.in, &http.Request{Method: attempt.Method})
	if err != nil {
		if c.peerClosed && c.isHeadPrefix() {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	c.head = nil
	attempt.Status, attempt.AnswerID, attempt.Seal = resp.StatusCode, resp.Header.Get("X-Attempt-Id"), resp.Header.Get("X-Server-Seal")
	if spec.onFirst != nil && resp.StatusCode < 300 {
		spec.onFirst()
	}
	return resp, nil
}

func (c *clientConn) readBody(resp *http.Response, spec *attemptSpec) error {
	_ = c.tcp.SetReadDeadline(spec.deadline)
	spec.attempt.Stream = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if spec.attempt.Stream {
		return c.readEvents(resp.Body, spec)
	}
	digest := xxhash.New()
	_, err := io.Copy(digest, io.LimitReader(resp.Body, maxAnswerBytes))
	spec.attempt.Answer = digest.Sum64()
	return err
}

// extendReadDeadline gives the next read the attempt's readTimeout, if it has one.
func (c *clientConn) extendReadDeadline(spec *attemptSpec) {
	if spec.readTimeout > 0 {
		_ = c.tcp.SetReadDeadline(earlier(spec.deadline, time.Now().Add(spec.readTimeout)))
	}
}

// isHeadPrefix reports whether what came is the beginning of an answer's head, so that the answer is truncated. http.ReadResponse has no
// error of its own for that.
func (c *clientConn) isHeadPrefix() bool {
	const start = "HTTP/1."
	n := min(len(start), len(c.head))
	return string(c.head[:n]) == start[:n] && !bytes.Contains(c.head, []byte("\r\n\r\n"))
}

// classifyEnd returns what an error of the connection means for the attempt of whose answer so many bytes had come. A socket that its owner
// closes with bytes unread, or that is closed already when bytes come, sends a reset; a socket whose bytes were all read closes in order.
// After an orderly close, a reset shows only as the socket's pending error, while reading returns io.EOF.
func (c *clientConn) classifyEnd(err error, answerBytes int64) rules.Outcome {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return rules.TimedOut
	case answerBytes == 0 && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || c.wasReset()):
		return rules.ClosedUnread
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, net.ErrClosed):
		return rules.Truncated
	}
	return rules.Malformed
}

// wasReset reports whether the peer has reset the connection, by the socket's pending error.
func (c *clientConn) wasReset() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	err = raw.Control(func(fd uintptr) { pending, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) })
	return err == nil && pending != 0
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// keepAliveTimeout returns the idle time-out that the header Keep-Alive announces, or 0.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
