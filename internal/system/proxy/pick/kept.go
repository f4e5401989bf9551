package pick

import "time"

const (
	dialPrice  = 30               // milliseconds that a request over a kept connection is worth, beside the time that a new one takes
	untoldKept = 30 * time.Second // connections are kept so long without use where no server has told for how long it keeps them
	keptOfTold = 0.5              // of the time that servers tell
)

// kept are the connections to a server that this proxy keeps, as far as its own requests tell.
type kept struct {
	count int
	at    Time // when one was last given back
}

// any tells whether a connection is there that has not been without use for life.
func (k *kept) any(now Time, life time.Duration) bool { return k.count > 0 && now-k.at <= life }

// take uses one up, or none where all have been without use for too long.
func (k *kept) take(now Time, life time.Duration) {
	if !k.any(now, life) {
		k.count = 0
		return
	}
	k.count--
}

func (k *kept) put(now Time) { k.count, k.at = k.count+1, now }

// Keeps takes in for how long the server keeps a connection without use, as it told.
func (p *Picker) Keeps(id string, told time.Duration) {
	if s := p.servers[id]; s != nil && told > 0 {
		s.group.keptFor = time.Duration(keptOfTold * float64(told))
	}
}

// connecting is what a new connection to s is worth avoiding, in milliseconds, and the part of it that the request waits for; 0
// where one is kept.
func (p *Picker) connecting(now Time, s *server) (price, wait float64) {
	if s.kept.any(now, s.group.keptFor) {
		return 0, 0
	}
	switch {
	case s.region != 0:
		wait = 2 * ms(p.set.CrossRegion)
	case s.Zone != p.set.Zone:
		wait = 2 * ms(p.set.CrossZone)
	}
	return dialPrice, wait
}
