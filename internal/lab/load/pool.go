package load

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	maxIdleTime  = 1500 * time.Millisecond // shorter than the 2 s after which a sidecar may close an idle connection
	maxIdleConns = 64                      // to one sidecar
)

// connPool has the connections to one sidecar, and reuses the one that was used last. It is safe for concurrent use.
type connPool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
	closed  bool
}

// get returns a connection that the caller puts back or closes, and whether it was used before.
func (p *connPool) get(deadline time.Time) (c *clientConn, used bool, err error) {
	p.mu.Lock()
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) > maxIdleTime {
		_ = p.idle[0].Close() // nothing is in flight on it
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

// dial returns a new connection.
func (p *connPool) dial(deadline time.Time) (*clientConn, error) {
	dialer := net.Dialer{Deadline: deadline}
	raw, err := dialer.Dial("tcp4", p.address)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// put takes a connection back, and closes it if it cannot be reused.
func (p *connPool) put(c *clientConn, closeConn bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if closeConn || p.closed || len(p.idle) >= maxIdleConns {
		_ = c.Close() // nothing is in flight on it
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// close closes all idle connections; others are closed when they are put back.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close() // nothing is in flight on it
	}
	p.idle = nil
}
