package testcluster

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
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
	connectTimeout = time.Second // PROTOCOL.md: a new connection has a second to come up
	maxAnswerBytes = 64 << 20
)

// clientConn is a client's connection to a proxy.
type clientConn struct {
	tcp         *net.TCPConn
	in          *bufio.Reader
	bytesRead   int64  // bytes that came
	head        []byte // of the answer that comes; nil once it is whole
	peerClosed  bool   // the peer sends no more
	address     string
	used        bool
	idleSince   time.Duration
	idleTimeout time.Duration // as the proxy said; 0: it did not
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

// pendingBytes reports how many bytes wait on an idle connection, and whether it was closed.
func (c *clientConn) pendingBytes() (bytes int, closed bool) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0, true
	}
	bytes = c.in.Buffered()
	var peeked int
	var inner error
	err = raw.Control(func(fd uintptr) {
		peeked, _, inner = unix.Recvfrom(int(fd), make([]byte, 512), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return bytes, true
	case errors.Is(inner, unix.EAGAIN):
		return bytes, false
	case inner != nil || peeked <= 0:
		return bytes, true
	}
	return bytes + peeked, false
}

// attemptSpec is one attempt as it is written.
type attemptSpec struct {
	attempt        *rules.Attempt
	headers        [][2]string
	body           string
	chunked        bool
	deadline       time.Time
	silenceTimeout time.Duration // of silence, where a stream is expected; 0: until the deadline
	onFirst        func()        // is called at the first event, or the answer's head
}

// encode is the request's bytes.
func (s *attemptSpec) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n", s.attempt.Method, s.attempt.Path, s.attempt.Host, s.attempt.ID)
	for _, h := range s.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if s.chunked && s.body != "" {
		half := len(s.body)/2 + 1
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, piece := range []string{s.body[:half], s.body[half:]} {
			if piece != "" {
				fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
			}
		}
		b.WriteString("0\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(s.body), s.body)
	}
	return b.String()
}

// exchange sends an attempt on the connection and reads its answer. It reports whether the connection may be used again.
func (c *clientConn) exchange(spec *attemptSpec, now func() time.Duration) (header http.Header, reusable bool) {
	attempt := spec.attempt
	before := c.bytesRead
	c.head = make([]byte, 0, 512)
	attempt.Sent = now()
	_ = c.tcp.SetDeadline(spec.deadline)
	_, err := io.WriteString(c.tcp, spec.encode())
	attempt.SentComplete = now()
	if err != nil {
		attempt.Outcome = c.classifyEnd(err, 0)
		return nil, false
	}
	if spec.silenceTimeout > 0 {
		_ = c.tcp.SetReadDeadline(earlier(spec.deadline, time.Now().Add(spec.silenceTimeout)))
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: attempt.Method})
	if err != nil {
		if c.peerClosed && c.isHeadPrefix() {
			err = io.ErrUnexpectedEOF
		}
		attempt.Outcome = c.classifyEnd(err, c.bytesRead-before)
		return nil, false
	}
	c.head = nil
	_ = c.tcp.SetReadDeadline(spec.deadline)
	attempt.Status, attempt.AnswerID, attempt.Seal = resp.StatusCode, resp.Header.Get("X-Attempt-Id"), resp.Header.Get("X-Server-Seal")
	if spec.onFirst != nil && resp.StatusCode < 300 {
		spec.onFirst()
	}
	if attempt.Stream = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"); attempt.Stream {
		err = c.readEvents(resp.Body, spec)
	} else {
		digest := xxhash.New()
		_, err = io.Copy(digest, io.LimitReader(resp.Body, maxAnswerBytes))
		attempt.Answer = digest.Sum64()
	}
	if err != nil {
		attempt.Outcome = c.classifyEnd(err, c.bytesRead-before)
		return resp.Header, false
	}
	attempt.Outcome = rules.Answered
	attempt.Surplus = c.in.Buffered()
	c.used = true
	c.idleTimeout = keepAliveTimeout(resp.Header)
	return resp.Header, !resp.Close && attempt.Surplus == 0
}

// isHeadPrefix reports whether what came is the beginning of an answer's head. The reader calls that malformed.
func (c *clientConn) isHeadPrefix() bool {
	const start = "HTTP/1."
	n := min(len(start), len(c.head))
	return string(c.head[:n]) == start[:n] && !bytes.Contains(c.head, []byte("\r\n\r\n"))
}

// readEvents reads a stream to its end.
func (c *clientConn) readEvents(body io.Reader, spec *attemptSpec) error {
	lines := bufio.NewReader(body)
	id, run := 0, ""
	for {
		if spec.silenceTimeout > 0 {
			_ = c.tcp.SetReadDeadline(earlier(spec.deadline, time.Now().Add(spec.silenceTimeout)))
		}
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" && id == 0 {
			return nil
		}
		if err != nil {
			if err == io.EOF { // the body ended amid an event, as if it were whole
				spec.attempt.Events = append(spec.attempt.Events, rules.Segment{})
				return nil
			}
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			run, _, _ = strings.Cut(text, " ")
		}
		if line == "" && id != 0 {
			spec.attempt.Events = appendEvent(spec.attempt.Events, run, id)
			id, run = 0, ""
		}
	}
}

// appendEvent records one event; events of one run that follow each other are one segment.
func appendEvent(all []rules.Segment, run string, id int) []rules.Segment {
	if n := len(all); n > 0 && all[n-1].Run == run && all[n-1].Last == id-1 {
		all[n-1].Last = id
		return all
	}
	return append(all, rules.Segment{Run: run, First: id, Last: id})
}

// classifyEnd tells what the end of a connection means. A socket that its owner closes with bytes unread, and one that was closed
// when bytes came, resets; one whose bytes were all read ends in order. Danger: after an orderly end a reset shows in the
// socket's error only, and reading gives the end.
func (c *clientConn) classifyEnd(err error, came int64) rules.Outcome {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return rules.TimedOut
	case came == 0 && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || c.wasReset()):
		return rules.ClosedUnread
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, net.ErrClosed):
		return rules.Truncated
	}
	return rules.Malformed
}

// wasReset reports whether the peer's machine has reset the connection.
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
