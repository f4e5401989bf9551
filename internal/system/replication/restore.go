package replication

import (
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// RestoredSnapshot returns the snapshot for the empty disk of a node that is to start with s. The disk gets no acceptor state, so the
// node gets a new identity, and the nodes form a first view, whose head is one with the longest log. The other replicas receive what
// the head has, and nodes that join later receive what the chain has.
func RestoredSnapshot(s *controlstate.State) (wal.Snapshot, error) {
	if s.Seq == 0 {
		return wal.Snapshot{}, errors.New("replication: the state contains no records: start the nodes without it")
	}
	return encodeImage(s.Seq, 0, controlState{s}) // epoch 0: from before the first view
}

// RecoverState returns the state after all records on a node's disk. The last of them may never have been acknowledged.
func RecoverState(snap wal.Snapshot, entries []wal.Entry) (*controlstate.State, error) {
	core, err := NewCore(Config{}, controlMachine{}, nil, snap, entries)
	if err != nil {
		return nil, err
	}
	chain := core.chain
	state := chain.state
	for seq := chain.commitIndex + 1; seq <= chain.log.end(); seq++ {
		if state, err = state.Apply(chain.log.at(seq).rec); err != nil {
			return nil, applyError(err, seq)
		}
	}
	recovered, ok := state.(controlState)
	if !ok {
		return nil, errors.AssertionFailedf("replication: unexpected state type %T: report this as a bug", state)
	}
	return recovered.State, nil
}

// discardRestoredLog empties the log of a node whose first view is v, unless the node leads it, and reports whether v has to wait for
// that. Records that were restored here are not part of the chain's log, which may have begun with something else, or with nothing.
// Records are compared only by number and epoch, and below a snapshot not at all. The log is empty on disk before the view is on
// disk, so that a restart in between cannot combine the view with the restored log.
func (cr *chainReplica) discardRestoredLog(v *View) bool {
	if cr.acceptor.view.Epoch > 0 || v.Head() == cr.self.ID {
		return false
	}
	if cr.log.end() > 0 {
		cr.logEvent("replication: discarding the restored state in favor of the head's")
		cr.log, cr.state, cr.commitIndex = memoryLog{}, cr.machine.Empty(), 0
		cr.writer.install(&wal.Snapshot{})
		cr.writer.snapshotSeq = 0
	}
	return cr.writer.pendingInstall != nil
}
