package state

import (
	"maps"
	"slices"
)

// roleTable is all singleton roles, with indexes by process.
//
// Invariants: an epoch only rises; a process owns a role or waits for it, not both, and waits once; waiting, byProcess and burden
// are what the roles imply. Owners and candidates change in edit only, which keeps the indexes.
type roleTable struct {
	revision       int64 // rises with each change of a role
	leaseTerm      int64 // number of the term in which the current leader counts leases
	forgottenEpoch int64 // the highest epoch of a forgotten role; new roles begin above it, so that no epoch comes twice
	byName         map[string]*Role
	waiting        int                        // candidates of all roles
	byProcess      map[string]map[string]bool // names of the roles that a process owns or waits for
	burden         map[string]int64           // roles that a process will own once every requested handover is done
}

func newRoleTable() roleTable {
	return roleTable{byName: map[string]*Role{}, byProcess: map[string]map[string]bool{}, burden: map[string]int64{}}
}

// index adds a role to the indexes.
func (t *roleTable) index(role *Role) {
	t.waiting += len(role.Waiting)
	for _, candidate := range role.Waiting {
		t.link(candidate.Process, role.Name)
	}
	if role.Owner != nil {
		t.link(role.Owner.Process, role.Name)
		t.addBurden(role.expectedOwner(), 1)
	}
}

// unindex takes a role out of the indexes.
func (t *roleTable) unindex(role *Role) {
	t.waiting -= len(role.Waiting)
	for _, candidate := range role.Waiting {
		t.unlink(candidate.Process, role.Name)
	}
	if role.Owner != nil {
		t.unlink(role.Owner.Process, role.Name)
		t.addBurden(role.expectedOwner(), -1)
	}
}

func (t *roleTable) link(process, role string) {
	if t.byProcess[process] == nil {
		t.byProcess[process] = map[string]bool{}
	}
	t.byProcess[process][role] = true
}

func (t *roleTable) unlink(process, role string) {
	delete(t.byProcess[process], role)
	if len(t.byProcess[process]) == 0 {
		delete(t.byProcess, process)
	}
}

func (t *roleTable) addBurden(process string, roles int64) {
	t.burden[process] += roles
	if t.burden[process] == 0 {
		delete(t.burden, process)
	}
}

// expectedOwner returns the owner after a requested handover, where its successor is known, and the owner otherwise.
func (r *Role) expectedOwner() string {
	if r.HandoverRequested && r.Successor != "" {
		return r.Successor
	}
	return r.Owner.Process
}

// edit changes a role and gives it the next revision.
func (t *roleTable) edit(role *Role, change func()) {
	t.unindex(role)
	change()
	t.index(role)
	t.revision++
	role.Revision = t.revision
}

// RoleRevision returns the revision of the role table, which rises with each change of a role.
func (m *Machine) RoleRevision() int64 { return m.roles.revision }

// LeaseTerm returns the number of the term in which leases of roles are counted. Ends of leases that an earlier term counted are void.
func (m *Machine) LeaseTerm() int64 { return m.roles.leaseTerm }

// RolesSince returns copies of the roles that changed after a revision, by name.
func (m *Machine) RolesSince(revision int64) []Role {
	var roles []Role
	for _, name := range slices.Sorted(maps.Keys(m.roles.byName)) {
		if role := m.roles.byName[name]; role.Revision > revision {
			roles = append(roles, role.clone())
		}
	}
	return roles
}

// RolesOf returns copies of the roles that a process (NAME#RUN) owns or waits for, by name.
func (m *Machine) RolesOf(process string) []Role {
	roles := make([]Role, 0, len(m.roles.byProcess[process]))
	for _, name := range slices.Sorted(maps.Keys(m.roles.byProcess[process])) {
		roles = append(roles, m.roles.byName[name].clone())
	}
	return roles
}

// Role returns a copy of a role, and whether there is one of the name.
func (m *Machine) Role(name string) (Role, bool) {
	role, ok := m.roles.byName[name]
	if !ok {
		return Role{}, false
	}
	return role.clone(), true
}

// EachRole calls visit with each role, in no order. The role must neither be changed nor be used after visit returns.
func (m *Machine) EachRole(visit func(*Role)) {
	for _, role := range m.roles.byName {
		visit(role)
	}
}

// DueRoles returns the names of free roles that a candidate could own at a time (Unix ms), one batch at most, by name.
func (m *Machine) DueRoles(nowMS int64) []string {
	var names []string
	for name, role := range m.roles.byName {
		if len(names) == maxRoleBatch {
			break
		}
		if role.Owner == nil && m.roles.bestCandidate(role, nowMS, "") >= 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
