package members

import "time"

// byteBudget is a token bucket of bytes. Rate, in bytes a second, and burst are given with each call, as they change with the number of
// members. The zero value is a full bucket.
type byteBudget struct {
	left      float64
	updatedAt time.Duration // when left was computed, by the process's own clock; 0: never
}

// hasBytes refills the bucket up to a time of the own clock, and reports whether a frame may be sent.
func (b *byteBudget) hasBytes(now time.Duration, rate, burstBytes float64) bool {
	if b.updatedAt == 0 {
		b.left = burstBytes
	}
	b.left = min(b.left+rate*max(0, now-b.updatedAt).Seconds(), burstBytes)
	b.updatedAt = max(b.updatedAt, now, 1)
	return b.left > 0
}

// spend takes the bytes of a frame if any bytes are left, and reports whether it did. It may overdraw the bucket, since a frame is sent
// complete or not at all.
func (b *byteBudget) spend(bytes int, now time.Duration, rate, burstBytes float64) bool {
	if !b.hasBytes(now, rate, burstBytes) {
		return false
	}
	b.left -= float64(bytes)
	return true
}

// The bounds on updates and exchanges. Without them, one member that publishes too much would fill the packets of all members.
const (
	updateBytesPerSecond    = 192_000                    // that all origins together may publish
	maxOriginBytesPerSecond = 16_000                     // that an origin may publish in a small fleet
	minOriginBytesPerSecond = 64                         // and in the largest
	burstSeconds            = 2                          // of its share, that an origin may publish at once
	receiveLenience         = 1.5                        // factor on an origin's share at its receivers: delayed states arrive in a burst
	exchangeBytesPerSecond  = 256_000                    // that a member sends in exchanges
	exchangeBurstBytes      = exchangeBytesPerSecond / 4 // and at once
)

// originShare returns how many bytes a second each of so many members may publish, headers of frames included.
func originShare(members int) float64 {
	return min(max(updateBytesPerSecond/float64(max(members, 1)), minOriginBytesPerSecond), maxOriginBytesPerSecond)
}

// mayReceiveFrom reports whether the budget of an origin, as counted here, allows another frame. The member's own states are limited by
// Publish. m.mu is held.
func (m *Members) mayReceiveFrom(name string, now time.Duration) bool {
	if name == m.options.Name {
		return true
	}
	b := m.budgets[name]
	rate := receiveLenience * originShare(len(m.members))
	return b == nil || b.hasBytes(now, rate, rate*burstSeconds)
}

// spendBudget charges a frame to the budget of its origin, and reports whether the budget allowed it. m.mu is held.
func (m *Members) spendBudget(f frame, now time.Duration) bool {
	b := m.budgets[f.name]
	if b == nil {
		b = &byteBudget{}
		m.budgets[f.name] = b
	}
	rate := receiveLenience * originShare(len(m.members))
	return b.spend(f.size(), now, rate, rate*burstSeconds)
}
