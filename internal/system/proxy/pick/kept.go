package pick

import "time"

const (
	connectCost = 30 // milliseconds that a request over a kept connection is worth, beside the time that a new one takes

	// DefaultIdleTimeout is for how long connections are kept without use where no server has told for how long it keeps them.
	DefaultIdleTimeout = 30 * time.Second
)

// IdleTimeout is for how long connections are kept without use to a server that tells for how long it keeps them. Danger: what
// crosses the close of a connection that has idled too long is a reset that may have run. Half of the time keeps well clear of it.
func IdleTimeout(told time.Duration) time.Duration { return told / 2 }

// idleConns are the connections to a server that this proxy keeps, as far as its own requests tell.
type idleConns struct {
	count          int
	lastReturnedAt Time // when one was last given back
}

// usable tells whether a connection is there that has not been without use for life.
func (k *idleConns) usable(now Time, life time.Duration) bool {
	return k.count > 0 && now-k.lastReturnedAt <= life
}

// take uses one up, or none where all have been without use for too long.
func (k *idleConns) take(now Time, life time.Duration) {
	if !k.usable(now, life) {
		k.count = 0
		return
	}
	k.count--
}

func (k *idleConns) put(now Time) { k.count, k.lastReturnedAt = k.count+1, now }

// SetIdleTimeout takes in for how long the server keeps a connection without use, as it told.
func (p *Picker) SetIdleTimeout(id string, told time.Duration) {
	if s := p.servers[id]; s != nil && told > 0 {
		s.group.idleTimeout = IdleTimeout(told)
	}
}

// connectCost is what a new connection to s is worth avoiding, in milliseconds, and the part of it that the request waits for; 0
// where one is kept.
func (p *Picker) connectCost(now Time, s *server) (price, wait float64) {
	if s.idle.usable(now, s.group.idleTimeout) {
		return 0, 0
	}
	return connectCost, p.roundTrip(s)
}
