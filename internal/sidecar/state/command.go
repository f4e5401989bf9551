package state

import (
	"encoding/json"
	"fmt"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Op names the operation of a command. Its text is stored in the log.
type Op string

// The operations on the cluster, its servers, its nodes and its route table. Those on singleton roles stand with RoleCall.
const (
	FoundCluster  Op = "found"    // gives the cluster its id, once
	Register      Op = "register" // adds servers, refreshes their leases, or replaces the process behind an id
	Drain         Op = "drain"    // takes new work from a server until its process is replaced or Serve
	Serve         Op = "serve"    // ends a requested drain
	Deregister    Op = "leave"    // removes a server
	ExpireServers Op = "expire"   // reports leases of servers that have ended
	SetNode       Op = "member"   // records the address at which a registry node serves
	RemoveNode    Op = "unmember" // removes the record of a registry node
	SetRoutes     Op = "routes"   // replaces the route table
)

// Command is one entry of the log. An operation reads only the fields that name it; other fields, and unknown ones, are ignored, so
// that later versions may add some. The JSON names are stored data and never change.
type Command struct {
	Op      Op                  `json:"op"`
	Servers []list.Registration `json:"servers,omitempty"` // Register: 1 to MaxBatch
	UID     string              `json:"uid,omitempty"`     // Drain, Serve, Deregister
	// Expect is the compare-and-set condition of Register (of one server), Drain, Serve, Deregister: the revision of the entry, 0 for
	// no entry. For SetRoutes it is the current generation.
	Expect  *int64         `json:"expect,omitempty"`
	Expired []ExpiredLease `json:"ended,omitempty"`   // ExpireServers
	Cluster string         `json:"cluster,omitempty"` // FoundCluster
	Node    *Node          `json:"keeper,omitempty"`  // SetNode; RemoveNode reads its name only
	Rules   routes.Table   `json:"rules,omitempty"`   // SetRoutes without Base: the new table, which may be empty
	Base    *int64         `json:"base,omitempty"`    // SetRoutes: Ops lead from this generation to the new table
	Ops     []routes.Op    `json:"ops,omitempty"`     // SetRoutes with Base
	Role    *RoleCall      `json:"duty,omitempty"`    // operations on singleton roles
}

// ExpiredLease names a lease that has ended by its fencing token. It has no effect on a server whose lease was granted anew since.
type ExpiredLease struct {
	UID   string `json:"uid"`
	Lease int64  `json:"lease"`
}

// Node is a registry node and the address at which it serves HTTP.
type Node struct {
	Name        string `json:"name"`
	HTTPAddress string `json:"http,omitempty"`
}

// Decode reads a command in the encoding of the log, which is JSON.
func Decode(text []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(text, &c); err != nil {
		return Command{}, fmt.Errorf("command: %w", err)
	}
	return c, nil
}

// Code is the kind of a refusal.
type Code string

// The kinds of refusals.
const (
	Invalid      Code = "bad"      // the command is malformed or out of bounds
	Conflict     Code = "conflict" // the command contradicts the current state
	NotFound     Code = "unknown"  // the command names what does not exist
	LimitReached Code = "full"     // the command would exceed a bound of the state
)

// Error is the reason why a command was refused. A refused command changes nothing.
type Error struct {
	Code   Code   `json:"code"`
	Reason string `json:"reason"`
}

func (e *Error) Error() string { return e.Reason }

func refuse(code Code, format string, args ...any) *Error {
	return &Error{code, fmt.Sprintf(format, args...)}
}

// Result is the outcome of a command.
type Result struct {
	// Revision is that of the last change to what the command names, or of the list where it names nothing. For StartLeaseTerm it is
	// the number of the new term.
	Revision      int64
	Changes       []Change // changes of the list, in order
	Generation    int64    // SetRoutes: that of the current table
	RoutesChanged bool     // SetRoutes: the generation is a new one
	BaseMoved     bool     // SetRoutes: it was refused because Base is not the current generation
	Role          *Role    // operations on one role: the role as it is now
	RolesChanged  bool     // a role may have changed
	Err           *Error   // not nil: the command was refused
}
