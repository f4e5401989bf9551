// Package state is the one state machine that all keepers share: commands in, changes out. It has no I/O and no clock, and
// the same commands in the same order leave the same state to the byte.
//
// Invariants: the revision only rises, by one with each change; a server is on the list in one entry; the history holds the
// last changes without a gap, up to the revision; a refused command changes nothing.
package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Bounds of the state. They are the same at all keepers, or these would differ on what they refuse.
const (
	MostServers = 20_000
	MostHistory = 10_000 // changes that a watch can go on from, at least; historySlack more at most
	MostBatch   = 512    // servers in one command
	mostKeepers = 9

	historySlack = 1024
)

// Op is what a command does.
type Op string

// The commands.
const (
	Found    Op = "found"    // gives the cluster its id, once
	Register Op = "register" // servers come, or a process comes again
	Drain    Op = "drain"    // a server is to get no new work; stays so until its process is replaced or it serves again
	Serve    Op = "serve"    // ends that
	Leave    Op = "leave"    // a server goes
	Expire   Op = "expire"   // leases have ended
	Member   Op = "member"   // where a keeper answers
	Unmember Op = "unmember" // a keeper is gone
	Route    Op = "routes"   // another route table
)

// Command is one step of the log. Fields that an Op does not name are not looked at, nor are unknown ones.
type Command struct {
	Op      Op                  `json:"op"`
	Servers []list.Registration `json:"servers,omitempty"` // register
	UID     string              `json:"uid,omitempty"`     // drain, serve, leave
	Expect  *int64              `json:"expect,omitempty"`  // register of one, drain, serve, leave: the entry's revision must be this; 0: it must not be there. routes: the generation
	Ended   []Ended             `json:"ended,omitempty"`   // expire
	Cluster string              `json:"cluster,omitempty"` // found
	Keeper  *Keeper             `json:"keeper,omitempty"`  // member, unmember (its name)
	Rules   routes.Table        `json:"rules,omitempty"`   // routes; none: the empty table, unless there is a base
	Base    *int64              `json:"base,omitempty"`    // routes: in place of Rules, Ops lead there from this generation
	Ops     []routes.Op         `json:"ops,omitempty"`     // routes
	Duty    *DutyCall           `json:"duty,omitempty"`    // of duties
}

// Ended names a lease that has ended. One that was granted anew since then is left alone.
type Ended struct {
	UID   string `json:"uid"`
	Lease int64  `json:"lease"`
}

// Keeper is where a keeper answers.
type Keeper struct {
	Name string `json:"name"`
	HTTP string `json:"http,omitempty"`
}

// Why a server drains.
const (
	Asked     = "asked" // somebody wants it
	LeaseOver = "lease" // it did not renew

	// Restored is why a server that serves is not sure to: it is from a backup, and its process has not said anything since.
	// It has to register again, which is a change, so that everybody learns of it.
	Restored = "restored"
)

// Entry is one server of the list.
type Entry struct {
	list.Registration
	Lease int64  `json:"lease"`         // rises with each grant of a lease to anybody: its fencing token
	Rev   int64  `json:"rev"`           // of its last change
	Why   string `json:"why,omitempty"` // it drains, or is not sure to be there
}

// Change is one step of the list.
type Change struct {
	Rev    int64       `json:"rev"`
	Target list.Target `json:"target"`
}

// Code says what kind of refusal an Error is.
type Code string

// The kinds of refusals.
const (
	Bad      Code = "bad"      // it makes no sense
	Conflict Code = "conflict" // it does not fit what is there
	Unknown  Code = "unknown"  // it names what is not there
	Full     Code = "full"     // a bound is reached
)

// Error is why a command was refused. Nothing of it was applied.
type Error struct {
	Code   Code   `json:"code"`
	Reason string `json:"reason"`
}

func (e *Error) Error() string { return e.Reason }

func refuse(code Code, form string, args ...any) *Error {
	return &Error{code, fmt.Sprintf(form, args...)}
}

// Result is what became of a command.
type Result struct {
	Rev     int64    // of the last change to what the command names, or of the list where it names nothing; of an Office its number
	Changes []Change // what it changed, in order
	Gen     int64    // of routes: of the table that is there now
	Routed  bool     // that is a new one
	Moved   bool     // it was refused because the base is no longer the last generation
	Duty    *Duty    // of duties: the one named, as it is now
	Dutied  bool     // a duty may have changed
	Err     *Error   // it was refused
}

// Machine is the state.
type Machine struct {
	cluster string
	rev     int64
	lease   int64 // the last that was granted
	entries map[string]*Entry
	history []Change // the last is that of rev; empty after a restore
	keepers map[string]Keeper
	routing routing
	duties  duties
}

// New is a state in which nothing has happened.
func New() *Machine {
	return &Machine{entries: map[string]*Entry{}, keepers: map[string]Keeper{}, duties: newDuties()}
}

// Cluster is the id of the cluster whose state this is; "": it has none yet.
func (m *Machine) Cluster() string { return m.cluster }

// Rev is the revision of the list.
func (m *Machine) Rev() int64 { return m.rev }

// Len is the number of servers.
func (m *Machine) Len() int { return len(m.entries) }

// Oldest is the lowest revision from which Since knows all changes.
func (m *Machine) Oldest() int64 { return m.rev - int64(len(m.history)) }

// Keepers are the keepers that said where they answer, by name.
func (m *Machine) Keepers() []Keeper {
	all := slices.Collect(maps.Values(m.keepers))
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Entry is a server's entry.
func (m *Machine) Entry(uid string) (Entry, bool) {
	e, ok := m.entries[uid]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Entries are all servers, by uid.
func (m *Machine) Entries() []Entry {
	all := make([]Entry, 0, len(m.entries))
	for _, uid := range slices.Sorted(maps.Keys(m.entries)) {
		all = append(all, *m.entries[uid])
	}
	return all
}

// Leased are the servers that have leases, by uid.
func (m *Machine) Leased() []Entry {
	var all []Entry
	for _, e := range m.entries {
		if e.LeaseMS != 0 {
			all = append(all, *e)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].UID < all[j].UID })
	return all
}

// Targets is the whole list, by uid.
func (m *Machine) Targets() []list.Target {
	all := make([]list.Target, 0, len(m.entries))
	for _, uid := range slices.Sorted(maps.Keys(m.entries)) {
		all = append(all, m.entries[uid].Target)
	}
	return all
}

// Since is what changed after a revision, in order. It tells false where the history does not reach back so far, or the
// revision lies ahead. The slice must not be changed.
func (m *Machine) Since(rev int64) ([]Change, bool) {
	if rev < m.Oldest() || rev > m.rev {
		return nil, false
	}
	return m.history[len(m.history)-int(m.rev-rev):], true
}

// Decode reads a command as the log holds it.
func Decode(text []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(text, &c); err != nil {
		return Command{}, fmt.Errorf("command: %w", err)
	}
	return c, nil
}

// Apply takes one step.
func (m *Machine) Apply(c Command) Result {
	var r Result
	switch c.Op {
	case Found:
		r.Err = m.found(c.Cluster)
	case Register:
		r = m.register(c)
	case Drain, Serve, Leave:
		r = m.turn(c)
	case Expire:
		for _, e := range c.Ended {
			m.expire(e, &r)
		}
	case Member, Unmember:
		r.Err = m.member(c)
	case Route:
		r = m.route(c)
	case Campaign, Withdraw, Release, Move, Checkpoint, Forget, End, Office:
		call := DutyCall{}
		if c.Duty != nil {
			call = *c.Duty
		}
		r = m.duty(c.Op, call)
	default:
		r.Err = refuse(Bad, "unknown command %.40q", c.Op)
	}
	if r.Rev == 0 {
		r.Rev = m.rev
	}
	return r
}

func (m *Machine) found(id string) *Error {
	switch {
	case id == "" || len(id) > list.MaxNameBytes:
		return refuse(Bad, "a cluster needs an id of at most %d bytes", list.MaxNameBytes)
	case m.cluster == "":
		m.cluster = id
	}
	return nil
}

func (m *Machine) member(c Command) *Error {
	switch {
	case c.Keeper == nil || c.Keeper.Name == "" || len(c.Keeper.Name) > list.MaxNameBytes:
		return refuse(Bad, "a keeper needs a name")
	case c.Op == Unmember:
		delete(m.keepers, c.Keeper.Name)
		return nil
	}
	if err := list.CheckAddress(c.Keeper.HTTP); err != nil {
		return refuse(Bad, "keeper %s: %v", c.Keeper.Name, err)
	}
	if _, known := m.keepers[c.Keeper.Name]; !known && len(m.keepers) >= mostKeepers {
		return refuse(Full, "there are %d keepers already", len(m.keepers))
	}
	m.keepers[c.Keeper.Name] = *c.Keeper
	return nil
}

// change notes that an entry is now what it is.
func (m *Machine) change(e *Entry, state list.State, r *Result) {
	m.rev++
	e.State, e.Rev = state, m.rev
	c := Change{m.rev, e.Target}
	m.history = append(m.history, c)
	if len(m.history) >= MostHistory+historySlack {
		// A copy, so that whoever reads the old one goes on with it.
		m.history = slices.Clone(m.history[len(m.history)-MostHistory:])
	}
	r.Rev, r.Changes = m.rev, append(r.Changes, c)
}

// grant gives a server its lease anew. Danger: without a token of its own, an end of the lease that was decided before
// would undo it.
func (m *Machine) grant(e *Entry) {
	m.lease++
	e.Lease = m.lease
}
