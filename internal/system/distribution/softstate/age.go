package softstate

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
)

const (
	// MaxAge bounds ages that other processes state, so that none overflows.
	MaxAge = 24 * time.Hour
	// defaultAgeSpan is by how much the least age lies below the most where a process from before least_age_ms does not state it: longer
	// than calls take that are answered in time. Were it 0, what such a process says of a warm-up of long ago would begin anew.
	defaultAgeSpan = 2 * time.Second
)

// Age bounds how long ago something was made or read at another process, whose clock is not known here. Each hop widens it by what the
// hop may have taken. What a duration forbids is counted down from the latest possible moment, so by Min; what it permits from the
// earliest, so by Max.
type Age struct{ Min, Max time.Duration }

// TimeBounds are the moments between which something was made, by this process's monotonic clock.
type TimeBounds struct{ Earliest, Latest time.Time }

// AgeAt is how long before now something was made.
func (b TimeBounds) AgeAt(now time.Time) Age {
	return Age{Min: now.Sub(b.Latest), Max: now.Sub(b.Earliest)}
}

// MadeBetween returns the moments between which something was made that has this age now.
func (a Age) MadeBetween(now time.Time) TimeBounds {
	return TimeBounds{Earliest: now.Add(-a.Max), Latest: now.Add(-a.Min)}
}

// Plus is the age after a hop whose duration is bounded likewise.
func (a Age) Plus(hop Age) Age { return Age{Min: a.Min + hop.Min, Max: a.Max + hop.Max} }

// normalized makes an age that another process stated sound: neither bound is negative, and Min is at most Max.
func (a Age) normalized() Age {
	a.Max = max(a.Max, 0)
	a.Min = min(max(a.Min, 0), a.Max)
	return a
}

// AgeUpTo is the age of what was made at some moment of the last d.
func AgeUpTo(d time.Duration) Age { return Age{Min: 0, Max: max(d, 0)} }

// ageFromProto reads the age of an entry.
func ageFromProto(entry *distributionpb.Entry) Age {
	age := Age{Max: BoundedMilliseconds(entry.GetAgeMs(), MaxAge)}
	if entry.LeastAgeMs != nil {
		age.Min = BoundedMilliseconds(entry.GetLeastAgeMs(), MaxAge)
	} else {
		age.Min = age.Max - defaultAgeSpan
	}
	return age.normalized()
}

// BoundedMilliseconds reads a number of milliseconds that another process stated, at most limit.
func BoundedMilliseconds(ms uint64, limit time.Duration) time.Duration {
	if ms > uint64(limit/time.Millisecond) {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}
