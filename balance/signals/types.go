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
	None     Kind = iota
	Full          // turns requests away
	Slow          // owes answers for longer than it should
	Refusing      // answers with errors, or takes no connection
	Silent        // does not answer
	Serves        // answers, though others say that it fails
)

// Subject is one process of a server. A successor under the same id is another subject.
type Subject struct {
	Server string
	Start  int64 // of the process, in any unit that all sidecars share; 0: not known
}

// Verdict is what one sidecar saw of a server itself. What it was told by others is none.
type Verdict struct {
	Subject
	Room  string        // the server's
	Kind  Kind          // how it fails
	Count int           // faults seen
	Age   time.Duration // since the last of them
}

// Use is how many servers of a room a sidecar uses.
type Use struct {
	Room    string
	Servers int
}

// Report is all that a sidecar has to say. Each one stands for itself: a server that it does not name is not condemned.
type Report struct {
	Room     string // the sidecar's
	Level    int    // of its traffic, as the balancer counts it; 0: not known
	Uses     []Use
	Verdicts []Verdict
}

// The bounds of a report and of a book.
const (
	MostVerdicts = 12
	mostUses     = 16
	mostOrigins  = 4096
	mostText     = 64 // bytes of a server's id, or of a room
)

// Book holds what each member last said. The zero value with a Room and Bound is ready.
type Book struct {
	Room  string        // the reader's
	Bound time.Duration // what was said longer ago counts for nothing
	said  map[string]statement
	loud  map[Subject][2]int // how many condemned it, and how many it served, when last judged
}

// NewBook returns a book for a reader in a room.
func NewBook(room string, bound time.Duration) *Book {
	return &Book{Room: room, Bound: bound, said: map[string]statement{}}
}

// Empty tells whether there is nothing to judge by.
func (b *Book) Empty() bool { return len(b.said) == 0 }

// statement is what an origin last said, and when.
type statement struct {
	Report
	start int64
	seq   uint64
	at    time.Duration
}

// Told takes in what an origin said, if it is newer than what it said before. Age is how old that was at now.
func (b *Book) Told(origin string, start int64, seq uint64, age time.Duration, r Report, now time.Duration) {
	said, known := b.said[origin]
	switch order := cmp.Or(cmp.Compare(start, said.start), cmp.Compare(seq, said.seq)); {
	case known && order < 0 || !known && len(b.said) >= mostOrigins: // heard already, or over the bound
	case known && order == 0:
		// Danger: a copy that seems younger than another would have it live longer.
		said.at = min(said.at, now-age)
		b.said[origin] = said
	default:
		b.said[origin] = statement{sane(r), start, seq, now - age}
	}
}

// Loud tells whether twice as many as are needed spoke of a subject as a kind does when it was last judged.
func (b *Book) Loud(s Subject, kind Kind) bool {
	if kind == Serves {
		return b.loud[s][1] >= 2*leastServed
	}
	return b.loud[s][0] >= 2*leastWitnesses
}

// Heard tells how many condemned a subject, and how many it served, when it was last judged.
func (b *Book) Heard(s Subject) (fails, serves int) { return b.loud[s][0], b.loud[s][1] }

// Gone takes in that an origin is no member any more.
func (b *Book) Gone(origin string) { delete(b.said, origin) }

// witness is what one origin says of one subject, and the room it says it from.
type witness struct {
	kind  Kind
	room  string
	of    string // the server's room
	count int
	age   time.Duration
}

// sane is a report within the bounds, with one verdict on each subject, of known kinds, on rooms that it uses once each.
func sane(r Report) Report {
	var s Report
	s.Room, s.Level = r.Room[:min(len(r.Room), mostText)], r.Level
	for _, u := range r.Uses[:min(len(r.Uses), mostUses)] {
		if !slices.ContainsFunc(s.Uses, func(x Use) bool { return x.Room == u.Room }) {
			s.Uses = append(s.Uses, Use{u.Room, max(u.Servers, 0)})
		}
	}
	for _, v := range r.Verdicts[:min(len(r.Verdicts), MostVerdicts)] {
		known := v.Kind > None && v.Kind <= Serves && len(v.Server) <= mostText
		if known && !slices.ContainsFunc(s.Verdicts, func(x Verdict) bool { return x.Subject == v.Subject }) {
			v.Age, v.Count = max(v.Age, 0), max(v.Count, 0)
			s.Verdicts = append(s.Verdicts, v)
		}
	}
	return s
}
