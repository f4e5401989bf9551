package replication

import (
	"slices"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// RestoredSnapshot gives the snapshot for the empty disk of a keeper that is to begin with s. The disk gets no register, so
// the keeper gets a new identity, and the keepers form a first view, whose head is one that holds the most. The other
// links take what the head has; whoever comes later takes what the chain has.
func RestoredSnapshot(s *controlstate.State) (wal.Snapshot, error) {
	if s.Seq == 0 {
		return wal.Snapshot{}, errors.New("replication: the state holds no record: start the keepers without it")
	}
	return encodeImage(s.Seq, 0, controlState{s}) // epoch 0: from before the first view
}

// RecoverState gives the state after all records that a keeper's disk holds. The last of them may never have been
// acknowledged.
func RecoverState(snap wal.Snapshot, entries []wal.Entry) (*controlstate.State, error) {
	c, err := NewCore(Config{}, controlMachine{}, nil, snap, entries)
	if err != nil {
		return nil, err
	}
	s := c.chain.state
	for seq := c.chain.commitIndex + 1; seq <= c.chain.log.end(); seq++ {
		if s, err = s.Apply(c.chain.log.at(seq).rec); err != nil {
			return nil, errors.Wrapf(err, "replication: record %d cannot be applied", seq)
		}
	}
	held, ok := s.(controlState)
	if !ok {
		return nil, errors.AssertionFailedf("replication: a state of type %T: report it", s)
	}
	return held.State, nil
}

// longestLogs lists those of the members with the longest log: before the first view, what was restored.
func (pl *planner) longestLogs(members []Member) []Member {
	held := func(m Member) uint64 {
		if m.ID == pl.self.ID {
			return pl.chain.commitIndex
		}
		if p := pl.liveness.peers[m.ID]; p != nil {
			return p.heartbeat.GetCommitted()
		}
		return 0
	}
	var most uint64
	for _, m := range members {
		most = max(most, held(m))
	}
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return held(m) < most })
}

// discardRestoredLog empties the log of a keeper whose first view is v, unless it leads there, and tells whether v has to wait for
// that. What was restored here is no part of the chain's log, which may have begun with something else, or with nothing;
// records are compared by number and epoch only, and below a snapshot not at all. The log is empty on disk before the view
// is there, so that no restart comes between.
func (cr *chainReplica) discardRestoredLog(v *View) bool {
	if cr.acceptor.view.Epoch > 0 || v.Head() == cr.self.ID {
		return false
	}
	if cr.log.end() > 0 {
		cr.logEvent("replication: the restored state here gives way to that of the head")
		cr.log, cr.state, cr.commitIndex = memoryLog{}, cr.machine.Empty(), 0
		cr.writer.pendingInstall, cr.writer.durableEnd, cr.writer.truncateNeeded, cr.writer.snapshotSeq = &wal.Snapshot{}, 0, false, 0
	}
	return cr.writer.pendingInstall != nil
}
