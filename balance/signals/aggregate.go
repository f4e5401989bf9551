package signals

import (
	"cmp"
	"time"
)

// Aggregate holds what each member last stated. NewAggregate makes one.
type Aggregate struct {
	Zone       string        // the reader's
	TTL        time.Duration // what was stated longer ago counts for nothing
	statements map[string]storedStatement
	counts     map[Process]WitnessCount // as of the last Evaluate
}

// WitnessCount is how many witnesses condemn a process, and how many it served.
type WitnessCount struct {
	Condemning int
	Served     int
}

// storedStatement is what an origin last stated, and when.
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

// IsEmpty tells whether no statement is held.
func (a *Aggregate) IsEmpty() bool { return len(a.statements) == 0 }

// Receive takes in a statement if it is newer than what its origin stated before. One of a new origin is ignored where there
// are too many.
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
	case order == 0: // a duplicate that seems younger than the first must not have it live longer
		previous.madeAt = min(previous.madeAt, madeAt)
		a.statements[received.Origin] = previous
	}
}

func (a *Aggregate) store(s Statement, madeAt time.Duration) {
	a.statements[s.Origin] = storedStatement{Report: sanitized(s.Report), start: s.Start, seq: s.Seq, madeAt: madeAt}
}

// Remove notes that an origin is no member any more.
func (a *Aggregate) Remove(origin string) { delete(a.statements, origin) }

// Witnesses counts those that had a verdict on a process at the last Evaluate.
func (a *Aggregate) Witnesses(p Process) WitnessCount { return a.counts[p] }

// WellWitnessed tells whether twice as many witnesses as are needed agreed with a kind of verdict at the last Evaluate: that a
// process fails, or serves.
func (a *Aggregate) WellWitnessed(p Process, kind Kind) bool {
	if kind == Serving {
		return a.counts[p].Served >= 2*minServed
	}
	return a.counts[p].Condemning >= 2*minWitnesses
}
