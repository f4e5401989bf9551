// Package signals derives verdicts on servers from the observations that many sidecars report.
//
// A sidecar with little traffic takes long to detect that a server fails, and each sidecar detects it only through requests
// that fail. So the sidecars exchange their observations, and each evaluates the statements of all. A single sidecar that is
// faulty, partitioned or malicious must neither cause a verdict nor prevent one.
//
// The package is pure: it has no clock and no I/O, and the same statements lead to the same verdicts in whatever order they
// arrive. An Aggregate must not be used by several goroutines concurrently.
//
// # Terms
//
//   - A verdict of one sidecar says how one server process fails (its Kind), according to that sidecar's own observations.
//   - A report contains all verdicts of one sidecar at a given time. A statement is a report with its origin and age.
//   - A witness is an origin whose current report has a verdict on a process. It either condemns the process or was served by it.
//
// # Invariants
//
// They hold even if statements are reordered, duplicated or lost (TestVerdictsHaveWitnesses and TestOneFalseOriginChangesNoVerdict check
// them on random statements):
//
//  1. A verdict needs 3 or more witnesses that are members, each with its latest statement, which is no older than the TTL. It
//     is based on faults that the witnesses observed themselves no longer than 8 s ago: 5 faults in total, counting at most 2
//     of each witness. The witnesses are from 2 or more zones, or all from the reader's own zone, or 3 of them are from the
//     server's zone, as they have the shortest path to it.
//  2. So one origin, whatever it states and about whatever zones, can neither cause a verdict that is not also supported by two
//     honest origins, nor prevent one that is supported by three others.
//  3. A witness that condemns more than 0.4 of the servers it uses, or more than half of those in one zone, is probably
//     partitioned itself, and is ignored altogether.
//  4. Faults older than the answers that 2 others got do not count. An answer to a single witness has no effect.
//  5. A verdict ends one TTL after the last statements of its witnesses, 8 s after the last fault that any of them observed, or
//     with the server's process. No message can end it earlier, except the next statements of the witnesses themselves.
package signals

import (
	"slices"
	"time"
)

// Kind is how a server fails, from the mildest to the worst kind, or that it serves. The values are on the wire.
type Kind uint8

// The kinds. Values above the last one come from a later version and are ignored.
const (
	None         Kind = iota
	Overloaded        // rejects requests
	Slow              // takes longer to answer than it should
	Failing           // answers with errors or accepts no connections
	Unresponsive      // does not answer
	Serving           // answers, although others report it as failing
)

// Process identifies one process of a server. A restarted server with the same id is a different process.
type Process struct {
	Server string
	Start  int64 // in any unit that all sidecars share; 0: unknown
}

// Verdict is one sidecar's own observation of a server. It never contains what the sidecar learned from others.
type Verdict struct {
	Process
	Zone  string        // the server's zone
	Kind  Kind          // how it fails
	Count int           // number of faults observed
	Age   time.Duration // time since the last fault
}

// ZoneUse is the number of servers of a zone that a sidecar uses.
type ZoneUse struct {
	Zone    string
	Servers int
}

// Report is everything that a sidecar reports. Each report is complete: servers that it does not name are not condemned.
type Report struct {
	Zone         string // the sidecar's zone
	TrafficLevel int    // the sidecar's Balancer.TrafficLevel; 0: unknown
	Uses         []ZoneUse
	Verdicts     []Verdict
}

// Statement is a report as received from a member.
type Statement struct {
	Origin string        // the member's name
	Start  int64         // identifies the member's process; a later process has a higher value
	Seq    uint64        // increases within a process
	Age    time.Duration // time since the report was created
	Report Report
}

// Bounds of a report and of an aggregate.
const (
	MaxVerdicts  = 12 // per report
	maxUses      = 16 // per report
	maxOrigins   = 4096
	maxTextBytes = 64 // of a server id or a zone
)

// sanitize returns the report reduced to the bounds, with at most one verdict per process, only known kinds, and one use per
// zone.
func sanitize(r Report) Report {
	clean := Report{Zone: r.Zone[:min(len(r.Zone), maxTextBytes)], TrafficLevel: r.TrafficLevel}
	for _, use := range r.Uses[:min(len(r.Uses), maxUses)] {
		if !slices.ContainsFunc(clean.Uses, func(u ZoneUse) bool { return u.Zone == use.Zone }) {
			clean.Uses = append(clean.Uses, ZoneUse{use.Zone, max(use.Servers, 0)})
		}
	}
	for _, verdict := range r.Verdicts[:min(len(r.Verdicts), MaxVerdicts)] {
		if !verdict.isKnown() || clean.hasVerdictOn(verdict.Process) {
			continue
		}
		verdict.Age = max(verdict.Age, 0)
		verdict.Count = max(verdict.Count, 0)
		clean.Verdicts = append(clean.Verdicts, verdict)
	}
	return clean
}

func (v Verdict) isKnown() bool {
	return v.Kind > None && v.Kind <= Serving && len(v.Server) <= maxTextBytes
}

func (r Report) hasVerdictOn(process Process) bool {
	return slices.ContainsFunc(r.Verdicts, func(v Verdict) bool { return v.Process == process })
}
