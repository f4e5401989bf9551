package distribution

import "time"

// The decisions of delivery, in numbers only: what a hub answers to a cursor and what a follower makes of a reply. They do
// no input or output and read no clock, so that a simulation can run the very same rules as the processes do.

const (
	// FreshnessTTL is how long a current keeper's word counts, from the moment that the follower can prove it was given:
	// the longest wait of a poll, the silence that is borne beyond it, and some.
	FreshnessTTL = 1600 * time.Millisecond

	// MaxReplyBytes bounds the bodies of the records in one answer, before compression. More go out as one snapshot; a
	// record that comes alone may be larger.
	MaxReplyBytes = 1 << 20
)

// Availability is what a hub could send to a follower that asks for what comes after a number.
type Availability struct {
	Committed            uint64 // number of the newest record known to be committed
	Known                bool   // the records between the number asked for and Committed are at hand
	Records              int    // how many these are
	Bytes                int    // of their bodies
	CachedSnapshot       uint64 // number of the encoded snapshot that is at hand; 0: none
	CachedSnapshotUsable bool   // the records after that snapshot fit into the same answer, or it was made a moment ago
}

// CatchUp is a way to bring a follower further.
type CatchUp int

// The ways to feed a follower.
const (
	CatchUpNone           CatchUp = iota // it holds all that is committed here
	CatchUpRecords                       // all records that it lacks
	CatchUpCachedSnapshot                // the snapshot at hand, and the records after it where they fit
	CatchUpNewSnapshot                   // a snapshot made now
)

// PlanCatchUp decides how a follower that asks for what comes after the number after is fed. most bounds the records of one
// answer. Whatever is planned brings the follower further, and no answer is larger than MaxReplyBytes and one snapshot.
func PlanCatchUp(after uint64, s Availability, most int) CatchUp {
	switch {
	case s.Committed <= after:
		return CatchUpNone
	case after > 0 && s.Known && (s.Records == 1 || s.Records <= most && s.Bytes <= MaxReplyBytes):
		return CatchUpRecords
	case s.CachedSnapshotUsable && s.CachedSnapshot > after:
		return CatchUpCachedSnapshot
	}
	return CatchUpNewSnapshot
}

// Offer is what a reply says of the control state.
type Offer struct {
	Current     bool   // the keeper had the word of a majority that nothing newer than what it knows was acknowledged
	Newest      uint64 // number of the newest committed record that it knew
	Snapshot    uint64 // number of the snapshot that the reply brings; 0: none
	First, Last uint64 // numbers of the records that it brings after that; 0: none

	// Age is how long ago the keeper asked for that word, at the most: by the follower's clock from when it sent the
	// request, less the time that the keeper waited before it asked. Time spent in buffers, cuts and stopped processes
	// is part of it, on both ways and at both ends.
	Age time.Duration
}

// Expired tells whether the reply is too old to say anything of now. Its records still count, since they are numbered and
// committed; its soft state does not.
func (o Offer) Expired() bool { return o.Age > FreshnessTTL }

// Position is how far a follower is in the control state.
type Position struct {
	Seq    uint64 // number of the newest record that it holds
	Resync bool   // a record did not apply: nothing but a snapshot helps
}

// Ask gives the number to ask a keeper from; 0 asks for a snapshot.
func (p Position) Ask() uint64 {
	if p.Resync {
		return 0
	}
	return p.Seq
}

// Step is what a follower does with an offer.
type Step struct {
	Snapshot bool   // take the snapshot over
	First    uint64 // and then apply the records from this number on; 0: none
}

// Plan tells what to take of an offer: only what is newer, and of records only those that go on from what is held then.
func (p Position) Plan(o Offer) Step {
	var s Step
	held := p.Seq
	if o.Snapshot > held || p.Resync && o.Snapshot == held && held > 0 {
		s.Snapshot, held = true, o.Snapshot
	}
	if o.First > 0 && o.First <= held+1 && o.Last > held && (!p.Resync || s.Snapshot) {
		s.First = held + 1
	}
	return s
}

// ProvesFreshness tells whether an offer, once its step is done and the position is p, shows that p is as new as anything that had
// been acknowledged Age ago.
func (p Position) ProvesFreshness(o Offer) bool {
	return o.Current && !o.Expired() && !p.Resync && p.Seq >= o.Newest
}
