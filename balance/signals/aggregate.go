package signals

import (
	"cmp"
	"time"
)

// Aggregate stores the latest statement of each member. Use NewAggregate to create one.
type Aggregate struct {
	Zone       string        // the reader's zone
	TTL        time.Duration // older statements are ignored
	statements map[string]storedStatement
	counts     map[Process]WitnessCount // as of the last Evaluate
}

// WitnessCount is the number of witnesses that condemn a process, and the number that it served.
type WitnessCount struct {
	Condemning int
	Served     int
}

// storedStatement is the latest statement of an origin.
type storedStatement struct {
	Report
	start  int64
	seq    uint64
	madeAt time.Duration
}

// NewAggregate returns an empty aggregate for a reader in a zone.
func NewAggregate(zone string, ttl time.Duration) *Aggregate {
	return &Aggregate{Zone: zone, TTL: ttl, statements: map[string]storedStatement{}}
}

// IsEmpty reports whether no statement is stored.
func (a *Aggregate) IsEmpty() bool { return len(a.statements) == 0 }

// Receive stores a statement if it is newer than the previous one of its origin. Statements of new origins are ignored if
// there are already too many origins.
func (a *Aggregate) Receive(received Statement, now time.Duration) {
	madeAt := now - received.Age
	previous, known := a.statements[received.Origin]
	if !known {
		if len(a.statements) < maxOrigins {
			a.store(received, madeAt)
		}
		return
	}
	switch order := cmp.Or(cmp.Compare(received.Start, previous.start), cmp.Compare(received.Seq, previous.seq)); {
	case order > 0:
		a.store(received, madeAt)
	case order == 0: // a duplicate that seems younger than the stored statement must not extend its lifetime
		previous.madeAt = min(previous.madeAt, madeAt)
		a.statements[received.Origin] = previous
	}
}

func (a *Aggregate) store(s Statement, madeAt time.Duration) {
	a.statements[s.Origin] = storedStatement{Report: sanitize(s.Report), start: s.Start, seq: s.Seq, madeAt: madeAt}
}

// Remove removes the statement of an origin that is no longer a member.
func (a *Aggregate) Remove(origin string) { delete(a.statements, origin) }

// Witnesses returns the number of witnesses that had a verdict on a process at the last Evaluate.
func (a *Aggregate) Witnesses(p Process) WitnessCount { return a.counts[p] }

// WellWitnessed reports whether, at the last Evaluate, twice as many witnesses as needed agreed that a process serves, if kind
// is Serving, or that it fails, for any other kind.
func (a *Aggregate) WellWitnessed(p Process, kind Kind) bool {
	if kind == Serving {
		return a.counts[p].Served >= 2*minServed
	}
	return a.counts[p].Condemning >= 2*minWitnesses
}
