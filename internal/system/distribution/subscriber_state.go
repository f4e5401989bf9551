package distribution

import (
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
)

// stateReplica is a proxy's replica of the control state. The subscriber's mu guards it.
type stateReplica struct {
	state         *controlstate.State
	resync        bool // a record did not apply: request a snapshot
	fromNeighbour bool // the state came from a neighbour while no control-plane node could be reached
}

func newStateReplica() stateReplica {
	return stateReplica{state: controlstate.Empty().WithoutHistory()}
}

// position returns this replica's position in the control state.
func (r *stateReplica) position() catchup.Position {
	return catchup.Position{Seq: r.state.Seq, Resync: r.resync}
}

// set replaces the state. The sequence number never decreases.
func (r *stateReplica) set(next *controlstate.State) {
	controlStateMonotonic.Check(next.Seq >= r.state.Seq)
	r.state = next
}

// offerFromReply returns the offer of control state in a reply. The snapshot's number is filled in when the snapshot has been decoded.
func offerFromReply(reply *distributionpb.FollowReply, age time.Duration) catchup.Offer {
	offer := catchup.Offer{Current: reply.GetCurrent(), Newest: reply.GetNewest(), Age: age}
	if records := reply.GetRecords(); len(records) > 0 {
		offer.First, offer.Last = records[0].GetSeq(), records[len(records)-1].GetSeq()
	}
	return offer
}

// apply applies the newer part of a reply's snapshot and records, so that a proxy never goes back, and reports whether the state
// advanced.
func (r *stateReplica) apply(logger log.Interface, offer catchup.Offer, reply *distributionpb.FollowReply) (advanced bool) {
	before := r.state.Seq
	var snapshot *controlstate.State
	if encoded := reply.GetSnapshot(); len(encoded) > 0 {
		var err error
		if snapshot, err = decodeSnapshot(encoded, reply.GetSnapshotDeflated()); err != nil {
			logger.WithError(err).Warn("distribution: a snapshot of the control state cannot be decoded")
			return false
		}
		offer.Snapshot = snapshot.Seq
	}
	step := r.position().Plan(offer)
	if step.Snapshot {
		r.set(snapshot)
	}
	if snapshot != nil {
		r.resync = false
	}
	if step.First > 0 {
		r.applyRecords(logger, step.First, reply.GetRecords())
	}
	return r.state.Seq != before
}

// applyRecords applies the records from first on, up to the first one that does not apply.
func (r *stateReplica) applyRecords(logger log.Interface, first uint64, records []*distributionpb.Record) {
	for _, record := range records {
		if record.GetSeq() < first {
			continue
		}
		next, err := applyRecord(r.state, record)
		if err != nil {
			logger.WithError(err).WithField("seq", record.GetSeq()).Warn("distribution: a record does not apply; asking for a snapshot")
			r.resync = true
			return
		}
		r.set(next)
	}
}

func decodeSnapshot(encoded []byte, deflated bool) (*controlstate.State, error) {
	expanded, err := rpc.Expand(encoded, deflated)
	if err != nil {
		return nil, err
	}
	state, err := controlstate.Decode(expanded)
	return state, errors.Wrap(err, "distribution: a snapshot cannot be read: run the same version on control-plane nodes and proxies")
}

func applyRecord(state *controlstate.State, record *distributionpb.Record) (*controlstate.State, error) {
	body, err := rpc.Expand(record.GetBody(), record.GetDeflated())
	if err != nil {
		return nil, err
	}
	return state.Apply(controlstate.Record{Seq: record.GetSeq(), Op: controlstate.Op(record.GetOp()), Base: record.GetBase(), Body: body,
		Zone: record.GetZone()})
}
