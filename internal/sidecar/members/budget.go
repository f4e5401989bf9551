package members

import "time"

// byteBudget is a bound on bytes: so many a second, and at once what was saved up.
type byteBudget struct {
	left float64
	at   time.Duration // when that was counted; 0: never
}

// hasBytes tells whether something may be told, at a time of the own clock, by a rate in bytes a second and the most that is saved up.
func (b *byteBudget) hasBytes(now time.Duration, rate, most float64) bool {
	if b.at == 0 {
		b.left = most
	}
	b.left = min(b.left+rate*max(0, now-b.at).Seconds(), most)
	b.at = max(b.at, now, 1)
	return b.left > 0
}

// spend takes bytes if it is open. The last ones may be borrowed: a frame is told whole.
func (b *byteBudget) spend(bytes int, now time.Duration, rate, most float64) bool {
	if !b.hasBytes(now, rate, most) {
		return false
	}
	b.left -= float64(bytes)
	return true
}

// The bounds on news. Danger: without them one member that tells too much fills the packets of all.
const (
	updateBytesPerSecond    = 192_000 // bytes a second that all origins together may tell
	maxOriginBytesPerSecond = 16_000  // an origin, in a small fleet
	minOriginBytesPerSecond = 64      // and in the largest
	burstSeconds            = 2       // seconds of its share that an origin may tell at once
	receiveLenience         = 1.5     // by which others let an origin tell more than it may: what was held back comes at once
	exchangeBytesPerSecond  = 256_000 // bytes a second that a member sends in exchanges
	exchangeBurstBytes      = exchangeBytesPerSecond / 4
)

// originShare is how many bytes a second one of so many may tell.
func originShare(members int) float64 {
	return min(max(updateBytesPerSecond/float64(max(members, 1)), minOriginBytesPerSecond), maxOriginBytesPerSecond)
}
