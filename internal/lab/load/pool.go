package load

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	maxIdleTime  = 1500 * time.Millisecond // before the 2 s after which a sidecar may close one
	maxIdleConns = 64                      // connections to one sidecar
)

// connPool is the connections to one sidecar, the last used first.
type connPool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
	closed  bool
}

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

func (p *connPool) dial(deadline time.Time) (*clientConn, error) {
	dialer := net.Dialer{Deadline: deadline}
	raw, err := dialer.Dial("tcp4", p.address)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

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

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close() // nothing is in flight on it
	}
	p.idle = nil
}
