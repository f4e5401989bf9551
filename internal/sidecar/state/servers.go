package state

import (
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// checkExpected holds the revision that a command expects against the entry's.
func (m *Machine) checkExpected(expect *int64, uid string) *Error {
	if expect == nil {
		return nil
	}
	rev := int64(0)
	if e := m.entries[uid]; e != nil {
		rev = e.Revision
	}
	switch {
	case *expect < 0 || *expect > m.revision:
		return refuse(Invalid, "expected revision %d lies ahead: the list is at %d", *expect, m.revision)
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
			changed := e.State != state || e.Reason == Restored
			if e.Reason == DrainRequested {
				state = list.Draining // only a new process, or whoever asked, ends that
				changed = e.State != state
			} else {
				e.Reason = ""
			}
			s.State = e.State
			changed = changed || e.Target.Changed(s.Target)
			e.Registration = s
			if changed {
				m.recordChange(e, state, &r)
			}
			m.grantLease(e)
			r.Revision = e.Revision
			continue
		}
		e = &Entry{Registration: s} // a new server, or a new process under its id
		m.entries[s.UID] = e
		m.recordChange(e, list.Serving, &r)
		m.grantLease(e)
	}
	return r
}

func (m *Machine) checkRegister(c Command) *Error {
	if len(c.Servers) == 0 || len(c.Servers) > MaxBatch {
		return refuse(Invalid, "%d servers to register: 1 to %d are possible", len(c.Servers), MaxBatch)
	}
	if c.Expect != nil && len(c.Servers) != 1 {
		return refuse(Invalid, "an expected revision goes with one server, not %d", len(c.Servers))
	}
	seen, added := map[string]bool{}, 0
	for _, s := range c.Servers {
		if err := s.Check(); err != nil {
			return refuse(Invalid, "%v", err)
		}
		if seen[s.UID] {
			return refuse(Invalid, "%s stands twice", s.UID)
		}
		seen[s.UID] = true
		if err := m.checkExpected(c.Expect, s.UID); err != nil {
			return err
		}
		e := m.entries[s.UID]
		switch {
		case e == nil:
			added++
		case s.BootMS < e.BootMS:
			return refuse(Conflict, "%s: a process that booted at %d has the id, after this one at %d", s.UID, e.BootMS, s.BootMS)
		case s.BootMS == e.BootMS && s.Endpoint != e.Endpoint && e.Reason != LeaseExpired:
			return refuse(Conflict, "%s: the process at %s has the id", s.UID, e.Endpoint)
		}
	}
	if len(m.entries)+added > MaxServers {
		return refuse(LimitReached, "there are %d servers, %d at most", len(m.entries), MaxServers)
	}
	return nil
}

// applyServer drains, has serve again, or removes one server.
func (m *Machine) applyServer(c Command) (r Result) {
	if err := list.CheckUID(c.UID); err != nil {
		r.Err = refuse(Invalid, "%v", err)
		return r
	}
	e := m.entries[c.UID]
	if r.Err = m.checkExpected(c.Expect, c.UID); r.Err != nil {
		return r
	}
	if e == nil {
		r.Err = refuse(NotFound, "no server %q", c.UID)
		return r
	}
	r.Revision = e.Revision
	switch {
	case c.Op == Deregister:
		delete(m.entries, c.UID)
		m.recordChange(e, list.Deleted, &r)
	case c.Op == Drain:
		e.Reason = DrainRequested
		if e.State != list.Draining {
			m.recordChange(e, list.Draining, &r)
		}
	case e.Reason == LeaseExpired:
		r.Err = refuse(Conflict, "%s drains because its lease has ended: it has to register", c.UID)
	default:
		e.Reason = ""
		if e.State != list.Serving {
			m.recordChange(e, list.Serving, &r)
		}
	}
	return r
}

// expireLease drains a server whose lease has ended, and removes one that drains already.
func (m *Machine) expireLease(ended ExpiredLease, r *Result) {
	e := m.entries[ended.UID]
	if e == nil || e.LeaseMS == 0 || e.Lease != ended.Lease {
		return
	}
	if e.State == list.Serving {
		e.Reason = LeaseExpired
		m.recordChange(e, list.Draining, r)
		m.grantLease(e) // what removes it has to have seen it drain
		return
	}
	delete(m.entries, ended.UID)
	m.recordChange(e, list.Deleted, r)
}
