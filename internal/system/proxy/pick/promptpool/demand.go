package promptpool

import (
	"math"
	"time"
)

// Demand is the prompt tokens that were prefilled for long and for short prompts, decayed by 1/e in MixTTL. Sums of several processes'
// demands mean the same for all of them together.
type Demand struct {
	Long, Short float64 // tokens
	at          time.Duration
}

// Decay brings the demand to now.
func (d *Demand) Decay(now time.Duration) {
	left := math.Exp(-float64(now-d.at) / float64(MixTTL))
	d.Long, d.Short, d.at = d.Long*left, d.Short*left, now
}

// Add counts the tokens of a prompt that are prefilled from now on.
func (d *Demand) Add(now time.Duration, long bool, tokens int64) {
	d.Decay(now)
	if long {
		d.Long += float64(tokens)
	} else {
		d.Short += float64(tokens)
	}
}

// Mix notes which kinds of prompts come to a service. The zero value has seen none.
type Mix struct {
	long  lastSeen
	short [MaxRegions]lastSeen // by region
}

// lastSeen is when something was last seen, if ever.
type lastSeen struct {
	at  time.Duration
	any bool
}

func (l lastSeen) recent(now time.Duration) bool { return l.any && now-l.at <= MixTTL }

// RecordLong notes a long prompt.
func (m *Mix) RecordLong(now time.Duration) { m.long = lastSeen{now, true} }

// RecordShort notes a short prompt that may go to a region below MaxRegions.
func (m *Mix) RecordShort(now time.Duration, region int) { m.short[region] = lastSeen{now, true} }

// HasLong reports whether long prompts have come of late.
func (m *Mix) HasLong(now time.Duration) bool { return m.long.recent(now) }

// HasShort reports whether short prompts that may go to a region below MaxRegions have come of late.
func (m *Mix) HasShort(now time.Duration, region int) bool { return m.short[region].recent(now) }
