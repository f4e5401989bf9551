// Package memorynet takes HTTP requests to handlers in the same process, for tests of nodes that call each other. Only tests use it.
package memorynet

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRefused is the error of a request to a host without a handler.
var ErrRefused = errors.New("connection refused")

// Network takes each request to the handler of the host that it is for, whatever the port. It is safe for concurrent use; the zero value has no
// hosts.
type Network struct {
	Delay time.Duration // of each request, before its handler runs; not to be changed once there are requests

	mu    sync.Mutex
	hosts map[string]http.Handler
}

// New returns a network with these hosts.
func New(hosts map[string]http.Handler) *Network {
	created := &Network{}
	for host, handler := range hosts {
		created.Set(host, handler)
	}
	return created
}

// Set has a handler answer for a host from now on; nil: nobody does.
func (n *Network) Set(host string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = map[string]http.Handler{}
	}
	n.hosts[host] = handler
}

// RoundTrip implements http.RoundTripper. Its error is ErrRefused.
func (n *Network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	handler := n.hosts[r.URL.Hostname()]
	n.mu.Unlock()
	if handler == nil {
		return nil, ErrRefused
	}
	if n.Delay > 0 {
		time.Sleep(n.Delay)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	if r.Body != nil {
		_, _ = io.Copy(io.Discard, r.Body) // as a connection's other end takes what the handler left
	}
	return recorder.Result(), nil
}
