package ownership

import "time"

// Standby decides when a node works for a singleton role: the owner at every interval, others rarely, at a moment of their own, and
// only where the work has become stale.
type Standby struct {
	Interval time.Duration // of the role's work
	After    time.Duration // the age from which others than the owner do the work as well
}

// Next reports whether to work now, and how long to wait until the next call: counted from the start of the work, or from now where
// there is none. The age is that of the newest work, whoever did it; random lies in [0, 1) and differs from node to node.
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
