package ownership

import "time"

// Standby decides when a node does the work of a singleton role: the owner at every interval, other nodes less often, at times
// that differ by a random jitter, and only if the work has become stale.
type Standby struct {
	Interval time.Duration // interval of the role's work
	After    time.Duration // age of the newest work from which nodes other than the owner do the work as well
}

// Next reports whether to do the work now, and how long to wait until the next call: counted from the start of the work, or from
// now if there is none to do. age is the age of the newest work, whichever node did it; random is in [0, 1) and differs between
// nodes.
func (s Standby) Next(owns bool, age time.Duration, random float64) (act bool, wait time.Duration) {
	jitter := time.Duration(random * float64(s.Interval))
	switch {
	case owns:
		return true, s.Interval
	case age < s.After:
		return false, s.Interval/2 + jitter
	default:
		return true, max(s.Interval, s.After/2) + jitter
	}
}
