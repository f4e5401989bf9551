package state

import (
	"maps"
	"slices"
)

// roleTable is all roleTable.
//
// Invariants: an epoch only rises; a process holds a duty or waits for it, not both, and waits once; by and burden say what
// the roleTable say.
type roleTable struct {
	revision, leaseTerm int64
	forgottenEpoch      int64 // the highest epoch of those that were forgotten: whoever comes again goes on above it
	roles               map[string]*Role
	waiting             int
	byProcess           map[string]map[string]bool // names of the duties that a process holds or waits for
	burden              map[string]int64           // duties that it holds once every handover that is asked is done
}

func newRoleTable() roleTable {
	return roleTable{roles: map[string]*Role{}, byProcess: map[string]map[string]bool{}, burden: map[string]int64{}}
}

// index adds a duty to what is known by process, or takes it out.
func (s *roleTable) index(d *Role, sign int64) {
	note := func(who string) {
		if sign < 0 {
			if delete(s.byProcess[who], d.Name); len(s.byProcess[who]) == 0 {
				delete(s.byProcess, who)
			}
			return
		}
		if s.byProcess[who] == nil {
			s.byProcess[who] = map[string]bool{}
		}
		s.byProcess[who][d.Name] = true
	}
	s.waiting += int(sign) * len(d.Waiting)
	for _, c := range d.Waiting {
		note(c.Process)
	}
	if d.Owner == nil {
		return
	}
	note(d.Owner.Process)
	who := d.Owner.Process
	if d.HandoverRequested && d.Successor != "" {
		who = d.Successor
	}
	if s.burden[who] += sign; s.burden[who] == 0 {
		delete(s.burden, who)
	}
}

// edit changes a duty.
func (s *roleTable) edit(d *Role, do func()) {
	s.index(d, -1)
	do()
	s.index(d, 1)
	s.revision++
	d.Revision = s.revision
}

// RoleRevision rises with each change of a duty.
func (m *Machine) RoleRevision() int64 { return m.roles.revision }

// LeaseTerm is the number under which leases are counted.
func (m *Machine) LeaseTerm() int64 { return m.roles.leaseTerm }

// RolesSince are all duties that changed after a revision, by name.
func (m *Machine) RolesSince(after int64) []Role {
	var all []Role
	for _, name := range slices.Sorted(maps.Keys(m.roles.roles)) {
		if d := m.roles.roles[name]; d.Revision > after {
			all = append(all, d.clone())
		}
	}
	return all
}

// RolesOf are the duties that a process holds or waits for, by name.
func (m *Machine) RolesOf(who string) []Role {
	all := make([]Role, 0, len(m.roles.byProcess[who]))
	for _, name := range slices.Sorted(maps.Keys(m.roles.byProcess[who])) {
		all = append(all, m.roles.roles[name].clone())
	}
	return all
}

// Role is one of a name.
func (m *Machine) Role(name string) (Role, bool) {
	d, ok := m.roles.roles[name]
	if !ok {
		return Role{}, false
	}
	return d.clone(), true
}

// EachRole calls do with each duty, in no order. It must neither be changed nor kept.
func (m *Machine) EachRole(do func(*Role)) {
	for _, d := range m.roles.roles {
		do(d)
	}
}

// DueRoles are duties without a holder that one who waits could have at a time, a batch at most.
func (m *Machine) DueRoles(nowMS int64) (names []string) {
	for name, d := range m.roles.roles {
		if d.Owner == nil && len(d.Waiting) > 0 && len(names) < maxRoleBatch && m.roles.nextOwner(d, nowMS, "") >= 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
