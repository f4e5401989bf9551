package pick

import "time"

// DefaultIdleTimeout is how long idle connections are kept if no server has announced its own timeout.
const DefaultIdleTimeout = 30 * time.Second

// IdleTimeout returns how long idle connections are kept to a server that keeps them for the announced
// time. If a request is sent just as the server closes a connection that was idle for too long, the proxy
// gets a reset and cannot know whether the request ran. Half of the announced time leaves a safe margin.
func IdleTimeout(announced time.Duration) time.Duration { return announced / 2 }

// idleConns estimates the idle connections of this proxy to one server from its own requests.
type idleConns struct {
	count          int
	lastReturnedAt Time // when a connection was last returned
}

// usable reports whether there is a connection that has not been idle for longer than timeout.
func (c *idleConns) usable(now Time, timeout time.Duration) bool {
	return c.count > 0 && now-c.lastReturnedAt <= timeout
}

// acquire removes a connection, or all of them if they have been idle for too long.
func (c *idleConns) acquire(now Time, timeout time.Duration) {
	if !c.usable(now, timeout) {
		c.count = 0
		return
	}
	c.count--
}

// release returns a connection.
func (c *idleConns) release(now Time) { c.count, c.lastReturnedAt = c.count+1, now }

// SetIdleTimeout records for how long the servers of a service keep idle
// connections, as announced by the server with this id; 0: not announced.
func (p *Picker) SetIdleTimeout(id string, announced time.Duration) {
	if s := p.servers[id]; s != nil && announced > 0 {
		s.group.idleTimeout = IdleTimeout(announced)
	}
}

// hasIdleConn reports whether a request to s can use an idle connection.
func (s *server) hasIdleConn(now Time) bool { return s.idle.usable(now, s.group.idleTimeout) }
