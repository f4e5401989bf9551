package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// dutiesForm is the duties in a snapshot.
type dutiesForm struct {
	Rev    int64  `json:"rev"`
	Office int64  `json:"office"`
	Floor  int64  `json:"floor,omitempty"`
	All    []Duty `json:"all"`
}

// form is nil where there never was a duty, so that a keeper of before there were any reads the snapshot.
func (s *duties) form() *dutiesForm {
	if s.rev == 0 {
		return nil
	}
	f := &dutiesForm{s.rev, s.office, s.floor, nil}
	for _, name := range slices.Sorted(maps.Keys(s.all)) {
		f.All = append(f.All, s.all[name].copied())
	}
	return f
}

// duties reads what form wrote. Errors wrap sealed.ErrUnsound.
func (f *dutiesForm) duties() (duties, error) {
	s := newDuties()
	if f == nil {
		return s, nil
	}
	s.rev, s.office, s.floor = f.Rev, f.Office, f.Floor
	for i := range f.All {
		d := f.All[i].copied()
		if err := d.check(f.Rev); err != nil || s.all[d.Name] != nil {
			return s, fmt.Errorf("%w: duty %.40q makes no sense or stands twice: %v", sealed.ErrUnsound, d.Name, err)
		}
		s.all[d.Name] = &d
		s.count(&d, 1)
	}
	if f.Rev < 1 || f.Office < 0 || f.Floor < 0 || len(f.All) > MostDuties || s.waiting > MostCandidacies {
		return s, fmt.Errorf("%w: %d duties at revision %d", sealed.ErrUnsound, len(f.All), f.Rev)
	}
	return s, nil
}

func (d *Duty) check(rev int64) error {
	if err := list.CheckUID(d.Name); err != nil {
		return err
	}
	if d.Epoch < 0 || d.Rev < 0 || d.Rev > rev || d.StepNo < 0 || len(d.Step) > MostStep || len(d.Waiting) > MostCandidates || len(d.Failed) > mostFailures {
		return fmt.Errorf("epoch %d, revision %d, step %d of %d bytes, %d wait", d.Epoch, d.Rev, d.StepNo, len(d.Step), len(d.Waiting))
	}
	seen := map[string]bool{}
	all := d.Waiting
	if d.Holder != nil {
		all = append(all[:len(all):len(all)], *d.Holder)
	}
	for _, c := range all {
		if ms := c.TTLMS; CheckWho(c.Who) != nil || seen[c.Who] || ms < LeastDutyLease.Milliseconds() || ms > MostDutyLease.Milliseconds() || c.Load < 0 || c.Load > mostLoad {
			return fmt.Errorf("%.60q with a lease of %d ms", c.Who, ms)
		}
		seen[c.Who] = true
	}
	return nil
}

// KeepDuties has a state that is taken up again from a backup go on with the duties as they are. Where none are known, as on
// keepers that lost all, those of the backup are taken, with epochs above all that can have been given since, and whoever
// held one then has it for a last lease, so that it ends before another gets it. Errors are none of a sound state.
func (m *Machine) KeepDuties(now *Machine) (err error) {
	if now.duties.rev > 0 {
		text, err := json.Marshal(now.duties.form())
		if err != nil {
			return fmt.Errorf("duties: %w", err)
		}
		var f dutiesForm
		if err := json.Unmarshal(text, &f); err != nil {
			return fmt.Errorf("duties: %w", err)
		}
		if m.duties, err = f.duties(); err != nil {
			return err
		}
	} else {
		for _, d := range m.duties.all {
			d.Epoch += restoredEpochs
			d.Barred = d.Holder != nil
		}
		m.duties.floor += restoredEpochs
	}
	if m.duties.rev > 0 { // some may have been told changes that this does not know
		m.duties.rev += restoredEpochs
		m.duties.office++
		for _, d := range m.duties.all {
			d.Rev = m.duties.rev
		}
	}
	return nil
}
