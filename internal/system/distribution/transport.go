package distribution

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
	maxRequest = 8 << 20  // bytes
	maxReply   = 40 << 20 // bytes: the largest configuration that the operator may send, its change and a table beside it

	dialTimeout   = 500 * time.Millisecond
	userTimeout   = 1500 * time.Millisecond
	requestWithin = 5 * time.Second  // until a request has been read
	answerWithin  = 30 * time.Second // from then on, until its answer has been taken
	replyWithin   = 20 * time.Second // until an answer that comes slowly is complete
)

// NewTransport makes the transport of calls between the system's own processes: few idle connections, and ones whose
// bytes stay unacknowledged for 1500 ms are dropped.
func NewTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
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

// bounded limits what a call may take of a server: the bytes and the time of its request, and the time until its answer has
// been taken. A caller that does not read holds up only itself, and that not for ever.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w) // where there are no deadlines, as in tests, its errors say so
		_ = c.SetReadDeadline(time.Now().Add(requestWithin))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
		if err != nil {
			http.Error(w, "the request came too slowly or is too large: send less", http.StatusRequestEntityTooLarge)
			return
		}
		_ = c.SetReadDeadline(time.Time{}) // an end of the connection now means that the caller is gone
		_ = c.SetWriteDeadline(time.Now().Add(answerWithin))
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// patience bounds a call by the silence of the one called, not by how long its answer takes to arrive.
type patience struct {
	timer *time.Timer
	each  time.Duration // of silence, once the answer has begun
	until time.Time     // whatever comes
}

type patienceKey struct{}

// withPatience gives a context that ends when the answer has not begun after first, or then pauses for each, or is not
// complete after replyWithin.
func withPatience(ctx context.Context, first, each time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	p := &patience{each: each, until: time.Now().Add(first + replyWithin)}
	p.timer = time.AfterFunc(first, cancel)
	return context.WithValue(ctx, patienceKey{}, p), func() {
		p.timer.Stop()
		cancel()
	}
}

// more notes that some of the answer has come.
func (p *patience) more() {
	if left := time.Until(p.until); left > 0 && p.timer.Stop() {
		p.timer.Reset(min(left, p.each))
	}
}

// boundedTransport limits the bodies that a client reads, and lets the patience in a request's context know of them.
type boundedTransport struct{ next http.RoundTripper }

func (b boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := b.next.RoundTrip(r)
	if err == nil {
		p, _ := r.Context().Value(patienceKey{}).(*patience)
		resp.Body = replyBody{http.MaxBytesReader(nil, resp.Body, maxReply), p}
	}
	return resp, err
}

type replyBody struct {
	io.ReadCloser
	patience *patience // nil: the context alone bounds the call
}

func (b replyBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.patience != nil {
		b.patience.more()
	}
	return n, err
}
