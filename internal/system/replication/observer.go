package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// An observer is a node on a machine without a disk. It follows the chain as a learner, knows the view, and forwards changes to the
// head and reads to the tail. It is not a voter, a chain replica or part of a quorum: what it would promise or hold is lost when its
// process ends. The one exception is the first view if no seed has a disk, see acceptor.isQuorum.
//
// Members send heartbeats to an observer only in reply to its own, which are rarer than theirs, and observers that know of each other
// exchange none, so that many observers cost the members little.

// observerSlowdown is the ratio of an observer's heartbeat interval to a member's.
const observerSlowdown = 5

// heartbeatInterval returns the time between two heartbeats of this node.
func (lv *liveness) heartbeatInterval() time.Duration {
	if lv.cfg.Observer {
		return observerSlowdown * lv.cfg.HeartbeatInterval
	}
	return lv.cfg.HeartbeatInterval
}

// suspectTimeout returns the time without contact after which p is suspected. If either side is an observer, one heartbeat may be
// lost.
func (lv *liveness) suspectTimeout(p *peer) time.Duration {
	if lv.cfg.Observer || p.heartbeat.GetObserver() {
		return lv.cfg.SuspectTimeout + observerSlowdown*lv.cfg.HeartbeatInterval
	}
	return lv.cfg.SuspectTimeout
}

// observerSeeds counts the seeds that have reported that they are observers.
func (lv *liveness) observerSeeds() int {
	isObserver := map[string]bool{}
	if lv.cfg.Observer {
		isObserver[lv.self.Addr] = true
	}
	for _, p := range lv.peers {
		if p.heartbeat.GetObserver() {
			isObserver[p.member.Addr] = true
		}
	}
	observers := 0
	for _, addr := range lv.distinctSeeds() {
		if isObserver[addr] {
			observers++
		}
	}
	return observers
}

// noSeedHasDisk reports whether all seeds have reported that they are observers.
func (lv *liveness) noSeedHasDisk() bool {
	return len(lv.cfg.Seeds) > 0 && lv.observerSeeds() == len(lv.distinctSeeds())
}

func (lv *liveness) distinctSeeds() []string {
	return slices.Compact(slices.Sorted(slices.Values(lv.cfg.Seeds)))
}

// replyToObserver replies to a heartbeat of an observer, to which this node sends no heartbeats on its own.
func (lv *liveness) replyToObserver(from ID, m *replicationpb.Heartbeat) {
	if !m.GetObserver() || m.GetReply() {
		return
	}
	reply := lv.newHeartbeat(lv.echo(from))
	reply.Reply = true
	lv.send(from, heartbeatMessage(reply))
}

// notifyObservers sends a chosen view to the observers, so that they need not wait for their next heartbeat.
func (lv *liveness) notifyObservers(v *View) {
	for _, id := range slices.Sorted(maps.Keys(lv.peers)) {
		if lv.peers[id].heartbeat.GetObserver() {
			lv.send(id, chosenMessage(v))
		}
	}
}

// nullDisk takes the place of the disk of an observer: nothing that is written to it is ever read.
type nullDisk struct{}

func (nullDisk) Load() (wal.Contents, error)   { return wal.Contents{}, nil }
func (nullDisk) Append([]wal.Entry) error      { return nil }
func (nullDisk) Truncate(uint64) error         { return nil }
func (nullDisk) Compact(wal.Snapshot) error    { return nil }
func (nullDisk) Install(wal.Snapshot) error    { return nil }
func (nullDisk) SaveMeta(string, []byte) error { return nil }
