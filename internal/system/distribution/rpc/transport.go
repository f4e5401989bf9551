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
	maxRequestBytes   = 8 << 20
	maxReplyBodyBytes = 40 << 20 // the largest configuration that an operator may send, its change and a table
)

const (
	dialTimeout        = 500 * time.Millisecond
	tcpUserTimeout     = 1500 * time.Millisecond // how long sent bytes may stay unacknowledged
	keepAliveInterval  = 5 * time.Second
	idleConnTimeout    = 5 * time.Second
	requestReadTimeout = 5 * time.Second  // for reading a request completely
	maxReplyDuration   = 20 * time.Second // for a slow reply to arrive completely
)

const (
	maxIdleConns        = 16
	maxIdleConnsPerHost = 2
	bufferBytes         = 4 << 10
)

// ReplyWriteTimeout bounds the time from when a request has been read until the caller has read the reply.
const ReplyWriteTimeout = 30 * time.Second

// NewTransport returns the transport for calls between the system's own processes. It keeps few idle connections, and drops connections
// whose bytes stay unacknowledged for 1500 ms.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval, Control: setUserTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
		DisableCompression:  true,
	}
}

// setUserTimeout sets a socket's TCP_USER_TIMEOUT (RFC 5482).
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	controlErr := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}

// BoundedHandler limits the server resources that a call may use: the bytes and the time of its request, and the time until its reply has
// been read. A caller that does not read delays only itself, and only for a limited time.
func BoundedHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w) // returns errors where deadlines are not supported, as in tests
		_ = controller.SetReadDeadline(time.Now().Add(requestReadTimeout))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			http.Error(w, "the request came too slowly or is too large: send less", http.StatusRequestEntityTooLarge)
			return
		}
		_ = controller.SetReadDeadline(time.Time{}) // from now on, a closed connection means that the caller is gone
		_ = controller.SetWriteDeadline(time.Now().Add(ReplyWriteTimeout))
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// idleDeadline bounds how long nothing of a reply arrives, rather than how long the reply takes in total.
type idleDeadline struct {
	timer    *time.Timer
	maxPause time.Duration // between parts of the reply, once it has begun
	deadline time.Time     // for the complete reply
}

type idleDeadlineKey struct{}

// WithIdleTimeout returns a context for a call through a BoundedTransport. The context ends when the reply has not begun after first, or
// pauses for maxPause after that, or is not complete 20 s after first.
func WithIdleTimeout(ctx context.Context, first, maxPause time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	idle := &idleDeadline{maxPause: maxPause, deadline: time.Now().Add(first + maxReplyDuration)}
	idle.timer = time.AfterFunc(first, cancel)
	return context.WithValue(ctx, idleDeadlineKey{}, idle), func() {
		idle.timer.Stop()
		cancel()
	}
}

// extend is called when a part of the reply has arrived.
func (d *idleDeadline) extend() {
	if left := time.Until(d.deadline); left > 0 && d.timer.Stop() {
		d.timer.Reset(min(left, d.maxPause))
	}
}

// BoundedTransport limits the size of the reply bodies that a client reads, and extends the idle deadline in a request's context as data
// arrives.
type BoundedTransport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b BoundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := b.Next.RoundTrip(r)
	if err == nil {
		idle, _ := r.Context().Value(idleDeadlineKey{}).(*idleDeadline)
		resp.Body = replyBody{http.MaxBytesReader(nil, resp.Body, maxReplyBodyBytes), idle}
	}
	return resp, err
}

type replyBody struct {
	io.ReadCloser
	idle *idleDeadline // nil: only the context bounds the call
}

func (b replyBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.idle != nil {
		b.idle.extend()
	}
	return n, err
}
