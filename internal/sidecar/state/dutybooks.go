package state

import (
	"maps"
	"slices"
)

// duties is all duties.
//
// Invariants: an epoch only rises; a process holds a duty or waits for it, not both, and waits once; by and burden say what
// the duties say.
type duties struct {
	rev, office int64
	floor       int64 // the highest epoch of those that were forgotten: whoever comes again goes on above it
	all         map[string]*Duty
	waiting     int
	by          map[string]map[string]bool // names of the duties that a process holds or waits for
	burden      map[string]int64           // duties that it holds once every handover that is asked is done
}

func newDuties() duties {
	return duties{all: map[string]*Duty{}, by: map[string]map[string]bool{}, burden: map[string]int64{}}
}

// count adds a duty to what is known by process, or takes it out.
func (s *duties) count(d *Duty, sign int64) {
	note := func(who string) {
		if sign < 0 {
			if delete(s.by[who], d.Name); len(s.by[who]) == 0 {
				delete(s.by, who)
			}
			return
		}
		if s.by[who] == nil {
			s.by[who] = map[string]bool{}
		}
		s.by[who][d.Name] = true
	}
	s.waiting += int(sign) * len(d.Waiting)
	for _, c := range d.Waiting {
		note(c.Who)
	}
	if d.Holder == nil {
		return
	}
	note(d.Holder.Who)
	who := d.Holder.Who
	if d.Asked && d.To != "" {
		who = d.To
	}
	if s.burden[who] += sign; s.burden[who] == 0 {
		delete(s.burden, who)
	}
}

// edit changes a duty.
func (s *duties) edit(d *Duty, do func()) {
	s.count(d, -1)
	do()
	s.count(d, 1)
	s.rev++
	d.Rev = s.rev
}

// DutyRev rises with each change of a duty.
func (m *Machine) DutyRev() int64 { return m.duties.rev }

// DutyOffice is the number under which leases are counted.
func (m *Machine) DutyOffice() int64 { return m.duties.office }

// Duties are all duties that changed after a revision, by name.
func (m *Machine) Duties(after int64) []Duty {
	var all []Duty
	for _, name := range slices.Sorted(maps.Keys(m.duties.all)) {
		if d := m.duties.all[name]; d.Rev > after {
			all = append(all, d.copied())
		}
	}
	return all
}

// DutiesOf are the duties that a process holds or waits for, by name.
func (m *Machine) DutiesOf(who string) []Duty {
	all := make([]Duty, 0, len(m.duties.by[who]))
	for _, name := range slices.Sorted(maps.Keys(m.duties.by[who])) {
		all = append(all, m.duties.all[name].copied())
	}
	return all
}

// Duty is one of a name.
func (m *Machine) Duty(name string) (Duty, bool) {
	d, ok := m.duties.all[name]
	if !ok {
		return Duty{}, false
	}
	return d.copied(), true
}

// EachDuty calls do with each duty, in no order. It must neither be changed nor kept.
func (m *Machine) EachDuty(do func(*Duty)) {
	for _, d := range m.duties.all {
		do(d)
	}
}

// Due are duties without a holder that one who waits could have at a time, a batch at most.
func (m *Machine) Due(nowMS int64) (names []string) {
	for name, d := range m.duties.all {
		if d.Holder == nil && len(d.Waiting) > 0 && len(names) < mostDutiesInBatch && m.duties.next(d, nowMS, "") >= 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
