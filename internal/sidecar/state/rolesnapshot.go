package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// roleTableSnapshot is the role table in a snapshot.
type roleTableSnapshot struct {
	Revision       int64  `json:"rev"`
	LeaseTerm      int64  `json:"office"`
	ForgottenEpoch int64  `json:"floor,omitempty"`
	Roles          []Role `json:"all"`
}

// snapshot returns nil before the first change of a role, so that a version without roles can read the snapshot.
func (t *roleTable) snapshot() *roleTableSnapshot {
	if t.revision == 0 {
		return nil
	}
	s := &roleTableSnapshot{Revision: t.revision, LeaseTerm: t.leaseTerm, ForgottenEpoch: t.forgottenEpoch}
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		s.Roles = append(s.Roles, t.byName[name].clone())
	}
	return s
}

// restore reads what snapshot returned. Errors wrap sealed.ErrCorrupt.
func (s *roleTableSnapshot) restore() (roleTable, error) {
	table := newRoleTable()
	if s == nil {
		return table, nil
	}
	table.revision, table.leaseTerm, table.forgottenEpoch = s.Revision, s.LeaseTerm, s.ForgottenEpoch
	for i := range s.Roles {
		role := s.Roles[i].clone()
		if err := role.check(s.Revision); err != nil {
			return table, fmt.Errorf("%w: duty %.40q makes no sense: %w", sealed.ErrCorrupt, role.Name, err)
		}
		if table.byName[role.Name] != nil {
			return table, fmt.Errorf("%w: duty %.40q stands twice", sealed.ErrCorrupt, role.Name)
		}
		table.byName[role.Name] = &role
		table.index(&role)
	}
	numbersValid := s.Revision >= 1 && s.LeaseTerm >= 0 && s.ForgottenEpoch >= 0
	if !numbersValid || len(s.Roles) > MaxRoles || table.waiting > MaxCandidates {
		return table, fmt.Errorf("%w: %d duties at revision %d", sealed.ErrCorrupt, len(s.Roles), s.Revision)
	}
	return table, nil
}

// check returns an error where the role cannot stand in a table of a revision.
func (r *Role) check(tableRevision int64) error {
	if err := list.CheckUID(r.Name); err != nil {
		return err
	}
	numbersValid := r.Epoch >= 0 && r.Revision >= 0 && r.Revision <= tableRevision && r.StepNo >= 0
	sizesValid := len(r.Step) <= MaxStepBytes && len(r.Waiting) <= MaxCandidatesPerRole && len(r.Failures) <= maxFailuresPerRole
	if !numbersValid || !sizesValid {
		return fmt.Errorf("epoch %d, revision %d, step %d of %d bytes, %d wait", r.Epoch, r.Revision, r.StepNo, len(r.Step), len(r.Waiting))
	}
	processes := slices.Clone(r.Waiting)
	if r.Owner != nil {
		processes = append(processes, *r.Owner)
	}
	seen := map[string]bool{}
	for _, candidate := range processes {
		if !candidate.valid() || seen[candidate.Process] {
			return fmt.Errorf("%.60q with a lease of %d ms", candidate.Process, candidate.TTLMS)
		}
		seen[candidate.Process] = true
	}
	return nil
}

func (c *Candidate) valid() bool {
	leaseValid := c.TTLMS >= MinRoleLease.Milliseconds() && c.TTLMS <= MaxRoleLease.Milliseconds()
	return CheckProcess(c.Process) == nil && leaseValid && c.Load >= 0 && c.Load <= maxLoad
}

// CarryOverRoles has a state restored from a backup go on with the roles of the current state, which are newer. Where the current state
// has none, as on nodes that lost their data, those of the backup are used, under epochs above all that can have been given
// since; whoever owned a role at the backup has it for a last lease, so that it ends before another process gets the role.
// Errors do not occur for a state that Apply and ReadSnapshot made.
func (m *Machine) CarryOverRoles(current *Machine) error {
	if current.roles.revision > 0 {
		roles, err := current.roles.copyViaSnapshot()
		if err != nil {
			return err
		}
		m.roles = roles
	} else {
		m.roles.raiseEpochs()
	}
	if m.roles.revision > 0 {
		m.roles.startAfterRestore()
	}
	return nil
}

func (t *roleTable) copyViaSnapshot() (roleTable, error) {
	text, err := json.Marshal(t.snapshot())
	if err != nil {
		return roleTable{}, fmt.Errorf("duties: %w", err)
	}
	var snapshot roleTableSnapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		return roleTable{}, fmt.Errorf("duties: %w", err)
	}
	return snapshot.restore()
}

func (t *roleTable) raiseEpochs() {
	for _, role := range t.byName {
		role.Epoch += restoreGap
		role.RenewalBarred = role.Owner != nil
	}
	t.forgottenEpoch += restoreGap
}

// startAfterRestore marks every role as changed, because watches may have seen changes that the restored state lacks, and starts a
// lease term, which voids ends of leases decided before.
func (t *roleTable) startAfterRestore() {
	t.revision += restoreGap
	t.leaseTerm++
	for _, role := range t.byName {
		role.Revision = t.revision
	}
}
