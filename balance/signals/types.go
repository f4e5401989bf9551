// Package signals makes verdicts on servers of what many sidecars state that they saw.
//
// A sidecar with little traffic learns slowly that a server fails, and each learns it by requests that fail. So sidecars tell
// each other what they saw, and each evaluates what all have stated. One that is wrong, cut off or lying must neither make a
// verdict nor prevent one.
//
// The package is pure: it has no clock and no I/O, and the same statements give the same verdicts in whatever order they come.
// An Aggregate must not be used by two goroutines at once.
//
// # Terms
//
//   - A verdict of one sidecar says how one server process fails (its Kind), by what that sidecar saw itself.
//   - A report is all verdicts of one sidecar at a time. A statement is a report with its origin and age.
//   - A witness is an origin whose present report has a verdict on a process. It condemns the process, or was served by it.
//
// # Invariants
//
// They hold whatever the order, duplicates and losses of statements (TestVerdictsHaveWitnesses and TestOneLiarMovesNothing draw them):
//
//  1. A verdict rests on 3 or more origins that are members, each with its latest statement, no older than the TTL, on faults
//     that the origin saw itself no longer than 8 s ago, 5 in all, at most 2 of each counted; from 2 or more zones, or all from
//     the reader's own, or 3 from the server's, who have the shortest way to it.
//  2. So one origin, whatever it states, and of whatever zones, neither makes a verdict that two sound ones would not be part
//     of, nor prevents one that rests on three others.
//  3. A witness that condemns over 0.4 of what it uses, or over half of one zone, is likely cut off: it counts nowhere.
//  4. Faults count for nothing that are older than the answers that 2 others had; the word of one takes nothing away.
//  5. A verdict ends a TTL after its witnesses fall silent, 8 s after the last fault that any of them saw, or with the server's
//     process. No message ends it but what its witnesses themselves state next.
package signals

import (
	"slices"
	"time"
)

// Kind is how a server fails, from the mildest to the worst, or that it does not. Its numbers are on the wire.
type Kind uint8

// The kinds. One beyond the last comes from a later version, and counts for nothing.
const (
	None         Kind = iota
	Overloaded        // rejects requests
	Slow              // owes answers for longer than it should
	Failing           // answers with errors, or accepts no connection
	Unresponsive      // does not answer
	Serving           // answers, though others state that it fails
)

// Process is one process of a server. Its successor under the same id is another one.
type Process struct {
	Server string
	Start  int64 // in any unit that all sidecars share; 0: not known
}

// Verdict is what one sidecar saw of a server itself. What it learned from others is none.
type Verdict struct {
	Process
	Zone  string        // the server's
	Kind  Kind          // how it fails
	Count int           // faults seen
	Age   time.Duration // since the last of them
}

// ZoneUse is how many servers of a zone a sidecar uses.
type ZoneUse struct {
	Zone    string
	Servers int
}

// Report is all that a sidecar states. Each one stands for itself: a server that it does not name is not condemned.
type Report struct {
	Zone         string // the sidecar's
	TrafficLevel int    // as the balancer counts it; 0: not known
	Uses         []ZoneUse
	Verdicts     []Verdict
}

// Statement is a report as it arrives from a member.
type Statement struct {
	Origin string        // the member's name
	Start  int64         // of its process: a later process has a higher one
	Seq    uint64        // rises within a process
	Age    time.Duration // since the report was made
	Report Report
}

// The bounds of a report and of an aggregate.
const (
	MaxVerdicts  = 12 // of a report
	maxUses      = 16 // of a report
	maxOrigins   = 4096
	maxTextBytes = 64 // of a server's id, or a zone
)

// sanitized is a report within the bounds, with one verdict on each process, of known kinds, and one use of each zone.
func sanitized(r Report) Report {
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
