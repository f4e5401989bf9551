package proxy

import (
	"net"
	"sync"
)

// handoffListener is a listener for connections that have been accepted elsewhere.
type handoffListener struct {
	address   net.Addr
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newHandoffListener(a net.Addr) *handoffListener {
	return &handoffListener{address: a, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// offer hands a connection over, and tells whether it was taken.
func (h *handoffListener) offer(c net.Conn) bool {
	select {
	case h.conns <- c:
		return true
	case <-h.closed:
		return false
	}
}

func (h *handoffListener) shut() { h.closeOnce.Do(func() { close(h.closed) }) }

// Accept implements net.Listener.
func (h *handoffListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoffListener) Close() error {
	h.shut()
	return nil
}

// Addr implements net.Listener.
func (h *handoffListener) Addr() net.Addr { return h.address }
