// Package staff is the operators' tooling for the system: status queries over all keepers and proxies, waiting for a change
// to be in force, and backup and restore of the control state.
package admin

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// Version is that of the status documents here. Readers pass over fields that they do not know; a change that would mislead
// them raises it.
const Version = 1

// Kinds of errors.
var (
	// ErrUnreachable marks what did not answer, or not with what was asked for.
	ErrUnreachable = errors.New("not reached")
	// ErrNotApplied marks a change that was not in force everywhere when the time was up.
	ErrNotApplied = errors.New("not in force everywhere")
	// ErrFormat marks bytes that are no backup, or one of a version unknown here.
	ErrFormat = errors.New("not a backup")
)

// Voter is a keeper of the view.
type Voter struct {
	Address string `json:"address"` // IP
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// Capacity compares the keepers that exist with those that the deployment's tolerance needs, as one keeper sees them.
type Capacity struct {
	ToleranceMet          bool   `json:"bears"`         // a majority of the voters and a link are left after any loss that is tolerated
	Nodes                 int    `json:"keepers"`       // with a disk, heard from lately
	Observers             int    `json:"observers"`     // without a disk, heard from lately
	Voters                int    `json:"voters"`        // of the view
	VotersTimedOut          int    `json:"silent"`        // of those, not heard from lately
	VotersDesired         int    `json:"voters_wanted"` // for the tolerance
	ChainReplicas         int    `json:"links"`         // of the view
	ChainReplicasRequired int    `json:"links_needed"`  // fewer take no change
	Remedy                string `json:"remedy"`        // what is missing and what to do, in one line; empty: nothing
}

// ProxyProgress is a proxy as the keeper that it follows sees it.
type ProxyProgress struct {
	Node            string `json:"node"`
	Acknowledged    uint64 `json:"acknowledged"` // newest number that it holds
	SinceLastCallMS int64  `json:"silent_ms"`    // since its last call; 0: one is held
}

// NodeStatus is what a keeper answers to GET /status on its control address.
type NodeStatus struct {
	Version   int             `json:"version"` // 0: before there were versions, the same as 1
	Node      string          `json:"node"`
	Observer  bool            `json:"observer"`           // its machine has no disk: it has no vote, and passes calls on
	Current   bool            `json:"current"`            // a majority has lately confirmed its epoch, and it is in the chain or fed by it
	Capacity  *Capacity       `json:"capacity,omitempty"` // nil: of a keeper that does not tell it
	Epoch     uint64          `json:"epoch"`
	Chain     []string        `json:"chain"` // IPs, the head first
	Voters    []Voter         `json:"voters"`
	Number    uint64          `json:"number"`   // newest committed record
	Revision  int64           `json:"revision"` // of the configuration; 0: none
	Evacuated []string        `json:"evacuated"`
	Servers   int             `json:"servers"`
	ListAgeMS int64           `json:"list_age_ms"` // of the platform's list; -1: none has come
	ListOwner string          `json:"list_duty"`   // IP of the keeper that reads the platform's list
	Proxies   []ProxyProgress `json:"proxies"`     // those that follow this keeper
	Members   []string        `json:"members"`     // names of the live proxies, whichever keeper they follow

	Violations map[string]uint64 `json:"violations,omitempty"` // of invariants, by name; empty: all hold
}

// ProxyStatus is what a proxy answers to GET /status on its inner address.
type ProxyStatus struct {
	Version   int      `json:"version"`
	Node      string   `json:"node"`
	Ready     bool     `json:"ready"`
	Fresh     bool     `json:"fresh"` // a current keeper has just told that there is nothing newer
	Number    uint64   `json:"number"`
	Revision  int64    `json:"revision"`
	Evacuated []string `json:"evacuated"`
	Members   []string `json:"members"`
	Servers   int      `json:"servers"`
	ListAgeMS int64    `json:"list_age_ms"` // -1: none has come
	Choice    string   `json:"choice"`      // proxy.Proxy.Describe: a line a server, its id first

	Violations map[string]uint64 `json:"violations,omitempty"` // of invariants, by name; empty: all hold
}

// Lines are those of Choice, or the ones about the server with the id.
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

// EvacuatedZones are the evacuated zones of a state, by name.
func EvacuatedZones(s *controlstate.State) []string {
	return slices.Sorted(maps.Keys(s.Evacuated))
}
