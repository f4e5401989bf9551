// Package signals makes verdicts on servers of what many sidecars say that they saw. It is pure: no clock, no I/O, and the
// same news gives the same verdicts in whatever order it comes. A Book must not be used by two goroutines at once.
//
// Promises, whatever order, repeats and losses news comes in:
//
//  1. A verdict stands on 3 or more origins that are members, each with what it last said, no older than the bound, on faults
//     of its own no older than 8 s, 5 in all, at most 2 of each counted; from 2 or more rooms, or all from the reader's own, or
//     all from the server's, who have the shortest way to it.
//  2. So one origin, whatever it says, and of whatever rooms, neither makes a verdict that two sound ones would not be part
//     of, nor takes one away that rests on three others.
//  3. A witness that condemns over 0.4 of what it uses, or over half of one room, is likely cut off: it counts nowhere.
//  4. Faults count for nothing that are older than the answers that 2 others had; the word of one takes nothing away.
//  5. A verdict is over a bound after its witnesses fall silent, 8 s after the last fault that any of them saw, or with the
//     server's process. No message ends it but what its witnesses themselves say next.
package signals

import (
	"cmp"
	"slices"
	"time"
)

// Kind is how a server fails, from the mildest to the worst, or that it does not.
type Kind uint8

// The kinds. One beyond the last comes from a later version, and counts for nothing.
const (
	None         Kind = iota
	Overloaded        // turns requests away
	Slow              // owes answers for longer than it should
	Failing           // answers with errors, or takes no connection
	Unresponsive      // does not answer
	Serving           // answers, though others say that it fails
)

// Process is one process of a server. A successor under the same id is another subject.
type Process struct {
	Server string
	Start  int64 // of the process, in any unit that all sidecars share; 0: not known
}

// Verdict is what one sidecar saw of a server itself. What it was told by others is none.
type Verdict struct {
	Process
	Zone  string        // the server's
	Kind  Kind          // how it fails
	Count int           // faults seen
	Age   time.Duration // since the last of them
}

// ZoneUse is how many servers of a room a sidecar uses.
type ZoneUse struct {
	Zone    string
	Servers int
}

// Report is all that a sidecar has to say. Each one stands for itself: a server that it does not name is not condemned.
type Report struct {
	Zone         string // the sidecar's
	TrafficLevel int    // of its traffic, as the balancer counts it; 0: not known
	Uses         []ZoneUse
	Verdicts     []Verdict
}

// The bounds of a report and of a book.
const (
	MaxVerdicts  = 12
	maxUses      = 16
	maxOrigins   = 4096
	maxTextBytes = 64 // bytes of a server's id, or of a room
)

// Aggregate holds what each member last said. The zero value with a Room and Bound is ready.
type Aggregate struct {
	Zone       string        // the reader's
	TTL        time.Duration // what was said longer ago counts for nothing
	statements map[string]statement
	counts     map[Process][2]int // how many condemned it, and how many it served, when last judged
}

// NewAggregate returns a book for a reader in a room.
func NewAggregate(room string, bound time.Duration) *Aggregate {
	return &Aggregate{Zone: room, TTL: bound, statements: map[string]statement{}}
}

// IsEmpty tells whether there is nothing to judge by.
func (b *Aggregate) IsEmpty() bool { return len(b.statements) == 0 }

// statement is what an origin last said, and when.
type statement struct {
	Report
	start  int64
	seq    uint64
	madeAt time.Duration
}

// Receive takes in what an origin said, if it is newer than what it said before. Age is how old that was at now.
func (b *Aggregate) Receive(origin string, start int64, seq uint64, age time.Duration, r Report, now time.Duration) {
	said, known := b.statements[origin]
	switch order := cmp.Or(cmp.Compare(start, said.start), cmp.Compare(seq, said.seq)); {
	case known && order < 0 || !known && len(b.statements) >= maxOrigins: // heard already, or over the bound
	case known && order == 0:
		// Danger: a copy that seems younger than another would have it live longer.
		said.madeAt = min(said.madeAt, now-age)
		b.statements[origin] = said
	default:
		b.statements[origin] = statement{sanitized(r), start, seq, now - age}
	}
}

// WellWitnessed tells whether twice as many as are needed spoke of a subject as a kind does when it was last judged.
func (b *Aggregate) WellWitnessed(s Process, kind Kind) bool {
	if kind == Serving {
		return b.counts[s][1] >= 2*minServed
	}
	return b.counts[s][0] >= 2*minWitnesses
}

// Witnesses tells how many condemned a subject, and how many it served, when it was last judged.
func (b *Aggregate) Witnesses(s Process) (fails, serves int) { return b.counts[s][0], b.counts[s][1] }

// Remove takes in that an origin is no member any more.
func (b *Aggregate) Remove(origin string) { delete(b.statements, origin) }

// witness is what one origin says of one subject, and the room it says it from.
type witness struct {
	kind       Kind
	zone       string
	serverZone string // the server's room
	count      int
	age        time.Duration
}

// sanitized is a report within the bounds, with one verdict on each subject, of known kinds, on rooms that it uses once each.
func sanitized(r Report) Report {
	var s Report
	s.Zone, s.TrafficLevel = r.Zone[:min(len(r.Zone), maxTextBytes)], r.TrafficLevel
	for _, u := range r.Uses[:min(len(r.Uses), maxUses)] {
		if !slices.ContainsFunc(s.Uses, func(x ZoneUse) bool { return x.Zone == u.Zone }) {
			s.Uses = append(s.Uses, ZoneUse{u.Zone, max(u.Servers, 0)})
		}
	}
	for _, v := range r.Verdicts[:min(len(r.Verdicts), MaxVerdicts)] {
		known := v.Kind > None && v.Kind <= Serving && len(v.Server) <= maxTextBytes
		if known && !slices.ContainsFunc(s.Verdicts, func(x Verdict) bool { return x.Process == v.Process }) {
			v.Age, v.Count = max(v.Age, 0), max(v.Count, 0)
			s.Verdicts = append(s.Verdicts, v)
		}
	}
	return s
}
