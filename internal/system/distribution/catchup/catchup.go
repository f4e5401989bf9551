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
//     method ends at a number above it, also where PlanSnapshot chooses between the two snapshots.
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
	// FreshnessTTL is how long a server's statement that it is current counts, from the moment that the subscriber can prove it was made:
	// the longest wait of a poll, the idle time that is tolerated beyond it, and some.
	FreshnessTTL = 1600 * time.Millisecond

	// MaxReplyBytes bounds the bodies of the records in one reply, before compression. More are sent as one snapshot; a
	// record that comes alone may be larger.
	MaxReplyBytes = 1 << 20
)

// Availability is what a server could send to a subscriber that asks for what comes after a number.
type Availability struct {
	Committed            uint64 // number of the newest record known to be committed
	Known                bool   // the server has the records between the number asked for and Committed
	Records              int    // how many these are
	Bytes                int    // of their bodies
	CachedSnapshot       uint64 // number of the encoded snapshot that the server has; 0: none
	CachedSnapshotUsable bool   // the records after that snapshot fit into the same reply, or it was made a moment ago: see PlanSnapshot
}

// Method is a way to bring a subscriber further.
type Method int

// The methods.
const (
	None           Method = iota // the subscriber has all that is committed here
	Records                      // all records that it lacks
	CachedSnapshot               // the encoded snapshot, and the records after it where they fit
	NewSnapshot                  // a snapshot made now
)

// PlanReply decides how a subscriber that asks for what comes after a number catches up. maxRecords bounds the records of one reply.
// Every method but None brings the subscriber further, and no reply is larger than MaxReplyBytes and one snapshot.
func PlanReply(after uint64, available Availability, maxRecords int) Method {
	switch {
	case available.Committed <= after:
		return None
	case after > 0 && available.recordsFit(maxRecords):
		return Records
	case available.cachedSnapshotHelps(after):
		return CachedSnapshot
	}
	return NewSnapshot
}

// PlanSnapshot decides which snapshot goes to a subscriber that asks for what comes after a number, and that records alone do not
// bring up to date. In afterCached, the records are those after the cached snapshot, not those after the number; madeLately says
// that the cached snapshot is so new that it is sent even where the records after it do not fit. The method is CachedSnapshot or
// NewSnapshot; withRecords reports whether the records after the cached snapshot go into the same reply.
func PlanSnapshot(after uint64, afterCached Availability, madeLately bool, maxRecords int) (method Method, withRecords bool) {
	isNewest := afterCached.CachedSnapshot == afterCached.Committed
	withRecords = isNewest || afterCached.recordsFitBesideSnapshot(maxRecords)
	afterCached.CachedSnapshotUsable = afterCached.CachedSnapshot > 0 && (withRecords || madeLately)
	if !afterCached.cachedSnapshotHelps(after) {
		return NewSnapshot, false
	}
	return CachedSnapshot, withRecords
}

// cachedSnapshotHelps reports whether the cached snapshot brings a subscriber further that has what comes up to a number.
func (a Availability) cachedSnapshotHelps(after uint64) bool {
	return a.CachedSnapshotUsable && a.CachedSnapshot > after
}

// recordsFit reports whether one reply has room for the records asked for; a single one may be of any size, as it would otherwise
// never be sent as a record.
func (a Availability) recordsFit(maxRecords int) bool {
	return a.Known && a.Records == 1 || a.recordsFitBesideSnapshot(maxRecords)
}

// recordsFitBesideSnapshot reports whether one reply has room for a snapshot and the records. A single one is bounded as well: the
// reply has a snapshot already, and the record can follow in the next reply.
func (a Availability) recordsFitBesideSnapshot(maxRecords int) bool {
	return a.Known && a.Records <= maxRecords && a.Bytes <= MaxReplyBytes
}

// Offer is what a reply says of the control state.
type Offer struct {
	Current     bool   // a majority had confirmed to the server that nothing newer than what it knows was acknowledged
	Newest      uint64 // number of the newest committed record that it knew
	Snapshot    uint64 // number of the snapshot that the reply brings; 0: none
	First, Last uint64 // numbers of the records that it brings after that; 0: none

	// Age is how long ago the server looked whether it is current, at the most: by the subscriber's clock from when it sent the
	// request, less the time that the server waited before it looked. Time spent in buffers, partitions and paused processes
	// is part of it, on both ways and at both ends.
	Age time.Duration
}

// Expired reports whether the reply is too old to say anything of now. Its records still count, since they are numbered and
// committed; its soft state does not.
func (o Offer) Expired() bool { return o.Age > FreshnessTTL }

// Position is how far a subscriber is in the control state.
type Position struct {
	Seq    uint64 // number of the newest record that it has applied
	Resync bool   // a record did not apply: nothing but a snapshot helps
}

// Ask returns the number to ask a server from; 0 asks for a snapshot.
func (p Position) Ask() uint64 {
	if p.Resync {
		return 0
	}
	return p.Seq
}

// Step is what a subscriber does with an offer.
type Step struct {
	Snapshot bool   // replace the state by the snapshot
	First    uint64 // and then apply the records from this number on; 0: none
}

// Plan decides what to take of an offer: only what is newer, and of records only those that continue what is applied then.
func (p Position) Plan(offer Offer) Step {
	var step Step
	seq := p.Seq
	repairs := p.Resync && offer.Snapshot == seq && seq > 0
	if offer.Snapshot > seq || repairs {
		step.Snapshot, seq = true, offer.Snapshot
	}
	continues := offer.First > 0 && offer.First <= seq+1 && offer.Last > seq
	if continues && (!p.Resync || step.Snapshot) {
		step.First = seq + 1
	}
	return step
}

// ProvesFreshness reports whether an offer, once its step is done and the position is p, shows that p is as new as anything that had
// been acknowledged Age ago.
func (p Position) ProvesFreshness(offer Offer) bool {
	return offer.Current && !offer.Expired() && !p.Resync && p.Seq >= offer.Newest
}
