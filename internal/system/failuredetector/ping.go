package failuredetector

import "slices"

// maxRecentPings bounds the pings that are remembered: those of some seconds.
const maxRecentPings = 64

// sentPing is a ping, or several of one moment, that may still be answered.
type sentPing struct {
	nonce  uint64
	sentAt Time
}

// pingLog remembers the nonces of recent pings. They distinguish replies to these from replies that waited in a buffer, or that
// answer a former process at this address.
type pingLog struct {
	nonce  uint64     // of the newest ping
	recent []sentPing // the newest last
}

// record returns the nonce for the pings that are sent now.
func (p *pingLog) record(now Time) uint64 {
	if last := len(p.recent) - 1; last >= 0 && p.recent[last].sentAt == now {
		return p.recent[last].nonce
	}
	p.nonce++
	if len(p.recent) >= maxRecentPings {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
	p.recent = append(p.recent, sentPing{p.nonce, now})
	return p.nonce
}

// sentAt returns when the ping with a nonce was sent; false where no such ping is remembered.
func (p *pingLog) sentAt(nonce uint64) (Time, bool) {
	for _, ping := range p.recent {
		if ping.nonce == nonce {
			return ping.sentAt, true
		}
	}
	return 0, false
}

// forget makes all replies to the pings so far stale. Nonces go on, so that later pings are not confused with them.
func (p *pingLog) forget() { p.recent = nil }
