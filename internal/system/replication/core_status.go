package replication

import (
	"fmt"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// Self returns this node; its ID is the one on disk.
func (c *Core) Self() Member { return c.self }

// View returns the newest known view.
func (c *Core) View() *View { return c.acceptor.view }

// Committed returns the newest number known to be committed and the state after it.
func (c *Core) Committed() (uint64, State) { return c.chain.commitIndex, c.chain.state }

// Err returns why the core no longer takes part: a bug, or a disk that does not keep what it has synced. It is nil while the core
// works.
func (c *Core) Err() error { return c.err }

// RecordsAfter returns the committed records after seq, at most limit of them. It returns false if they are no longer or not yet
// known.
func (c *Core) RecordsAfter(seq uint64, limit int) ([]controlstate.Record, bool) {
	if seq < c.chain.log.base || seq > c.chain.commitIndex {
		return nil, false
	}
	var records []controlstate.Record
	for s := seq + 1; s <= c.chain.commitIndex && s <= c.chain.log.end() && len(records) < limit; s++ {
		records = append(records, c.chain.log.at(s).rec)
	}
	return records, true
}

// Departed reports whether the other nodes no longer rely on this node: it is not a chain replica, and enough replicas that are alive
// hold what was acknowledged. Replicas that are not alive do not count, since their disks may be lost.
func (c *Core) Departed() bool {
	v := c.acceptor.view
	if v.chainIndex(c.self.ID) >= 0 {
		return false
	}
	if c.cfg.Observer || v.Epoch == 0 {
		return true
	}
	var alive []Member
	for _, m := range v.chainMembers() {
		if c.liveness.isAlive(m.ID) {
			alive = append(alive, m)
		}
	}
	return c.planner.countHolders(alive) >= c.cfg.minChainLength()
}

// Current reports whether the state that this node holds may be served as up to date: within Config.currentWindow a majority of the
// voters confirmed that they know of no later epoch than its own, and this node is a chain replica or a learner that has caught up.
func (c *Core) Current(now time.Duration) bool {
	c.advance(now)
	if c.acceptor.view.Epoch == 0 || !c.acceptor.viewDurable || c.err != nil {
		return false
	}
	window := c.cfg.currentWindow()
	if !c.chain.isUpToDate(window) {
		return false
	}
	if c.cfg.knobs.SkipCurrentMajority {
		return true
	}
	confirmed := voterSet{}
	for _, m := range c.acceptor.view.Voters {
		if c.confirmsEpoch(m.ID, window) {
			confirmed[m.ID] = m.Addr
		}
	}
	return c.acceptor.isQuorum(c.acceptor.view, confirmed)
}

// confirmsEpoch reports whether a voter has stated, in answer to a heartbeat sent within the window, that it is in the current epoch
// and has accepted no later view.
func (c *Core) confirmsEpoch(voter ID, window time.Duration) bool {
	if voter == c.self.ID {
		return !c.acceptor.hasAcceptedLater()
	}
	p := c.liveness.peers[voter]
	if p == nil || p.echoedAt < 0 || c.now-p.echoedAt > window || p.heartbeat.GetEpoch() != c.acceptor.view.Epoch {
		return false
	}
	return p.heartbeat.GetAccepted() <= c.acceptor.view.Epoch || c.cfg.knobs.ConfirmAfterAccept
}

// WaitsFor describes what a change requested at this node waits for, as part of a sentence. It is empty if this node knows of no
// obstacle.
func (c *Core) WaitsFor() string {
	var reasons []string
	switch view := c.acceptor.view; {
	case view.Epoch == 0:
		reasons = append(reasons, fmt.Sprintf("the first view, which is not formed yet (%d of %d seeds in contact)", c.liveness.countSeedsAlive(), len(c.cfg.Seeds)))
	case !c.liveness.isAlive(view.Head()):
		reasons = append(reasons, fmt.Sprintf("the head of the chain, which is not in contact (view %d)", view.Epoch))
	case c.liveness.durableEpochsOf(view.Tail()).active != view.Epoch:
		reasons = append(reasons, fmt.Sprintf("the replicas of view %d to become active", view.Epoch))
	}
	if c.writer.lastWriteFailed {
		reasons = append(reasons, "this node's disk, which refuses writes")
	} else if took := c.writer.slowWriteTime(); took > 0 {
		reasons = append(reasons, fmt.Sprintf("this node's disk, of which a write takes %v", took.Round(time.Millisecond)))
	}
	return strings.Join(reasons, ", and ")
}

// Partitioned reports whether a change requested at this node cannot be accepted because the chain has been unreachable for
// partitionedTimeout. It is for callers that should switch to another node immediately; Submit and Read do not depend on it.
//
// It is false for a node that exchanges heartbeats with the head, and a change is forwarded only while this node considers the head
// alive (see liveness.headIncarnation). A lost head is replaced by a majority of the voters, so while this node considers a majority
// alive it waits for the repair, however long that takes. A change requested while Partitioned is true can therefore be accepted only
// if the chain becomes reachable again in the meantime.
func (c *Core) Partitioned(now time.Duration) bool {
	c.advance(now)
	c.liveness.recordChainReachability()
	return c.liveness.isPartitioned()
}
