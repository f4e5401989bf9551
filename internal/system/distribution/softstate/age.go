package softstate

import "time"

// Age bounds how long ago something was made or read at another process, whose clock is not known here: at least Least and at
// most Most. Each hop widens it by what the hop may have taken. What a duration told then forbids is counted down from the
// latest possible moment, so by Least; what it permits from the earliest, so by Most.
type Age struct{ Min, Max time.Duration }

// TimeBounds are those between which something was made, by this process's monotonic clock.
type TimeBounds struct{ Earliest, Latest time.Time }

// AgeAt is how long ago something was made.
func (m TimeBounds) AgeAt(now time.Time) Age { return Age{now.Sub(m.Latest), now.Sub(m.Earliest)} }

// MadeBetween tells the moments between which something was made that is so old now.
func (a Age) MadeBetween(now time.Time) TimeBounds {
	return TimeBounds{now.Add(-a.Max), now.Add(-a.Min)}
}

// Plus is the age after a hop whose duration is bounded likewise.
func (a Age) Plus(hop Age) Age { return Age{a.Min + hop.Min, a.Max + hop.Max} }

// normalized makes an age that another process told sound: neither bound is negative, and Least is no more than Most.
func (a Age) normalized() Age {
	a.Max = max(a.Max, 0)
	a.Min = min(max(a.Min, 0), a.Max)
	return a
}

// AgeUpTo is the age of what was made at some moment since then.
func AgeUpTo(d time.Duration) Age { return Age{0, max(d, 0)} }
