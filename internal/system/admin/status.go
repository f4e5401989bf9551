// Package admin is the tooling of the engineers who run the system: the status of all control-plane nodes and proxies, waiting
// until a change is in force, and backups of the control state (restored by package restore).
//
// The problem: no single process knows the state of the system for certain. Every answer is the view of one node, perhaps of an old
// epoch, and a node or proxy that does not answer may still be running. So Fleet queries all voters that any node names, uses the
// view of the newest epoch and the newest committed record, and lists the nodes that did not answer; Wait counts those as lacking the
// change.
//
// The documents are JSON that scripts read too: the names of their fields are stable and use the terms of the operators' documentation
// (keeper, duty, silent).
package admin

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// Version is the version of the status documents. Readers ignore fields that they do not know; a change that would mislead them
// raises the version.
const Version = 1

// The kinds of errors, for errors.Is.
var (
	// ErrUnreachable marks requests without a response, or without a usable one.
	ErrUnreachable = errors.New("not reached")
	// ErrNotApplied marks a change that was not in force at all nodes and proxies before the wait ended.
	ErrNotApplied = errors.New("not in force everywhere")
	// ErrFormat marks bytes that are not a backup, or are a backup of an unknown version.
	ErrFormat = errors.New("not a backup")
)

// Voter is a control-plane node with a vote in the view.
type Voter struct {
	Address string `json:"address"` // IP
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// Capacity compares the nodes that exist with those that the deployment's fault tolerance requires, as one node sees them.
type Capacity struct {
	ToleranceMet          bool   `json:"bears"`         // after any tolerated loss a majority of the voters and a chain replica remain
	Nodes                 int    `json:"keepers"`       // with a disk and recent contact
	Observers             int    `json:"observers"`     // without a disk, with recent contact
	Voters                int    `json:"voters"`        // of the view
	VotersTimedOut        int    `json:"silent"`        // of those, without recent contact
	VotersDesired         int    `json:"voters_wanted"` // for the tolerance
	ChainReplicas         int    `json:"links"`         // of the view
	ChainReplicasRequired int    `json:"links_needed"`  // below it no change is accepted
	Remedy                string `json:"remedy"`        // what is missing and what to do, in one line; empty: nothing is missing
}

// ProxyProgress is a proxy as the node to which it subscribes sees it.
type ProxyProgress struct {
	Node            string `json:"node"`
	Acknowledged    uint64 `json:"acknowledged"` // the newest record that it has
	SinceLastCallMS int64  `json:"silent_ms"`    // since its last long poll ended; 0: one is open
}

// NodeStatus is the response of a node to GET /status on its control address.
type NodeStatus struct {
	Version   int             `json:"version"` // 0: the node predates versions; the same as 1
	Node      string          `json:"node"`
	Observer  bool            `json:"observer"`           // without a disk: it has no vote and forwards requests
	Current   bool            `json:"current"`            // a majority recently confirmed its epoch; it is in the chain or up to date with it
	Capacity  *Capacity       `json:"capacity,omitempty"` // nil: not known to the node
	Epoch     uint64          `json:"epoch"`
	Chain     []string        `json:"chain"` // IPs, the head first
	Voters    []Voter         `json:"voters"`
	Number    uint64          `json:"number"`   // of the newest committed record
	Revision  int64           `json:"revision"` // of the configuration; 0: none
	Evacuated []string        `json:"evacuated"`
	Servers   int             `json:"servers"`
	ListAgeMS int64           `json:"list_age_ms"` // of the platform's server list; -1: none was received
	ListOwner string          `json:"list_duty"`   // IP of the node that reads the platform's server list
	Quota     *QuotaStatus    `json:"quota,omitempty"`
	Proxies   []ProxyProgress `json:"proxies"` // those that subscribe to this node
	Members   []string        `json:"members"` // names of the live proxies, whichever node they subscribe to

	Violations map[string]uint64 `json:"violations,omitempty"` // of invariants, by name; empty: all hold
}

// ProxyStatus is the response of a proxy to GET /status on its internal address.
type ProxyStatus struct {
	Version   int      `json:"version"`
	Node      string   `json:"node"`
	Ready     bool     `json:"ready"`
	Fresh     bool     `json:"fresh"` // a current node has confirmed recently that nothing newer is committed
	Number    uint64   `json:"number"`
	Revision  int64    `json:"revision"`
	Evacuated []string `json:"evacuated"`
	Members   []string `json:"members"`
	Servers   int      `json:"servers"`
	ListAgeMS int64    `json:"list_age_ms"` // -1: none was received
	Choice    string   `json:"choice"`      // from proxy.Proxy.Describe: one line for each server, which begins with its id

	Refused []TenantRefusals `json:"refused,omitempty"` // sorted by the tenant's name; empty: no request was refused because of a quota

	Violations map[string]uint64 `json:"violations,omitempty"` // of invariants, by name; empty: all hold
}

// Lines returns the lines of Choice that are about the server with the id, or all lines if id is empty.
func (p *ProxyStatus) Lines(id string) []string {
	var out []string
	for line := range strings.Lines(p.Choice) {
		line = strings.TrimRight(line, "\n")
		if name, _, _ := strings.Cut(line, " "); line != "" && (id == "" || name == id) {
			out = append(out, line)
		}
	}
	return out
}

// EvacuatedZones returns the evacuated zones of a state, sorted by name.
func EvacuatedZones(s *controlstate.State) []string {
	return slices.Sorted(maps.Keys(s.Evacuated))
}
