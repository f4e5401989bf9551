package pick

import "time"

// DefaultIdleTimeout is for how long idle connections are kept where no server has said for how long it keeps them.
const DefaultIdleTimeout = 30 * time.Second

// IdleTimeout is for how long idle connections are kept to a server that keeps them for announced. Danger: what crosses the close of a
// connection that has idled too long is a reset that may have run. Half of the time keeps well clear of it.
func IdleTimeout(announced time.Duration) time.Duration { return announced / 2 }

// idleConns are the idle connections of this proxy to one server, as far as its own requests show.
type idleConns struct {
	count          int
	lastReturnedAt Time // when one was last returned
}

// usable reports whether a connection is there that has not been idle for longer than timeout.
func (c *idleConns) usable(now Time, timeout time.Duration) bool {
	return c.count > 0 && now-c.lastReturnedAt <= timeout
}

// take uses one up, or drops all where they have been idle for too long.
func (c *idleConns) take(now Time, timeout time.Duration) {
	if !c.usable(now, timeout) {
		c.count = 0
		return
	}
	c.count--
}

// put returns one.
func (c *idleConns) put(now Time) { c.count, c.lastReturnedAt = c.count+1, now }

// SetIdleTimeout takes in for how long the servers of id's service keep idle connections, as this one announced; 0: it did not.
func (p *Picker) SetIdleTimeout(id string, announced time.Duration) {
	if s := p.servers[id]; s != nil && announced > 0 {
		s.group.idleTimeout = IdleTimeout(announced)
	}
}

// hasIdleConn reports whether a request to s can use an idle connection.
func (s *server) hasIdleConn(now Time) bool { return s.idle.usable(now, s.group.idleTimeout) }
