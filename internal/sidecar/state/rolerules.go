package state

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// applyRole takes a step of duties.
func (m *Machine) applyRole(op Op, c RoleCall) (r Result) {
	s := &m.roles
	switch op {
	case StartLeaseTerm:
		s.leaseTerm++
		r.Revision = s.leaseTerm
		return r
	case EndRoleLeases:
		s.endLeases(c)
		r.RolesChanged = true
		return r
	}
	if err := list.CheckUID(c.Name); err != nil {
		r.Err = refuse(Invalid, "name of a duty: %v", err)
		return r
	}
	d := s.roles[c.Name]
	before := s.revision
	switch {
	case op != Move && CheckProcess(c.Process) != nil:
		r.Err = refuse(Invalid, "who: %v", CheckProcess(c.Process))
	case op == Campaign:
		d, r.Err = s.campaign(d, c)
	case d == nil:
		r.Err = refuse(NotFound, "no duty %q", c.Name)
	case op == Withdraw:
		r.Err = s.withdraw(d, c.Process)
	case op == Move:
		r.Err = s.move(d, c)
	default:
		r.Err = s.applyByOwner(d, op, c)
	}
	r.RolesChanged = s.revision != before
	if d != nil {
		told := d.clone()
		r.Role = &told
	}
	return r
}

func (s *roleTable) campaign(d *Role, c RoleCall) (*Role, *Error) {
	ttl := time.Duration(c.TTLMS) * time.Millisecond
	switch {
	case c.TTLMS > MaxRoleLease.Milliseconds() || c.TTLMS < 0 || ttl > MaxRoleLease:
		return d, refuse(Invalid, "a lease of %d ms is too long: %d at most", c.TTLMS, MaxRoleLease.Milliseconds())
	case ttl < MinRoleLease:
		return d, refuse(Invalid, "a lease of %d ms is too short for the margin of %d ms that drift of clocks needs: %d at least", c.TTLMS,
			RoleLeaseMargin(ttl).Milliseconds(), MinRoleLease.Milliseconds())
	case len(c.Location) > list.MostName || len(c.RoleLocation) > list.MostName:
		return d, refuse(Invalid, "a room has %d bytes at most", list.MostName)
	case c.Load < 0 || c.Load > maxLoad:
		return d, refuse(Invalid, "a load of %d is not within 0 to %d", c.Load, maxLoad)
	case d == nil && len(s.roles) >= MaxRoles:
		return d, refuse(LimitReached, "there are %d duties, %d at most", len(s.roles), MaxRoles)
	case d != nil && d.IsOwner(c.Process):
		return d, nil // the answer to its grant was lost
	}
	one := Candidate{c.Process, c.Location, c.Load, c.TTLMS}
	if d != nil {
		i := d.WaitingIndex(c.Process)
		switch {
		case i >= 0 && d.Waiting[i] == one:
			return d, nil
		case i >= 0:
			s.edit(d, func() { d.Waiting[i] = one })
			return d, nil
		case len(d.Waiting) >= MaxCandidatesPerRole || s.waiting >= MaxCandidates:
			return d, refuse(LimitReached, "%d wait for %s, and %d in all: %d and %d at most", len(d.Waiting), d.Name, s.waiting, MaxCandidatesPerRole, MaxCandidates)
		}
	} else {
		d = &Role{Name: c.Name, Location: c.RoleLocation, Epoch: s.forgottenEpoch, SinceMS: c.NowMS}
		s.roles[c.Name] = d
	}
	s.edit(d, func() { d.Waiting = append(d.Waiting, one) })
	if d.Owner == nil {
		s.grant(d, c.NowMS, "", "")
	} else {
		s.rebalance(d, one, c.NowMS)
	}
	return d, nil
}

// rebalance asks a holder to hand over to one that came to wait, where that is better placed.
func (s *roleTable) rebalance(d *Role, c Candidate, nowMS int64) {
	h := d.Owner
	if d.HandoverRequested || d.inBackoff(c.Process, nowMS) {
		return
	}
	was, is := h.Location == d.Location, c.Location == d.Location
	if d.Location != "" && was != is {
		if was {
			return
		}
	} else if s.burden[h.Process]+h.Load < s.burden[c.Process]+c.Load+rebalanceThreshold {
		return
	}
	s.edit(d, func() { d.HandoverRequested, d.Successor = true, c.Process })
}

func (s *roleTable) withdraw(d *Role, who string) *Error {
	i := d.WaitingIndex(who)
	if i < 0 {
		return refuse(Conflict, "%s does not wait for %s", who, d.Name)
	}
	s.edit(d, func() {
		d.Waiting = slices.Delete(d.Waiting, i, i+1)
		if d.Successor == who { // the holder keeps it
			d.HandoverRequested, d.Successor = false, ""
		}
	})
	return nil
}

func (s *roleTable) move(d *Role, c RoleCall) *Error {
	to := ""
	switch {
	case d.Owner == nil:
		return refuse(Conflict, "nobody holds %s", d.Name)
	case c.Successor != "":
		i := slices.IndexFunc(d.Waiting, func(w Candidate) bool { return w.Process == c.Successor || ProcessName(w.Process) == c.Successor })
		if i < 0 {
			return refuse(Conflict, "%.80q does not wait for %s", c.Successor, d.Name)
		}
		to = d.Waiting[i].Process
	}
	s.edit(d, func() { d.HandoverRequested, d.Successor, d.RenewalBarred = true, to, d.RenewalBarred || c.Force })
	return nil
}

// applyByOwner is what only the holder may do.
func (s *roleTable) applyByOwner(d *Role, op Op, c RoleCall) *Error {
	switch {
	case c.Epoch > d.Epoch:
		return refuse(Invalid, "epoch %d of %s is from the future: it is at %d", c.Epoch, d.Name, d.Epoch)
	case !d.IsOwner(c.Process) || c.Epoch < d.Epoch:
		return refuse(Conflict, "%s does not hold %s under epoch %d: it is at %d", c.Process, d.Name, c.Epoch, d.Epoch)
	case op == Forget && (len(c.IdleRoles) > maxRoleBatch || c.IdleMS < MinIdle.Milliseconds()):
		return refuse(Invalid, "%d duties idle for %d ms: at most %d, for %d ms at least", len(c.IdleRoles), c.IdleMS, maxRoleBatch, MinIdle.Milliseconds())
	case len(c.Step) > MaxStepBytes:
		return refuse(Invalid, "a step has %d bytes at most", MaxStepBytes)
	case op == Checkpoint && c.StepNo == nil:
		return refuse(Invalid, "step_no is missing: the number of the step that was read")
	case c.StepNo != nil && *c.StepNo != d.StepNo:
		return refuse(Conflict, "%s is at step %d, not %d", d.Name, d.StepNo, *c.StepNo)
	}
	if c.StepNo != nil {
		s.edit(d, func() { d.Step, d.StepNo = c.Step, d.StepNo+1 })
	}
	switch op {
	case Checkpoint:
		return nil
	case Forget:
		return s.forget(c)
	}
	h, to := *d.Owner, d.Successor
	if c.Successor != "" {
		to = c.Successor
	}
	s.endLease(d, c.Failed, c.NowMS)
	if c.Rejoin {
		s.edit(d, func() { d.Waiting = append(d.Waiting, h) })
	}
	s.grant(d, c.NowMS, to, h.Process)
	return nil
}

// forget drops duties out of use, which would fill the table for good. Danger: an epoch must never come twice under a name.
func (s *roleTable) forget(c RoleCall) *Error {
	for _, name := range c.IdleRoles {
		d := s.roles[name]
		if d == nil || d.Owner != nil || len(d.Waiting) > 0 || c.NowMS-d.SinceMS < c.IdleMS {
			continue
		}
		s.forgottenEpoch = max(s.forgottenEpoch, d.Epoch)
		delete(s.roles, name)
		s.revision++
	}
	return nil
}

// endLease ends an office.
func (s *roleTable) endLease(d *Role, failed bool, nowMS int64) {
	name, long := ProcessName(d.Owner.Process), time.Duration(nowMS-d.SinceMS)*time.Millisecond >= failureResetAfter
	s.edit(d, func() {
		i := slices.IndexFunc(d.Failures, func(f Failure) bool { return f.Name == name })
		if i >= 0 && (!failed || long) {
			d.Failures = slices.Delete(d.Failures, i, i+1)
			i = -1
		}
		if failed {
			if i < 0 {
				if len(d.Failures) >= maxFailuresPerRole {
					d.Failures = slices.Delete(d.Failures, 0, 1)
				}
				d.Failures = append(d.Failures, Failure{Name: name})
				i = len(d.Failures) - 1
			}
			f := &d.Failures[i]
			f.Count++
			f.UntilMS = nowMS + failureBackoff(f.Count).Milliseconds()
		}
		d.Owner, d.HandoverRequested, d.Successor, d.RenewalBarred, d.SinceMS = nil, false, "", false, nowMS
	})
}

// failureBackoff is how long one is passed over that failed so often.
func failureBackoff(times int) time.Duration {
	switch {
	case times < 2:
		return 0
	case times > 10:
		return maxBackoff
	}
	return min(maxBackoff, time.Second<<(times-2))
}

// inBackoff tells whether a process is passed over. A pause that lies further ahead than any lasts is over: the clock went back.
func (d *Role) inBackoff(who string, nowMS int64) bool {
	name := ProcessName(who)
	for _, f := range d.Failures {
		if f.Name == name {
			return f.UntilMS > nowMS && f.UntilMS-nowMS <= maxBackoff.Milliseconds()
		}
	}
	return false
}

// nextOwner is who gets a duty, by place in line; below 0: nobody. last had it before, and gets it if nobody else can.
func (s *roleTable) nextOwner(d *Role, nowMS int64, last string) int {
	best := -1
	better := func(a, b Candidate) bool {
		if x, y := a.Process != last, b.Process != last; x != y {
			return x
		}
		if x, y := a.Location == d.Location, b.Location == d.Location; d.Location != "" && x != y {
			return x
		}
		return s.burden[a.Process]+a.Load < s.burden[b.Process]+b.Load
	}
	for i, c := range d.Waiting {
		if !d.inBackoff(c.Process, nowMS) && (best < 0 || better(c, d.Waiting[best])) {
			best = i
		}
	}
	return best
}

// grant gives a free duty to the process named, if it waits, or to the next.
func (s *roleTable) grant(d *Role, nowMS int64, to, last string) {
	i := -1
	if to != "" {
		i = slices.IndexFunc(d.Waiting, func(w Candidate) bool { return w.Process == to || ProcessName(w.Process) == to })
	}
	if i < 0 {
		i = s.nextOwner(d, nowMS, last)
	}
	if i < 0 {
		return
	}
	s.edit(d, func() {
		c := d.Waiting[i]
		d.Waiting = slices.Delete(d.Waiting, i, i+1)
		d.Epoch++
		d.Owner, d.SinceMS = &c, nowMS
	})
}

// endLeases takes in what a leader saw: first who is silent, so that none of them gets what falls free.
func (s *roleTable) endLeases(c RoleCall) {
	for _, e := range c.TimedOut {
		if d := s.roles[e.Name]; d != nil && d.WaitingIndex(e.Process) >= 0 {
			_ = s.withdraw(d, e.Process) // it waits
		}
	}
	for _, e := range c.Ended {
		if d := s.roles[e.Name]; c.LeaseTerm == s.leaseTerm && d != nil && d.Owner != nil && d.Epoch == e.Epoch {
			to := d.Successor
			s.endLease(d, !d.HandoverRequested, c.NowMS)
			s.grant(d, c.NowMS, to, "")
		}
	}
	for _, name := range c.Due {
		if d := s.roles[name]; d != nil && d.Owner == nil {
			s.grant(d, c.NowMS, "", "")
		}
	}
}
