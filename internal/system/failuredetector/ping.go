package failuredetector

import "slices"

// maxRecentPings bounds the pings that are remembered: those of some seconds.
const maxRecentPings = 64

// sentPing is a moment at which something was asked.
type sentPing struct {
	nonce  uint64
	sentAt Time
}

// recordPing gives the nonce of what is asked now. Answers count for Silence.
func (d *Detector) recordPing(now Time) uint64 {
	if n := len(d.recentPings); n > 0 && d.recentPings[n-1].sentAt == now {
		return d.recentPings[n-1].nonce
	}
	d.nonce++
	if len(d.recentPings) >= maxRecentPings {
		d.recentPings = slices.Delete(d.recentPings, 0, 1)
	}
	d.recentPings = append(d.recentPings, sentPing{d.nonce, now})
	return d.nonce
}

// pingSentAt gives when the question of an answer was put; false where that was never, or too long ago for an answer to say
// anything of now.
func (d *Detector) pingSentAt(now Time, nonce uint64) (Time, bool) {
	if d.options.knobs.AcceptStaleReplies {
		return now, true
	}
	for _, q := range d.recentPings {
		if q.nonce == nonce {
			return q.sentAt, now-q.sentAt < d.options.SuspectTimeout
		}
	}
	return 0, false
}
