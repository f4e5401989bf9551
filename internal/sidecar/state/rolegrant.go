package state

import (
	"slices"
	"time"
)

// rebalance asks the owner to hand the role over to a new candidate that is the better owner.
func (t *roleTable) rebalance(role *Role, candidate Candidate, nowMS int64) {
	if role.HandoverRequested || role.inBackoff(candidate.Process, nowMS) || !t.isBetterOwner(role, candidate) {
		return
	}
	t.edit(role, func() { role.HandoverRequested, role.Successor = true, candidate.Process })
}

// isBetterOwner tells whether a candidate should replace the owner: first the role's location decides, then the load.
func (t *roleTable) isBetterOwner(role *Role, candidate Candidate) bool {
	ownerInPlace, candidateInPlace := role.Owner.Location == role.Location, candidate.Location == role.Location
	if role.Location != "" && ownerInPlace != candidateInPlace {
		return candidateInPlace
	}
	return t.totalLoad(*role.Owner) >= t.totalLoad(candidate)+rebalanceThreshold
}

// totalLoad returns what a process carries, in roles.
func (t *roleTable) totalLoad(candidate Candidate) int64 {
	return t.burden[candidate.Process] + candidate.Load
}

// endLease ends the owner's lease, by its release or by time-out, and keeps count of its failures.
func (t *roleTable) endLease(role *Role, failed bool, nowMS int64) {
	name := ProcessName(role.Owner.Process)
	t.edit(role, func() {
		wasStable := time.Duration(nowMS-role.SinceMS)*time.Millisecond >= failureResetAfter
		if !failed || wasStable {
			role.forgetFailures(name)
		}
		if failed {
			role.recordFailure(name, nowMS)
		}
		role.Owner, role.HandoverRequested, role.Successor, role.RenewalBarred, role.SinceMS = nil, false, "", false, nowMS
	})
}

func (r *Role) failureIndex(name string) int {
	return slices.IndexFunc(r.Failures, func(f Failure) bool { return f.Name == name })
}

func (r *Role) forgetFailures(name string) {
	if i := r.failureIndex(name); i >= 0 {
		r.Failures = slices.Delete(r.Failures, i, i+1)
	}
}

// recordFailure counts a failure and sets the backoff. Where too many names have failed, the one that came first is forgotten.
func (r *Role) recordFailure(name string, nowMS int64) {
	i := r.failureIndex(name)
	if i < 0 {
		if len(r.Failures) >= maxFailuresPerRole {
			r.Failures = slices.Delete(r.Failures, 0, 1)
		}
		r.Failures = append(r.Failures, Failure{Name: name})
		i = len(r.Failures) - 1
	}
	failure := &r.Failures[i]
	failure.Count++
	failure.UntilMS = nowMS + failureBackoff(failure.Count).Milliseconds()
}

// failureBackoff returns for how long a process that failed so often is passed over: nothing, 1 s, 2 s, 4 s, up to maxBackoff.
func failureBackoff(failures int) time.Duration {
	switch {
	case failures < 2:
		return 0
	case failures > 10: // the shift below would exceed maxBackoff in any case
		return maxBackoff
	}
	return min(maxBackoff, time.Second<<(failures-2))
}

// inBackoff tells whether a process is passed over. A backoff that ends further ahead than the longest one is void: the clock was set
// back.
func (r *Role) inBackoff(process string, nowMS int64) bool {
	i := r.failureIndex(ProcessName(process))
	if i < 0 {
		return false
	}
	leftMS := r.Failures[i].UntilMS - nowMS
	return r.Failures[i].UntilMS > nowMS && leftMS <= maxBackoff.Milliseconds()
}

// bestCandidate returns the index in Waiting of the candidate that should get the role, or -1. Of those that are not in backoff it is the
// one that comes first by precedes; of equals the one that has waited longest. The process last, which owned the role before, gets
// it only where nobody else can.
func (t *roleTable) bestCandidate(role *Role, nowMS int64, last string) int {
	best := -1
	for i, candidate := range role.Waiting {
		if role.inBackoff(candidate.Process, nowMS) {
			continue
		}
		if best < 0 || t.precedes(role, candidate, role.Waiting[best], last) {
			best = i
		}
	}
	return best
}

// precedes orders candidates: others before the last owner, those in the role's location before others, then by load.
func (t *roleTable) precedes(role *Role, a, b Candidate, last string) bool {
	if aOther, bOther := a.Process != last, b.Process != last; aOther != bOther {
		return aOther
	}
	aInPlace, bInPlace := a.Location == role.Location, b.Location == role.Location
	if role.Location != "" && aInPlace != bInPlace {
		return aInPlace
	}
	return t.totalLoad(a) < t.totalLoad(b)
}

// grantOptions says to whom a free role goes.
type grantOptions struct {
	nowMS     int64
	successor string // a name or NAME#RUN that gets the role if it waits; "": the best candidate
	last      string // the process that owned the role before, if it is passed over
}

// grant gives a free role to the successor or to the best candidate, under the next epoch.
func (t *roleTable) grant(role *Role, options grantOptions) {
	i := -1
	if options.successor != "" {
		i = role.waitingMatch(options.successor)
	}
	if i < 0 {
		i = t.bestCandidate(role, options.nowMS, options.last)
	}
	if i < 0 {
		return
	}
	t.edit(role, func() {
		owner := role.Waiting[i]
		role.Waiting = slices.Delete(role.Waiting, i, i+1)
		role.Epoch++
		role.Owner, role.SinceMS = &owner, options.nowMS
	})
}
