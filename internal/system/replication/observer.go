package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// An observer is a keeper on a machine without a disk. It follows the chain as a learner, knows the view, and passes
// changes to the head and reads to the tail. It is no voter, no link and no part of a quorum: what it would promise or
// hold is gone when its process ends. The one exception is the first view where no seed has a disk, see quorum.
//
// Members send it heartbeats only in reply to its own, which are slower than theirs, and observers that know each other
// exchange none, so that many observers cost the members little.

const (
	// observerSlowdown is how many times rarer an observer's heartbeats are than a member's.
	observerSlowdown = 5

	// How long a majority's word that the epoch is not passed counts, as parts of Config.Suspect.
	currentNumerator, currentDenominator                 = 6, 7
	observerCurrentNumerator, observerCurrentDenominator = 9, 7
)

// heartbeatInterval is the time between two heartbeats of this keeper.
func (lv *liveness) heartbeatInterval() time.Duration {
	if lv.cfg.Observer {
		return observerSlowdown * lv.cfg.HeartbeatInterval
	}
	return lv.cfg.HeartbeatInterval
}

// suspectTimeout is the silence after which p counts as gone. Where either side is an observer, one heartbeat may be lost.
func (lv *liveness) suspectTimeout(p *peer) time.Duration {
	if lv.cfg.Observer || p.heartbeat.GetObserver() {
		return lv.cfg.SuspectTimeout + observerSlowdown*lv.cfg.HeartbeatInterval
	}
	return lv.cfg.SuspectTimeout
}

// observerSeeds counts the seeds that have said that they are observers.
func (lv *liveness) observerSeeds() int {
	said := map[string]bool{}
	if lv.cfg.Observer {
		said[lv.self.Addr] = true
	}
	for _, p := range lv.peers {
		if p.heartbeat.GetObserver() {
			said[p.member.Addr] = true
		}
	}
	n := 0
	for _, a := range slices.Compact(slices.Sorted(slices.Values(lv.cfg.Seeds))) {
		if said[a] {
			n++
		}
	}
	return n
}

// noSeedHasDisk tells whether all seeds have said that they are observers.
func (lv *liveness) noSeedHasDisk() bool {
	return len(lv.cfg.Seeds) > 0 && lv.observerSeeds() == len(slices.Compact(slices.Sorted(slices.Values(lv.cfg.Seeds))))
}

// replyToObserver answers a heartbeat of an observer, which this keeper sends none by itself.
func (lv *liveness) replyToObserver(from ID, b *replicationpb.Heartbeat) {
	if !b.GetObserver() || b.GetReply() {
		return
	}
	reply := lv.heartbeat(lv.echo(from))
	reply.Reply = true
	lv.send(from, heartbeatMessage(reply))
}

// notifyObservers sends them a chosen view, so that they need not wait for their next heartbeat.
func (lv *liveness) notifyObservers(v *View) {
	for _, id := range slices.Sorted(maps.Keys(lv.peers)) {
		if lv.peers[id].heartbeat.GetObserver() {
			lv.send(id, chosenMessage(v))
		}
	}
}

// nullDisk stands in for the disk of an observer: nothing that it writes is ever read again.
type nullDisk struct{}

func (nullDisk) Load() (map[string][]byte, wal.Snapshot, []wal.Entry, error) {
	return nil, wal.Snapshot{}, nil, nil
}
func (nullDisk) Append([]wal.Entry) error      { return nil }
func (nullDisk) Truncate(uint64) error         { return nil }
func (nullDisk) Compact(wal.Snapshot) error    { return nil }
func (nullDisk) Install(wal.Snapshot) error    { return nil }
func (nullDisk) SaveMeta(string, []byte) error { return nil }
