package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// roleTableSnapshot is the duties in a snapshot.
type roleTableSnapshot struct {
	Revision       int64  `json:"rev"`
	LeaseTerm      int64  `json:"office"`
	ForgottenEpoch int64  `json:"floor,omitempty"`
	Roles          []Role `json:"all"`
}

// snapshot is nil where there never was a duty, so that a keeper of before there were any reads the snapshot.
func (s *roleTable) snapshot() *roleTableSnapshot {
	if s.revision == 0 {
		return nil
	}
	f := &roleTableSnapshot{s.revision, s.leaseTerm, s.forgottenEpoch, nil}
	for _, name := range slices.Sorted(maps.Keys(s.roles)) {
		f.Roles = append(f.Roles, s.roles[name].clone())
	}
	return f
}

// restore reads what form wrote. Errors wrap sealed.ErrUnsound.
func (f *roleTableSnapshot) restore() (roleTable, error) {
	s := newRoleTable()
	if f == nil {
		return s, nil
	}
	s.revision, s.leaseTerm, s.forgottenEpoch = f.Revision, f.LeaseTerm, f.ForgottenEpoch
	for i := range f.Roles {
		d := f.Roles[i].clone()
		if err := d.check(f.Revision); err != nil || s.roles[d.Name] != nil {
			return s, fmt.Errorf("%w: duty %.40q makes no sense or stands twice: %v", sealed.ErrUnsound, d.Name, err)
		}
		s.roles[d.Name] = &d
		s.index(&d, 1)
	}
	if f.Revision < 1 || f.LeaseTerm < 0 || f.ForgottenEpoch < 0 || len(f.Roles) > MaxRoles || s.waiting > MaxCandidates {
		return s, fmt.Errorf("%w: %d duties at revision %d", sealed.ErrUnsound, len(f.Roles), f.Revision)
	}
	return s, nil
}

func (d *Role) check(rev int64) error {
	if err := list.CheckUID(d.Name); err != nil {
		return err
	}
	if d.Epoch < 0 || d.Revision < 0 || d.Revision > rev || d.StepNo < 0 || len(d.Step) > MaxStepBytes || len(d.Waiting) > MaxCandidatesPerRole || len(d.Failures) > maxFailuresPerRole {
		return fmt.Errorf("epoch %d, revision %d, step %d of %d bytes, %d wait", d.Epoch, d.Revision, d.StepNo, len(d.Step), len(d.Waiting))
	}
	seen := map[string]bool{}
	all := d.Waiting
	if d.Owner != nil {
		all = append(all[:len(all):len(all)], *d.Owner)
	}
	for _, c := range all {
		if ms := c.TTLMS; CheckProcess(c.Process) != nil || seen[c.Process] || ms < MinRoleLease.Milliseconds() || ms > MaxRoleLease.Milliseconds() || c.Load < 0 || c.Load > maxLoad {
			return fmt.Errorf("%.60q with a lease of %d ms", c.Process, ms)
		}
		seen[c.Process] = true
	}
	return nil
}

// CarryOverRoles has a state that is taken up again from a backup go on with the duties as they are. Where none are known, as on
// keepers that lost all, those of the backup are taken, with epochs above all that can have been given since, and whoever
// held one then has it for a last lease, so that it ends before another gets it. Errors are none of a sound state.
func (m *Machine) CarryOverRoles(now *Machine) (err error) {
	if now.roles.revision > 0 {
		text, err := json.Marshal(now.roles.snapshot())
		if err != nil {
			return fmt.Errorf("duties: %w", err)
		}
		var f roleTableSnapshot
		if err := json.Unmarshal(text, &f); err != nil {
			return fmt.Errorf("duties: %w", err)
		}
		if m.roles, err = f.restore(); err != nil {
			return err
		}
	} else {
		for _, d := range m.roles.roles {
			d.Epoch += restoreGap
			d.RenewalBarred = d.Owner != nil
		}
		m.roles.forgottenEpoch += restoreGap
	}
	if m.roles.revision > 0 { // some may have been told changes that this does not know
		m.roles.revision += restoreGap
		m.roles.leaseTerm++
		for _, d := range m.roles.roles {
			d.Revision = m.roles.revision
		}
	}
	return nil
}
