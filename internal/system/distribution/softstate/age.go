package softstate

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
)

const (
	// MaxAge bounds ages stated by other processes, so that none overflows.
	MaxAge = 24 * time.Hour
	// defaultAgeSpan is the assumed difference between the maximum and the minimum age if a process of a version without least_age_ms
	// does not state the minimum. It is longer than any call takes that is answered in time. If it were 0, a warm-up that such a process
	// states and that began long ago would start over.
	defaultAgeSpan = 2 * time.Second
)

// Age bounds how long ago something was made or read at another process, whose clock is not known here. Each hop widens it by the hop's
// possible duration. What a duration forbids is counted down from the latest possible moment, that is by Min; what it permits is counted
// down from the earliest, that is by Max.
type Age struct{ Min, Max time.Duration }

// TimeBounds are the earliest and latest time at which something was made, by this process's monotonic clock.
type TimeBounds struct{ Earliest, Latest time.Time }

// AgeAt returns how long before now something was made.
func (b TimeBounds) AgeAt(now time.Time) Age {
	return Age{Min: now.Sub(b.Latest), Max: now.Sub(b.Earliest)}
}

// MadeBetween returns the bounds of when something was made whose age is a at now.
func (a Age) MadeBetween(now time.Time) TimeBounds {
	return TimeBounds{Earliest: now.Add(-a.Max), Latest: now.Add(-a.Min)}
}

// Plus returns the age after a hop whose duration is bounded by hop.
func (a Age) Plus(hop Age) Age { return Age{Min: a.Min + hop.Min, Max: a.Max + hop.Max} }

// normalized makes an age that another process stated valid: neither bound is negative, and Min is at most Max.
func (a Age) normalized() Age {
	a.Max = max(a.Max, 0)
	a.Min = min(max(a.Min, 0), a.Max)
	return a
}

// AgeUpTo returns the age of something that was made within the last d.
func AgeUpTo(d time.Duration) Age { return Age{Min: 0, Max: max(d, 0)} }

// ageFromProto decodes the age of an entry.
func ageFromProto(entry *distributionpb.Entry) Age {
	age := Age{Max: BoundedMilliseconds(entry.GetAgeMs(), MaxAge)}
	if entry.LeastAgeMs != nil {
		age.Min = BoundedMilliseconds(entry.GetLeastAgeMs(), MaxAge)
	} else {
		age.Min = age.Max - defaultAgeSpan
	}
	return age.normalized()
}

// BoundedMilliseconds converts a number of milliseconds that another process stated, limited to limit.
func BoundedMilliseconds(ms uint64, limit time.Duration) time.Duration {
	if ms > uint64(limit/time.Millisecond) {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}
