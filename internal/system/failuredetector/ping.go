package failuredetector

import "slices"

// maxRecentPings bounds the number of remembered pings, which cover several seconds.
const maxRecentPings = 64

// sentPing is a ping, or several sent at the same time, that may still be answered.
type sentPing struct {
	nonce  uint64
	sentAt Time
}

// pingLog remembers the nonces of recent pings. They distinguish replies to these pings from replies that waited in a buffer, or
// that answer a former process at this address.
type pingLog struct {
	nonce  uint64     // of the newest ping
	recent []sentPing // the newest last
}

// record returns the nonce for the pings sent at now, and remembers it.
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

// sentAt returns when the ping with a nonce was sent, or false if no such ping is remembered.
func (p *pingLog) sentAt(nonce uint64) (Time, bool) {
	for _, ping := range p.recent {
		if ping.nonce == nonce {
			return ping.sentAt, true
		}
	}
	return 0, false
}

// forget makes replies to all earlier pings stale. Nonces keep increasing, so that later pings are not confused with earlier ones.
func (p *pingLog) forget() { p.recent = nil }
