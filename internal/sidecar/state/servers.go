package state

import (
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// checkExpected compares the revision that a command expects with that of the entry.
func (m *Machine) checkExpected(expect *int64, uid string) *Error {
	if expect == nil {
		return nil
	}
	revision := int64(0)
	if e := m.entries[uid]; e != nil {
		revision = e.Revision
	}
	switch {
	case *expect < 0 || *expect > m.revision:
		return refuse(Invalid, "expected revision %d lies ahead: the list is at %d", *expect, m.revision)
	case *expect != revision:
		return refuse(Conflict, "%s is at revision %d, not %d", uid, revision, *expect)
	}
	return nil
}

func (m *Machine) register(command Command) Result {
	if err := m.checkRegister(command); err != nil {
		return Result{Err: err}
	}
	var result Result
	for _, registration := range command.Servers {
		entry := m.entries[registration.UID]
		if entry != nil && entry.BootMS == registration.BootMS {
			m.refresh(entry, registration, &result)
			continue
		}
		entry = &Entry{Registration: registration} // a new server, or a new process under its id
		m.entries[registration.UID] = entry
		m.recordChange(entry, list.Serving, &result)
		m.grantLease(entry)
	}
	return result
}

// refresh takes in another registration of the same process, which renews its lease. A drain for an expired lease and the mark of a
// restore end with it; a requested drain ends only by Serve or by a new process.
func (m *Machine) refresh(entry *Entry, registration list.Registration, result *Result) {
	next, wasRestored := list.Serving, entry.Reason == RestoredFromBackup
	if entry.Reason == DrainRequested {
		next = list.Draining
	} else {
		entry.Reason = ""
	}
	registration.State = entry.State // a registration always says SERVING, which is no difference
	changed := entry.State != next || wasRestored || entry.Differs(registration.Target)
	entry.Registration = registration
	if changed {
		m.recordChange(entry, next, result)
	}
	m.grantLease(entry)
	result.Revision = entry.Revision
}

func (m *Machine) checkRegister(command Command) *Error {
	if len(command.Servers) == 0 || len(command.Servers) > MaxBatch {
		return refuse(Invalid, "%d servers to register: 1 to %d are possible", len(command.Servers), MaxBatch)
	}
	if command.Expect != nil && len(command.Servers) != 1 {
		return refuse(Invalid, "an expected revision goes with one server, not %d", len(command.Servers))
	}
	seen, added := map[string]bool{}, 0
	for _, registration := range command.Servers {
		if err := registration.Check(); err != nil {
			return refuse(Invalid, "%v", err)
		}
		if seen[registration.UID] {
			return refuse(Invalid, "%s stands twice", registration.UID)
		}
		seen[registration.UID] = true
		if err := m.checkExpected(command.Expect, registration.UID); err != nil {
			return err
		}
		if m.entries[registration.UID] == nil {
			added++
			continue
		}
		if err := m.entries[registration.UID].checkSuccession(registration); err != nil {
			return err
		}
	}
	if len(m.entries)+added > MaxServers {
		return refuse(LimitReached, "there are %d servers, %d at most", len(m.entries), MaxServers)
	}
	return nil
}

// checkSuccession refuses a process that is older than the one with the id, or another one of the same age while that one has its
// lease.
func (e *Entry) checkSuccession(registration list.Registration) *Error {
	sameAge := registration.BootMS == e.BootMS
	switch {
	case registration.BootMS < e.BootMS:
		return refuse(Conflict, "%s: a process that booted at %d has the id, after this one at %d", e.UID, e.BootMS, registration.BootMS)
	case sameAge && registration.Endpoint != e.Endpoint && e.Reason != LeaseExpired:
		return refuse(Conflict, "%s: the process at %s has the id", e.UID, e.Endpoint)
	}
	return nil
}

// applyServer drains one server, has it serve again, or removes it.
func (m *Machine) applyServer(command Command) Result {
	if err := list.CheckUID(command.UID); err != nil {
		return Result{Err: refuse(Invalid, "%v", err)}
	}
	if err := m.checkExpected(command.Expect, command.UID); err != nil {
		return Result{Err: err}
	}
	entry := m.entries[command.UID]
	if entry == nil {
		return Result{Err: refuse(NotFound, "no server %q", command.UID)}
	}
	result := Result{Revision: entry.Revision}
	switch {
	case command.Op == Deregister:
		delete(m.entries, command.UID)
		m.recordChange(entry, list.Deleted, &result)
	case command.Op == Drain:
		m.setServing(entry, list.Draining, DrainRequested, &result)
	case entry.Reason == LeaseExpired:
		result.Err = refuse(Conflict, "%s drains because its lease has ended: it has to register", command.UID)
	default:
		m.setServing(entry, list.Serving, "", &result)
	}
	return result
}

// setServing gives an entry a state and the reason for it. Another reason for the same state is no change of the list.
func (m *Machine) setServing(e *Entry, state list.State, reason string, result *Result) {
	e.Reason = reason
	if e.State != state {
		m.recordChange(e, state, result)
	}
}

func (m *Machine) expireServers(expired []ExpiredLease) Result {
	var result Result
	for _, lease := range expired {
		m.expireLease(lease, &result)
	}
	return result
}

// expireLease drains a server whose lease has ended, and removes one that drains already.
func (m *Machine) expireLease(expired ExpiredLease, result *Result) {
	entry := m.entries[expired.UID]
	if entry == nil || entry.LeaseMS == 0 || entry.Lease != expired.Lease {
		return
	}
	if entry.State == list.Serving {
		entry.Reason = LeaseExpired
		m.recordChange(entry, list.Draining, result)
		m.grantLease(entry) // the command that removes the server must be decided after it was seen to drain
		return
	}
	delete(m.entries, expired.UID)
	m.recordChange(entry, list.Deleted, result)
}
