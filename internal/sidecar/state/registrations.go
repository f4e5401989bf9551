package state

import (
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// expected holds the revision that a command expects against the entry's.
func (m *Machine) expected(expect *int64, uid string) *Error {
	if expect == nil {
		return nil
	}
	rev := int64(0)
	if e := m.entries[uid]; e != nil {
		rev = e.Rev
	}
	switch {
	case *expect < 0 || *expect > m.rev:
		return refuse(Bad, "expected revision %d lies ahead: the list is at %d", *expect, m.rev)
	case *expect != rev:
		return refuse(Conflict, "%s is at revision %d, not %d", uid, rev, *expect)
	}
	return nil
}

func (m *Machine) register(c Command) (r Result) {
	if r.Err = m.checkRegister(c); r.Err != nil {
		return r
	}
	for _, s := range c.Servers {
		e := m.entries[s.UID]
		if e != nil && e.BootMS == s.BootMS {
			state := list.Serving
			changed := e.State != state || e.Why == Restored
			if e.Why == Asked {
				state = list.Draining // only a new process, or whoever asked, ends that
				changed = e.State != state
			} else {
				e.Why = ""
			}
			s.State = e.State
			changed = changed || e.Target.Differs(s.Target)
			e.Registration = s
			if changed {
				m.change(e, state, &r)
			}
			m.grant(e)
			r.Rev = e.Rev
			continue
		}
		e = &Entry{Registration: s} // a new server, or a new process under its id
		m.entries[s.UID] = e
		m.change(e, list.Serving, &r)
		m.grant(e)
	}
	return r
}

func (m *Machine) checkRegister(c Command) *Error {
	if len(c.Servers) == 0 || len(c.Servers) > MostBatch {
		return refuse(Bad, "%d servers to register: 1 to %d are possible", len(c.Servers), MostBatch)
	}
	if c.Expect != nil && len(c.Servers) != 1 {
		return refuse(Bad, "an expected revision goes with one server, not %d", len(c.Servers))
	}
	seen, added := map[string]bool{}, 0
	for _, s := range c.Servers {
		if err := s.Check(); err != nil {
			return refuse(Bad, "%v", err)
		}
		if seen[s.UID] {
			return refuse(Bad, "%s stands twice", s.UID)
		}
		seen[s.UID] = true
		if err := m.expected(c.Expect, s.UID); err != nil {
			return err
		}
		e := m.entries[s.UID]
		switch {
		case e == nil:
			added++
		case s.BootMS < e.BootMS:
			return refuse(Conflict, "%s: a process that booted at %d has the id, after this one at %d", s.UID, e.BootMS, s.BootMS)
		case s.BootMS == e.BootMS && s.Endpoint != e.Endpoint && e.Why != LeaseOver:
			return refuse(Conflict, "%s: the process at %s has the id", s.UID, e.Endpoint)
		}
	}
	if len(m.entries)+added > MostServers {
		return refuse(Full, "there are %d servers, %d at most", len(m.entries), MostServers)
	}
	return nil
}

// turn drains, has serve again, or removes one server.
func (m *Machine) turn(c Command) (r Result) {
	if err := list.CheckUID(c.UID); err != nil {
		r.Err = refuse(Bad, "%v", err)
		return r
	}
	e := m.entries[c.UID]
	if r.Err = m.expected(c.Expect, c.UID); r.Err != nil {
		return r
	}
	if e == nil {
		r.Err = refuse(Unknown, "no server %q", c.UID)
		return r
	}
	r.Rev = e.Rev
	switch {
	case c.Op == Leave:
		delete(m.entries, c.UID)
		m.change(e, list.Deleted, &r)
	case c.Op == Drain:
		e.Why = Asked
		if e.State != list.Draining {
			m.change(e, list.Draining, &r)
		}
	case e.Why == LeaseOver:
		r.Err = refuse(Conflict, "%s drains because its lease has ended: it has to register", c.UID)
	default:
		e.Why = ""
		if e.State != list.Serving {
			m.change(e, list.Serving, &r)
		}
	}
	return r
}

// expire drains a server whose lease has ended, and removes one that drains already.
func (m *Machine) expire(ended Ended, r *Result) {
	e := m.entries[ended.UID]
	if e == nil || e.LeaseMS == 0 || e.Lease != ended.Lease {
		return
	}
	if e.State == list.Serving {
		e.Why = LeaseOver
		m.change(e, list.Draining, r)
		m.grant(e) // what removes it has to have seen it drain
		return
	}
	delete(m.entries, ended.UID)
	m.change(e, list.Deleted, r)
}
