package rpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxRequestBytes   = 8 << 20  // bytes
	maxReplyBodyBytes = 40 << 20 // bytes: the largest configuration that the operator may send, its change and a table beside it

	dialTimeout        = 500 * time.Millisecond
	tcpUserTimeout     = 1500 * time.Millisecond
	requestReadTimeout = 5 * time.Second  // until a request has been read
	ReplyWriteTimeout  = 30 * time.Second // from then on, until its answer has been taken
	maxReplyDuration   = 20 * time.Second // until an answer that comes slowly is complete
)

// NewTransport makes the transport of calls between the system's own processes: few idle connections, and ones whose
// bytes stay unacknowledged for 1500 ms are dropped.
func NewTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
		}); e != nil {
			return e
		}
		return err
	}}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConns:        16,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     5 * time.Second,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
		DisableCompression:  true,
	}
}

// BoundedHandler limits what a call may take of a server: the bytes and the time of its request, and the time until its answer has
// been taken. A caller that does not read holds up only itself, and that not for ever.
func BoundedHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w) // where there are no deadlines, as in tests, its errors say so
		_ = c.SetReadDeadline(time.Now().Add(requestReadTimeout))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			http.Error(w, "the request came too slowly or is too large: send less", http.StatusRequestEntityTooLarge)
			return
		}
		_ = c.SetReadDeadline(time.Time{}) // an end of the connection now means that the caller is gone
		_ = c.SetWriteDeadline(time.Now().Add(ReplyWriteTimeout))
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// idleDeadline bounds a call by the silence of the one called, not by how long its answer takes to arrive.
type idleDeadline struct {
	timer    *time.Timer
	maxPause time.Duration // of silence, once the answer has begun
	deadline time.Time     // whatever comes
}

type idleDeadlineKey struct{}

// WithIdleTimeout gives a context that ends when the answer has not begun after first, or then pauses for each, or is not
// complete after maxReplyDuration.
func WithIdleTimeout(ctx context.Context, first, each time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	p := &idleDeadline{maxPause: each, deadline: time.Now().Add(first + maxReplyDuration)}
	p.timer = time.AfterFunc(first, cancel)
	return context.WithValue(ctx, idleDeadlineKey{}, p), func() {
		p.timer.Stop()
		cancel()
	}
}

// extend notes that some of the answer has come.
func (p *idleDeadline) extend() {
	if left := time.Until(p.deadline); left > 0 && p.timer.Stop() {
		p.timer.Reset(min(left, p.maxPause))
	}
}

// BoundedTransport limits the bodies that a client reads, and lets the patience in a request's context know of them.
type BoundedTransport struct{ Next http.RoundTripper }

func (b BoundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := b.Next.RoundTrip(r)
	if err == nil {
		p, _ := r.Context().Value(idleDeadlineKey{}).(*idleDeadline)
		resp.Body = replyBody{http.MaxBytesReader(nil, resp.Body, maxReplyBodyBytes), p}
	}
	return resp, err
}

type replyBody struct {
	io.ReadCloser
	idle *idleDeadline // nil: the context alone bounds the call
}

func (b replyBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.idle != nil {
		b.idle.extend()
	}
	return n, err
}
