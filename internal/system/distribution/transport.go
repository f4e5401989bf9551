package distribution

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxBody     = 8 << 20
	dialTimeout = 500 * time.Millisecond
	userTimeout = 1500 * time.Millisecond
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

// bounded limits the bodies that a handler reads.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

// boundedTransport limits the bodies that a client reads.
type boundedTransport struct{ next http.RoundTripper }

func (b boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := b.next.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxBody)
	}
	return resp, err
}
