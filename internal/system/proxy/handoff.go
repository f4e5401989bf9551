package proxy

import (
	"net"
	"sync"
)

// handoffListener is a net.Listener for connections that were accepted by another listener.
type handoffListener struct {
	address   net.Addr
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newHandoffListener(address net.Addr) *handoffListener {
	return &handoffListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// offer hands a connection to the next Accept. It returns false if the listener is closed first.
func (h *handoffListener) offer(conn net.Conn) bool {
	select {
	case h.conns <- conn:
		return true
	case <-h.closed:
		return false
	}
}

func (h *handoffListener) shut() { h.closeOnce.Do(func() { close(h.closed) }) }

// Accept implements net.Listener.
func (h *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
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
