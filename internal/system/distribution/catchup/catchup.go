// Package catchup decides how a subscriber gets the part of the control state that it lacks.
//
// The problem: a server that holds a log of numbered, committed records and a subscriber that holds a prefix of it exchange messages
// that may be lost, repeated, late by tens of seconds or answered by a server that is itself behind. The subscriber must reach the
// newest state in few bytes, must never go back, and must know when it is as new as the control plane.
//
// The terms: a subscriber's Position is the number of the newest record that it has applied. An Availability is what a server could
// send after a position, a Method how it does so, an Offer what a reply brings, and a Step what the subscriber takes of an offer.
//
// The invariants:
//
//   - A position never goes back within one incarnation. Proof: Position.Plan takes a snapshot only if its number is above the
//     position, or equal to it after a record that did not apply, and records only from position+1 on; the number that results
//     is at least the position in each case.
//   - What is planned makes progress: PlanReply chooses None only if nothing is committed after the position, and each other
//     method ends at a number above it.
//   - A subscriber that ProvesFreshness was, at most FreshnessTTL ago by its own monotonic clock, as new as anything that had been
//     acknowledged. Proof: the server looked whether it is current before it read its state and no earlier than Offer.Age ago, so
//     whatever was acknowledged before that is numbered at most Offer.Newest, and the position is no lower. No clock is shared:
//     Age is measured by the subscriber alone, from when it sent the request.
//
// The functions are pure: they read no clock and do no input or output, so that a simulation runs the rules of the processes.
// Catching up by log or by snapshot is as in raft (Ongaro, Ousterhout 2014, section 7); acknowledged versions are as in xDS.
package catchup

import "time"

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

// Method is a way to bring a follower further.
type Method int

// The ways to feed a follower.
const (
	None           Method = iota // it holds all that is committed here
	Records                      // all records that it lacks
	CachedSnapshot               // the snapshot at hand, and the records after it where they fit
	NewSnapshot                  // a snapshot made now
)

// PlanReply decides how a follower that asks for what comes after the number after is fed. most bounds the records of one
// answer. Whatever is planned brings the follower further, and no answer is larger than MaxReplyBytes and one snapshot.
func PlanReply(after uint64, s Availability, most int) Method {
	switch {
	case s.Committed <= after:
		return None
	case after > 0 && s.Known && (s.Records == 1 || s.Records <= most && s.Bytes <= MaxReplyBytes):
		return Records
	case s.CachedSnapshotUsable && s.CachedSnapshot > after:
		return CachedSnapshot
	}
	return NewSnapshot
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
