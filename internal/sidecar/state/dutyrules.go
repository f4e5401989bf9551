package state

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// duty takes a step of duties.
func (m *Machine) duty(op Op, c DutyCall) (r Result) {
	s := &m.duties
	switch op {
	case Office:
		s.office++
		r.Rev = s.office
		return r
	case End:
		s.end(c)
		r.Dutied = true
		return r
	}
	if err := list.CheckUID(c.Name); err != nil {
		r.Err = refuse(Bad, "name of a duty: %v", err)
		return r
	}
	d := s.all[c.Name]
	before := s.rev
	switch {
	case op != Move && CheckWho(c.Who) != nil:
		r.Err = refuse(Bad, "who: %v", CheckWho(c.Who))
	case op == Campaign:
		d, r.Err = s.campaign(d, c)
	case d == nil:
		r.Err = refuse(Unknown, "no duty %q", c.Name)
	case op == Withdraw:
		r.Err = s.withdraw(d, c.Who)
	case op == Move:
		r.Err = s.move(d, c)
	default:
		r.Err = s.byHolder(d, op, c)
	}
	r.Dutied = s.rev != before
	if d != nil {
		told := d.copied()
		r.Duty = &told
	}
	return r
}

func (s *duties) campaign(d *Duty, c DutyCall) (*Duty, *Error) {
	ttl := time.Duration(c.TTLMS) * time.Millisecond
	switch {
	case c.TTLMS > MostDutyLease.Milliseconds() || c.TTLMS < 0 || ttl > MostDutyLease:
		return d, refuse(Bad, "a lease of %d ms is too long: %d at most", c.TTLMS, MostDutyLease.Milliseconds())
	case ttl < LeastDutyLease:
		return d, refuse(Bad, "a lease of %d ms is too short for the margin of %d ms that drift of clocks needs: %d at least", c.TTLMS,
			DutyMargin(ttl).Milliseconds(), LeastDutyLease.Milliseconds())
	case len(c.Room) > list.MaxNameBytes || len(c.At) > list.MaxNameBytes:
		return d, refuse(Bad, "a room has %d bytes at most", list.MaxNameBytes)
	case c.Load < 0 || c.Load > mostLoad:
		return d, refuse(Bad, "a load of %d is not within 0 to %d", c.Load, mostLoad)
	case d == nil && len(s.all) >= MostDuties:
		return d, refuse(Full, "there are %d duties, %d at most", len(s.all), MostDuties)
	case d != nil && d.Is(c.Who):
		return d, nil // the answer to its grant was lost
	}
	one := Candidate{c.Who, c.Room, c.Load, c.TTLMS}
	if d != nil {
		i := d.Waits(c.Who)
		switch {
		case i >= 0 && d.Waiting[i] == one:
			return d, nil
		case i >= 0:
			s.edit(d, func() { d.Waiting[i] = one })
			return d, nil
		case len(d.Waiting) >= MostCandidates || s.waiting >= MostCandidacies:
			return d, refuse(Full, "%d wait for %s, and %d in all: %d and %d at most", len(d.Waiting), d.Name, s.waiting, MostCandidates, MostCandidacies)
		}
	} else {
		d = &Duty{Name: c.Name, Room: c.At, Epoch: s.floor, SinceMS: c.NowMS}
		s.all[c.Name] = d
	}
	s.edit(d, func() { d.Waiting = append(d.Waiting, one) })
	if d.Holder == nil {
		s.grant(d, c.NowMS, "", "")
	} else {
		s.balance(d, one, c.NowMS)
	}
	return d, nil
}

// balance asks a holder to hand over to one that came to wait, where that is better placed.
func (s *duties) balance(d *Duty, c Candidate, nowMS int64) {
	h := d.Holder
	if d.Asked || d.paused(c.Who, nowMS) {
		return
	}
	was, is := h.Room == d.Room, c.Room == d.Room
	if d.Room != "" && was != is {
		if was {
			return
		}
	} else if s.burden[h.Who]+h.Load < s.burden[c.Who]+c.Load+givesAway {
		return
	}
	s.edit(d, func() { d.Asked, d.To = true, c.Who })
}

func (s *duties) withdraw(d *Duty, who string) *Error {
	i := d.Waits(who)
	if i < 0 {
		return refuse(Conflict, "%s does not wait for %s", who, d.Name)
	}
	s.edit(d, func() {
		d.Waiting = slices.Delete(d.Waiting, i, i+1)
		if d.To == who { // the holder keeps it
			d.Asked, d.To = false, ""
		}
	})
	return nil
}

func (s *duties) move(d *Duty, c DutyCall) *Error {
	to := ""
	switch {
	case d.Holder == nil:
		return refuse(Conflict, "nobody holds %s", d.Name)
	case c.To != "":
		i := slices.IndexFunc(d.Waiting, func(w Candidate) bool { return w.Who == c.To || ProcessName(w.Who) == c.To })
		if i < 0 {
			return refuse(Conflict, "%.80q does not wait for %s", c.To, d.Name)
		}
		to = d.Waiting[i].Who
	}
	s.edit(d, func() { d.Asked, d.To, d.Barred = true, to, d.Barred || c.Force })
	return nil
}

// byHolder is what only the holder may do.
func (s *duties) byHolder(d *Duty, op Op, c DutyCall) *Error {
	switch {
	case c.Epoch > d.Epoch:
		return refuse(Bad, "epoch %d of %s is from the future: it is at %d", c.Epoch, d.Name, d.Epoch)
	case !d.Is(c.Who) || c.Epoch < d.Epoch:
		return refuse(Conflict, "%s does not hold %s under epoch %d: it is at %d", c.Who, d.Name, c.Epoch, d.Epoch)
	case op == Forget && (len(c.Idle) > mostDutiesInBatch || c.IdleMS < LeastIdle.Milliseconds()):
		return refuse(Bad, "%d duties idle for %d ms: at most %d, for %d ms at least", len(c.Idle), c.IdleMS, mostDutiesInBatch, LeastIdle.Milliseconds())
	case len(c.Step) > MostStep:
		return refuse(Bad, "a step has %d bytes at most", MostStep)
	case op == Checkpoint && c.StepNo == nil:
		return refuse(Bad, "step_no is missing: the number of the step that was read")
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
	h, to := *d.Holder, d.To
	if c.To != "" {
		to = c.To
	}
	s.free(d, c.Failed, c.NowMS)
	if c.Again {
		s.edit(d, func() { d.Waiting = append(d.Waiting, h) })
	}
	s.grant(d, c.NowMS, to, h.Who)
	return nil
}

// forget drops duties out of use, which would fill the table for good. Danger: an epoch must never come twice under a name.
func (s *duties) forget(c DutyCall) *Error {
	for _, name := range c.Idle {
		d := s.all[name]
		if d == nil || d.Holder != nil || len(d.Waiting) > 0 || c.NowMS-d.SinceMS < c.IdleMS {
			continue
		}
		s.floor = max(s.floor, d.Epoch)
		delete(s.all, name)
		s.rev++
	}
	return nil
}

// free ends an office.
func (s *duties) free(d *Duty, failed bool, nowMS int64) {
	name, long := ProcessName(d.Holder.Who), time.Duration(nowMS-d.SinceMS)*time.Millisecond >= soundOffice
	s.edit(d, func() {
		i := slices.IndexFunc(d.Failed, func(f Failure) bool { return f.Name == name })
		if i >= 0 && (!failed || long) {
			d.Failed = slices.Delete(d.Failed, i, i+1)
			i = -1
		}
		if failed {
			if i < 0 {
				if len(d.Failed) >= mostFailures {
					d.Failed = slices.Delete(d.Failed, 0, 1)
				}
				d.Failed = append(d.Failed, Failure{Name: name})
				i = len(d.Failed) - 1
			}
			f := &d.Failed[i]
			f.Times++
			f.UntilMS = nowMS + pause(f.Times).Milliseconds()
		}
		d.Holder, d.Asked, d.To, d.Barred, d.SinceMS = nil, false, "", false, nowMS
	})
}

// pause is how long one is passed over that failed so often.
func pause(times int) time.Duration {
	switch {
	case times < 2:
		return 0
	case times > 10:
		return mostPause
	}
	return min(mostPause, time.Second<<(times-2))
}

// paused tells whether a process is passed over. A pause that lies further ahead than any lasts is over: the clock went back.
func (d *Duty) paused(who string, nowMS int64) bool {
	name := ProcessName(who)
	for _, f := range d.Failed {
		if f.Name == name {
			return f.UntilMS > nowMS && f.UntilMS-nowMS <= mostPause.Milliseconds()
		}
	}
	return false
}

// next is who gets a duty, by place in line; below 0: nobody. last had it before, and gets it if nobody else can.
func (s *duties) next(d *Duty, nowMS int64, last string) int {
	best := -1
	better := func(a, b Candidate) bool {
		if x, y := a.Who != last, b.Who != last; x != y {
			return x
		}
		if x, y := a.Room == d.Room, b.Room == d.Room; d.Room != "" && x != y {
			return x
		}
		return s.burden[a.Who]+a.Load < s.burden[b.Who]+b.Load
	}
	for i, c := range d.Waiting {
		if !d.paused(c.Who, nowMS) && (best < 0 || better(c, d.Waiting[best])) {
			best = i
		}
	}
	return best
}

// grant gives a free duty to the process named, if it waits, or to the next.
func (s *duties) grant(d *Duty, nowMS int64, to, last string) {
	i := -1
	if to != "" {
		i = slices.IndexFunc(d.Waiting, func(w Candidate) bool { return w.Who == to || ProcessName(w.Who) == to })
	}
	if i < 0 {
		i = s.next(d, nowMS, last)
	}
	if i < 0 {
		return
	}
	s.edit(d, func() {
		c := d.Waiting[i]
		d.Waiting = slices.Delete(d.Waiting, i, i+1)
		d.Epoch++
		d.Holder, d.SinceMS = &c, nowMS
	})
}

// end takes in what a leader saw: first who is silent, so that none of them gets what falls free.
func (s *duties) end(c DutyCall) {
	for _, e := range c.Silent {
		if d := s.all[e.Name]; d != nil && d.Waits(e.Who) >= 0 {
			_ = s.withdraw(d, e.Who) // it waits
		}
	}
	for _, e := range c.Ended {
		if d := s.all[e.Name]; c.Office == s.office && d != nil && d.Holder != nil && d.Epoch == e.Epoch {
			to := d.To
			s.free(d, !d.Asked, c.NowMS)
			s.grant(d, c.NowMS, to, "")
		}
	}
	for _, name := range c.Due {
		if d := s.all[name]; d != nil && d.Holder == nil {
			s.grant(d, c.NowMS, "", "")
		}
	}
}
