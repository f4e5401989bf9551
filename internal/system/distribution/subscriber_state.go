package distribution

import (
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
)

// position is how far this proxy is. The caller holds mu.
func (f *Subscriber) position() catchup.Position {
	return catchup.Position{Seq: f.state.Seq, Resync: f.resync}
}

// offerFromReply reads what a reply says of the control state; the snapshot's number is known once it has been read.
func offerFromReply(reply *distributionpb.FollowReply, age time.Duration) catchup.Offer {
	o := catchup.Offer{Current: reply.GetCurrent(), Newest: reply.GetNewest(), Age: age}
	if records := reply.GetRecords(); len(records) > 0 {
		o.First, o.Last = records[0].GetSeq(), records[len(records)-1].GetSeq()
	}
	return o
}

// applyState takes what is newer of a snapshot and of records, so that a proxy never goes back. The caller holds mu.
func (f *Subscriber) applyState(offer catchup.Offer, reply *distributionpb.FollowReply) {
	var snapshot *controlstate.State
	if b := reply.GetSnapshot(); len(b) > 0 {
		var err error
		if snapshot, err = decodeSnapshot(b, reply.GetSnapshotDeflated()); err != nil {
			f.options.Log.WithError(err).Warn("distribution: a snapshot of the control state is not readable")
			return
		}
		offer.Snapshot = snapshot.Seq
	}
	step := f.position().Plan(offer)
	if step.Snapshot {
		f.setState(snapshot)
	}
	if snapshot != nil {
		f.resync = false
	}
	if step.First == 0 {
		return
	}
	for _, w := range reply.GetRecords() {
		if w.GetSeq() < step.First {
			continue
		}
		s, err := applyRecord(f.state, w)
		if err != nil {
			f.options.Log.WithError(err).WithField("seq", w.GetSeq()).Warn("distribution: a record does not apply; asking for a snapshot")
			f.resync = true
			return
		}
		f.setState(s)
	}
}

// setState takes a state in place of the one that is held. The caller holds mu.
func (f *Subscriber) setState(s *controlstate.State) {
	stateNeverGoesBack.Check(s.Seq >= f.state.Seq)
	f.state = s
}

func decodeSnapshot(b []byte, deflated bool) (*controlstate.State, error) {
	b, err := rpc.Expand(b, deflated)
	if err != nil {
		return nil, err
	}
	s, err := controlstate.Decode(b)
	return s, errors.Wrap(err, "distribution: a snapshot cannot be read: run the same version on keepers and proxies")
}

func applyRecord(s *controlstate.State, w *distributionpb.Record) (*controlstate.State, error) {
	body, err := rpc.Expand(w.GetBody(), w.GetDeflated())
	if err != nil {
		return nil, err
	}
	return s.Apply(controlstate.Record{Seq: w.GetSeq(), Op: controlstate.Op(w.GetOp()), Base: w.GetBase(), Body: body, Zone: w.GetZone()})
}
