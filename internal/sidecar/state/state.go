// Package state is the replicated state machine of the registry: the list of servers, the route table, the singleton roles and the
// addresses of the registry nodes. Every node applies the same commands in the order of the raft log and must come to the same
// state, byte for byte; so the package does no I/O, reads no clock and never lets the order of a map decide. Times that a decision
// needs stand in the commands.
//
// Terms: an entry is a server with its lease; the revision counts changes of the list; the history is the list's latest changes,
// from which a watch resumes; a generation is a version of the route table; a role is work that one process does at a time
// (docs/singleton-roles.md).
//
// Invariants: the revision only rises, by one with each change; a server has one entry; the history has no gap and reaches up to the
// revision; a refused command changes nothing. The types routeHistory and roleTable state those of routes and roles.
package state

import (
	"cmp"
	"maps"
	"slices"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Bounds of the state. They are part of the state machine: nodes with other bounds would refuse other commands and diverge.
const (
	MaxServers = 20_000
	MaxHistory = 10_000 // changes from which a watch can surely resume; the history has up to historySlack more
	MaxBatch   = 512    // servers in one command
	maxNodes   = 9

	historySlack = 1024 // changes beyond MaxHistory that may pile up before the history is cut, so that it is copied rarely
)

// The values of Entry.Reason.
const (
	DrainRequested = "asked" // an operator or the server itself asked that it drain
	LeaseExpired   = "lease" // it drains because it did not renew its lease

	// RestoredFromBackup marks a serving server whose process has not registered since the state was restored from a backup. Its
	// registration is a change, so that every watch learns that it is alive.
	RestoredFromBackup = "restored"
)

// Entry is one server of the list.
type Entry struct {
	list.Registration
	Lease    int64  `json:"lease"`         // fencing token: rises with each grant of a lease to any server
	Revision int64  `json:"rev"`           // that of its last change
	Reason   string `json:"why,omitempty"` // why it drains, or RestoredFromBackup
}

// Change is one change of the list.
type Change struct {
	Revision int64       `json:"rev"`
	Target   list.Target `json:"target"`
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	cluster   string
	revision  int64
	lastLease int64 // the fencing token of the latest grant
	entries   map[string]*Entry
	history   []Change // ends with the change of revision; empty after a restore
	nodes     map[string]Node
	routing   routeHistory
	roles     roleTable
}

// New returns the state before the first command.
func New() *Machine {
	return &Machine{entries: map[string]*Entry{}, nodes: map[string]Node{}, roles: newRoleTable()}
}

// Cluster returns the id of the cluster, or "" before FoundCluster.
func (m *Machine) Cluster() string { return m.cluster }

// Revision returns the revision of the list.
func (m *Machine) Revision() int64 { return m.revision }

// Len returns the number of servers.
func (m *Machine) Len() int { return len(m.entries) }

// OldestRevision returns the lowest revision from which ChangesSince knows all changes.
func (m *Machine) OldestRevision() int64 { return m.revision - int64(len(m.history)) }

// Nodes returns the registry nodes that have recorded their address, by name.
func (m *Machine) Nodes() []Node {
	return slices.SortedFunc(maps.Values(m.nodes), func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
}

// Entry returns the entry of a server, and whether there is one.
func (m *Machine) Entry(uid string) (Entry, bool) {
	e, ok := m.entries[uid]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns all entries, by uid.
func (m *Machine) Entries() []Entry {
	entries := make([]Entry, 0, len(m.entries))
	for _, uid := range slices.Sorted(maps.Keys(m.entries)) {
		entries = append(entries, *m.entries[uid])
	}
	return entries
}

// LeasedEntries returns the entries of servers with a lease, by uid.
func (m *Machine) LeasedEntries() []Entry {
	var entries []Entry
	for _, e := range m.entries {
		if e.LeaseMS != 0 {
			entries = append(entries, *e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.UID, b.UID) })
	return entries
}

// Targets returns the complete list, by uid.
func (m *Machine) Targets() []list.Target {
	targets := make([]list.Target, 0, len(m.entries))
	for _, uid := range slices.Sorted(maps.Keys(m.entries)) {
		targets = append(targets, m.entries[uid].Target)
	}
	return targets
}

// ChangesSince returns the changes after a revision, in order. It returns false where the history does not reach back so far or the
// revision lies ahead. The caller must not change the slice.
func (m *Machine) ChangesSince(revision int64) ([]Change, bool) {
	if revision < m.OldestRevision() || revision > m.revision {
		return nil, false
	}
	return m.history[len(m.history)-int(m.revision-revision):], true
}

// Apply applies a command.
func (m *Machine) Apply(c Command) Result {
	result := m.dispatch(c)
	if result.Revision == 0 {
		result.Revision = m.revision
	}
	return result
}

func (m *Machine) dispatch(command Command) Result {
	switch command.Op {
	case FoundCluster:
		return Result{Err: m.foundCluster(command.Cluster)}
	case Register:
		return m.register(command)
	case Drain, Serve, Deregister:
		return m.applyServer(command)
	case ExpireServers:
		return m.expireServers(command.Expired)
	case SetNode:
		return Result{Err: m.setNode(command.Node)}
	case RemoveNode:
		return Result{Err: m.removeNode(command.Node)}
	case SetRoutes:
		return m.setRoutes(command)
	case StartLeaseTerm, EndRoleLeases, Campaign, Withdraw, Release, Move, Checkpoint, Forget:
		var call RoleCall
		if command.Role != nil {
			call = *command.Role
		}
		return m.roles.apply(command.Op, call)
	default:
		return Result{Err: refuse(Invalid, "unknown command %.40q", command.Op)}
	}
}

// foundCluster sets the id of the cluster, once: a later command keeps the first id and is no error.
func (m *Machine) foundCluster(id string) *Error {
	if id == "" || len(id) > list.MaxNameBytes {
		return refuse(Invalid, "a cluster needs an id of at most %d bytes", list.MaxNameBytes)
	}
	if m.cluster == "" {
		m.cluster = id
	}
	return nil
}

func checkNodeName(n *Node) *Error {
	if n == nil || n.Name == "" || len(n.Name) > list.MaxNameBytes {
		return refuse(Invalid, "a keeper needs a name")
	}
	return nil
}

func (m *Machine) setNode(n *Node) *Error {
	if err := checkNodeName(n); err != nil {
		return err
	}
	if err := list.CheckAddress(n.HTTPAddress); err != nil {
		return refuse(Invalid, "keeper %s: %v", n.Name, err)
	}
	if _, known := m.nodes[n.Name]; !known && len(m.nodes) >= maxNodes {
		return refuse(LimitReached, "there are %d keepers already", len(m.nodes))
	}
	m.nodes[n.Name] = *n
	return nil
}

func (m *Machine) removeNode(n *Node) *Error {
	if err := checkNodeName(n); err != nil {
		return err
	}
	delete(m.nodes, n.Name)
	return nil
}

// recordChange gives an entry its new state and the next revision, and adds the change to the history and the result.
func (m *Machine) recordChange(e *Entry, state list.State, result *Result) {
	m.revision++
	e.State, e.Revision = state, m.revision
	change := Change{m.revision, e.Target}
	m.history = append(m.history, change)
	if len(m.history) >= MaxHistory+historySlack {
		// A copy, because readers of ChangesSince may still use the array.
		m.history = slices.Clone(m.history[len(m.history)-MaxHistory:])
	}
	result.Revision, result.Changes = m.revision, append(result.Changes, change)
}

// grantLease gives a server's lease a new fencing token. Without one, an end of the lease that was decided before the renewal and is
// applied after it would undo the renewal.
func (m *Machine) grantLease(e *Entry) {
	m.lastLease++
	e.Lease = m.lastLease
}
