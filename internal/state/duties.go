package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/list"
	"gradeusher.example/gradeusher/internal/sealed"
)

// Bounds of duties.
const (
	MostDuties        = 4096
	MostCandidates    = 256    // that wait for one duty
	MostCandidacies   = 65_536 // of all duties
	MostStep          = 4096   // bytes of what a holder records
	LeastDutyLease    = 500 * time.Millisecond
	MostDutyLease     = 5 * time.Minute
	mostLoad          = 1 << 20
	mostFailures      = 64 // names of which a duty remembers that they failed
	mostPause         = 5 * time.Minute
	soundOffice       = time.Minute // after so long in office earlier failures are forgotten
	givesAway         = 2           // more duties than one that waits
	restoredEpochs    = 1 << 20     // epochs that may have been given since a backup
	driftShare        = 100         // clocks differ by one part in so many at most
	driftFix          = 100 * time.Millisecond
	mostDutiesInBatch = 1024
)

// DutyMargin is how long before the end of a lease, as counted from before the renewal was sent, its holder stops acting: for
// clocks whose rates differ by 1 %, and 100 ms between a look at the clock and the effect.
func DutyMargin(lease time.Duration) time.Duration { return lease/driftShare + driftFix }

// The commands of duties. Their fields are in Command.Duty.
const (
	Campaign   Op = "duty-campaign"   // a process wants a duty, and gets it if it is free
	Withdraw   Op = "duty-withdraw"   // it waits no more
	Release    Op = "duty-release"    // its holder lets go of it
	Move       Op = "duty-move"       // its holder is asked to
	Checkpoint Op = "duty-checkpoint" // its holder records a step
	Forget     Op = "duty-forget"     // duties that nobody holds, waits for or has had for long are forgotten
	End        Op = "duty-end"        // leases have ended, candidates are silent, pauses are over
	Office     Op = "duty-office"     // another leader counts leases
)

// DutyCall is a command of duties. Each Op looks at the fields that name it.
type DutyCall struct {
	Name   string `json:"name,omitempty"`
	Who    string `json:"who,omitempty"`     // NAME#RUN of the process: campaign, withdraw, release, checkpoint
	Room   string `json:"room,omitempty"`    // campaign: of the process
	At     string `json:"at,omitempty"`      // campaign: the room where the duty should be held, which the first says
	Load   int64  `json:"load,omitempty"`    // campaign: what the process carries besides, in duties
	TTLMS  int64  `json:"ttl_ms,omitempty"`  // campaign: length of the lease that it wants
	Epoch  int64  `json:"epoch,omitempty"`   // release, checkpoint
	To     string `json:"to,omitempty"`      // release, move: who is next; a name or NAME#RUN
	Again  bool   `json:"again,omitempty"`   // release: it waits again
	Failed bool   `json:"failed,omitempty"`  // release: it could not do the work
	Force  bool   `json:"force,omitempty"`   // move: it cannot renew any more
	Step   string `json:"step,omitempty"`    // checkpoint; release, where StepNo is given
	StepNo *int64 `json:"step_no,omitempty"` // the number of the step that was read before; it gets the next

	Idle   []string `json:"idle,omitempty"`    // forget: these, if they are; Name, Who and Epoch are the office that it is done in
	IdleMS int64    `json:"idle_ms,omitempty"` // forget: for how long

	NowMS  int64      `json:"now_ms,omitempty"` // Unix time by the leader's clock, for pauses
	Office int64      `json:"office,omitempty"` // end: what the leases were counted in
	Ended  []EndedOne `json:"ended,omitempty"`
	Silent []EndedOne `json:"silent,omitempty"`
	Due    []string   `json:"due,omitempty"`
}

// EndedOne is an office whose lease has ended, or one who waits and is silent.
type EndedOne struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch,omitempty"`
	Who   string `json:"who,omitempty"`
}

// Candidate is a process that holds a duty or waits for it.
type Candidate struct {
	Who   string `json:"who"`
	Room  string `json:"room,omitempty"`
	Load  int64  `json:"load,omitempty"`
	TTLMS int64  `json:"ttl_ms"`
}

// Failure is how often a process of a name failed in office.
type Failure struct {
	Name    string `json:"name"`
	Times   int    `json:"times"`
	UntilMS int64  `json:"until_ms,omitempty"` // it is passed over; Unix time
}

// Duty is one duty.
type Duty struct {
	Name    string      `json:"name"`
	Epoch   int64       `json:"epoch"` // of the last grant
	Rev     int64       `json:"rev"`   // of its last change
	Room    string      `json:"room,omitempty"`
	Holder  *Candidate  `json:"holder,omitempty"`
	SinceMS int64       `json:"since_ms,omitempty"` // it was granted, or fell free; Unix time
	Asked   bool        `json:"asked,omitempty"`    // the holder is to hand it over
	To      string      `json:"to,omitempty"`       // to this process; "": the next in line
	Barred  bool        `json:"barred,omitempty"`   // renewals of this office are refused
	Step    string      `json:"step,omitempty"`
	StepNo  int64       `json:"step_no"`
	Waiting []Candidate `json:"waiting,omitempty"` // longest first
	Failed  []Failure   `json:"failed,omitempty"`
}

// Is tells whether a process holds the duty.
func (d *Duty) Is(who string) bool { return d.Holder != nil && d.Holder.Who == who }

// Waits tells where a process stands in line; below 0: it does not.
func (d *Duty) Waits(who string) int {
	return slices.IndexFunc(d.Waiting, func(c Candidate) bool { return c.Who == who })
}

func (d *Duty) copied() Duty {
	c := *d
	if d.Holder != nil {
		h := *d.Holder
		c.Holder = &h
	}
	c.Waiting, c.Failed = slices.Clone(d.Waiting), slices.Clone(d.Failed)
	return c
}

// ProcessName is the name of the process whose run is who.
func ProcessName(who string) string {
	name, _, _ := strings.Cut(who, "#")
	return name
}

var run = regexp.MustCompile(`^[A-Za-z0-9]{1,32}$`)

// CheckWho refuses what is no NAME#RUN.
func CheckWho(who string) error {
	name, r, _ := strings.Cut(who, "#")
	if list.CheckUID(name) != nil || !run.MatchString(r) {
		return fmt.Errorf("%.60q is no NAME#RUN, of a name as servers have and up to 32 letters and digits", who)
	}
	return nil
}

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
	case len(c.Room) > list.MostName || len(c.At) > list.MostName:
		return d, refuse(Bad, "a room has %d bytes at most", list.MostName)
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

// LeastIdle is the shortest time after which duties may be forgotten. What is lost with one is its step and who failed in it.
const LeastIdle = time.Second

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
