package promptpool

import (
	"math"
	"time"
)

// Demand is how many prompt tokens were prefilled for long and for short prompts, decaying
// by 1/e per MixTTL. The sum of the demands of several processes is their joint demand.
type Demand struct {
	Long, Short float64 // tokens
	at          time.Duration
}

// Decay applies the decay up to now.
func (d *Demand) Decay(now time.Duration) {
	left := math.Exp(-float64(now-d.at) / float64(MixTTL))
	d.Long, d.Short, d.at = d.Long*left, d.Short*left, now
}

// Add adds the tokens of a prompt that is prefilled from now on.
func (d *Demand) Add(now time.Duration, long bool, tokens int64) {
	d.Decay(now)
	if long {
		d.Long += float64(tokens)
	} else {
		d.Short += float64(tokens)
	}
}

// Mix records which kinds of prompts a service gets. The zero value has recorded none.
type Mix struct {
	lastLong  lastSeen
	lastShort [MaxRegions]lastSeen // by region
}

// lastSeen is when a kind was last seen, if ever.
type lastSeen struct {
	at   time.Duration
	seen bool
}

func (l lastSeen) recent(now time.Duration) bool { return l.seen && now-l.at <= MixTTL }

// RecordLong records a long prompt.
func (m *Mix) RecordLong(now time.Duration) { m.lastLong = lastSeen{now, true} }

// RecordShort records a short prompt that may go to a region with an index below MaxRegions.
func (m *Mix) RecordShort(now time.Duration, region int) { m.lastShort[region] = lastSeen{now, true} }

// HasLong reports whether long prompts have arrived recently.
func (m *Mix) HasLong(now time.Duration) bool { return m.lastLong.recent(now) }

// HasShort reports whether short prompts that may go to a region with an index below MaxRegions have arrived recently.
func (m *Mix) HasShort(now time.Duration, region int) bool { return m.lastShort[region].recent(now) }
