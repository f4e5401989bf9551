// Package catchup decides how a subscriber gets the part of the control state that it lacks.
//
// The problem: a server that holds a log of numbered, committed records and a subscriber that holds a prefix of it exchange messages
// that may be lost, duplicated, delayed by tens of seconds, or answered by a server that is itself behind. The subscriber must reach the
// newest state in few bytes, must never go back, and must know when it is as new as the control plane.
//
// The terms: a subscriber's Position is the number of the newest record that it has applied. An Availability is what a server could
// send after a position, a Method is how it sends it, an Offer is what a reply contains, and a Step is what the subscriber applies of an
// offer.
//
// The invariants:
//
//   - A position never goes back within one incarnation. Proof: Position.Plan takes a snapshot only if its number is above the
//     position, or equal to it after a record that did not apply, and records only from position+1 on; the resulting number is at
//     least the position in each case.
//   - Every plan makes progress: PlanReply chooses None only if nothing is committed after the position, and each other method ends at
//     a number above it, also where PlanSnapshot chooses between the two snapshots.
//   - A subscriber that ProvesFreshness was, at most FreshnessTTL ago by its own monotonic clock, as new as anything that had been
//     acknowledged. Proof: the server checked whether it is current before it read its state, and no earlier than Offer.Age ago, so
//     whatever was acknowledged before that check has a number of at most Offer.Newest, and the position is at least that. No clock is
//     shared: Age is measured by the subscriber alone, from when it sent the request.
//
// The functions are pure: they read no clock and do no I/O, so a simulation runs the same rules as the processes. Catching up by log or
// by snapshot is as in Raft (Ongaro, Ousterhout 2014, section 7); acknowledged versions are as in xDS.
package catchup

import "time"

const (
	// FreshnessTTL is how long a server's statement that it is current is valid, from the earliest time at which the server may have made
	// it: the longest wait of a poll, the idle time that is tolerated beyond it, and a margin.
	FreshnessTTL = 1600 * time.Millisecond

	// MaxReplyBytes bounds the total size of the record bodies in one reply, before compression. More are sent as one snapshot; a single
	// record may be larger.
	MaxReplyBytes = 1 << 20
)

// Availability describes what a server could send to a subscriber that asks for the records after a number.
type Availability struct {
	Committed            uint64 // number of the newest record known to be committed
	Known                bool   // the server has the records from the requested number to Committed
	Records              int    // number of these records
	Bytes                int    // total size of their bodies
	CachedSnapshot       uint64 // number of the encoded snapshot that the server has; 0: none
	CachedSnapshotUsable bool   // the records after that snapshot fit into the same reply, or it is recent; see PlanSnapshot
}

// Method is a way to bring a subscriber up to date.
type Method int

// The methods.
const (
	None           Method = iota // the subscriber has all that is committed here
	Records                      // all records that the subscriber lacks
	CachedSnapshot               // the encoded snapshot, and the records after it if they fit
	NewSnapshot                  // a snapshot encoded now
)

// PlanReply decides how a subscriber that has the records up to after catches up. maxRecords bounds the records of one reply. Every
// method but None advances the subscriber, and no reply is larger than MaxReplyBytes and one snapshot.
func PlanReply(after uint64, available Availability, maxRecords int) Method {
	switch {
	case available.Committed <= after:
		return None
	case after > 0 && available.recordsFit(maxRecords):
		return Records
	case available.cachedSnapshotAdvances(after):
		return CachedSnapshot
	}
	return NewSnapshot
}

// PlanSnapshot decides which snapshot to send to a subscriber that has the records up to after and that records alone do not bring up to
// date. In afterCached, the records are those after the cached snapshot, not those after the number. isRecent states that the cached
// snapshot is so recent that it is sent even if the records after it do not fit. The method is CachedSnapshot or NewSnapshot; withRecords
// reports whether the records after the cached snapshot go into the same reply.
func PlanSnapshot(after uint64, afterCached Availability, isRecent bool, maxRecords int) (method Method, withRecords bool) {
	isNewest := afterCached.CachedSnapshot == afterCached.Committed
	withRecords = isNewest || afterCached.recordsFitWithSnapshot(maxRecords)
	afterCached.CachedSnapshotUsable = afterCached.CachedSnapshot > 0 && (withRecords || isRecent)
	if !afterCached.cachedSnapshotAdvances(after) {
		return NewSnapshot, false
	}
	return CachedSnapshot, withRecords
}

// cachedSnapshotAdvances reports whether the cached snapshot advances a subscriber that has the records up to after.
func (a Availability) cachedSnapshotAdvances(after uint64) bool {
	return a.CachedSnapshotUsable && a.CachedSnapshot > after
}

// recordsFit reports whether the requested records fit into one reply. A single record may be of any size, as it would otherwise never be
// sent as a record.
func (a Availability) recordsFit(maxRecords int) bool {
	return a.Known && a.Records == 1 || a.recordsFitWithSnapshot(maxRecords)
}

// recordsFitWithSnapshot reports whether the records fit into one reply together with a snapshot. Here a single record is bounded as
// well: the reply already has a snapshot, and the record can follow in the next reply.
func (a Availability) recordsFitWithSnapshot(maxRecords int) bool {
	return a.Known && a.Records <= maxRecords && a.Bytes <= MaxReplyBytes
}

// Offer is what a reply contains and states of the control state.
type Offer struct {
	Current     bool   // a majority had confirmed to the server that nothing newer than its state was acknowledged
	Newest      uint64 // number of the newest committed record that the server knew
	Snapshot    uint64 // number of the snapshot in the reply; 0: none
	First, Last uint64 // numbers of the first and last record in the reply, after the snapshot; 0: none

	// Age is the maximum time since the server checked whether it is current: by the subscriber's clock since it sent the request, less
	// the time that the server waited before the check. It includes time spent in buffers, partitions and paused processes, in both
	// directions and at both ends.
	Age time.Duration
}

// Expired reports whether the reply is too old to prove anything about the present. Its records can still be applied, because they are
// numbered and committed; its soft state cannot.
func (o Offer) Expired() bool { return o.Age > FreshnessTTL }

// Position is a subscriber's progress in the control state.
type Position struct {
	Seq    uint64 // number of the newest record that it has applied
	Resync bool   // a record did not apply: only a snapshot helps
}

// Ask returns the number after which to request records; 0 requests a snapshot.
func (p Position) Ask() uint64 {
	if p.Resync {
		return 0
	}
	return p.Seq
}

// Step is what a subscriber applies of an offer.
type Step struct {
	Snapshot bool   // replace the state by the snapshot
	First    uint64 // then apply the records from this number on; 0: none
}

// Plan decides what to apply of an offer: a snapshot only if it is newer, and only records that continue the resulting state.
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

// ProvesFreshness reports whether an offer, after its step has been applied and the position is p, proves that p is as new as anything
// that had been acknowledged Age ago.
func (p Position) ProvesFreshness(offer Offer) bool {
	return offer.Current && !offer.Expired() && !p.Resync && p.Seq >= offer.Newest
}
