package replication

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// Self is this keeper; its ID is the one on disk.
func (c *Core) Self() Member { return c.self }

// View is the newest view known.
func (c *Core) View() *View { return c.acceptor.view }

// Committed is the newest number known to be committed and the state after it.
func (c *Core) Committed() (uint64, State) { return c.chain.commitIndex, c.chain.state }

// Err tells why the core has stopped taking part: a bug or a disk that lies. It is nil as long as all is well.
func (c *Core) Err() error { return c.err }

// RecordsAfter lists the committed records after seq, at most of them; false where they are no longer or not yet known.
func (c *Core) RecordsAfter(seq uint64, most int) ([]controlstate.Record, bool) {
	if seq < c.chain.log.base || seq > c.chain.commitIndex {
		return nil, false
	}
	var out []controlstate.Record
	for s := seq + 1; s <= c.chain.commitIndex && s <= c.chain.log.end() && len(out) < most; s++ {
		out = append(out, c.chain.log.at(s).rec)
	}
	return out, true
}

// Departed tells whether nobody counts on this keeper any more: it is no link, and enough links that are alive hold what was
// acknowledged. The disk of a silent one may be gone.
func (c *Core) Departed() bool {
	v := c.acceptor.view
	if v.chainIndex(c.self.ID) >= 0 {
		return false
	}
	var links []Member
	for _, id := range v.Chain {
		if m, ok := v.Voter(id); ok && c.liveness.isAlive(id) {
			links = append(links, m)
		}
	}
	return c.cfg.Observer || v.Epoch == 0 || c.planner.countHolders(links) >= c.cfg.minChainLength()
}

// Current tells whether what this keeper holds can be passed on as new: within the last moments a majority of voters
// said that no later epoch than its own is about, and it is a link, or fed by one.
func (c *Core) Current(now time.Duration) bool {
	c.advance(now)
	v := c.acceptor.view
	if v.Epoch == 0 || !c.acceptor.viewDurable || c.err != nil {
		return false
	}
	window := c.currentWindow()
	if v.chainIndex(c.self.ID) >= 0 {
		if c.acceptor.durableActive != v.Epoch || !c.chain.holdsAcknowledged() {
			return false
		}
	} else if !c.chain.caughtUp || c.now-c.chain.caughtUpAt > window || c.chain.commitIndex < c.chain.upstreamCommitIndex {
		return false
	}
	if c.cfg.knobs.SkipCurrentMajority {
		return true
	}
	said := map[ID]string{}
	for _, m := range v.Voters {
		if m.ID == c.self.ID {
			if !c.acceptor.hasAcceptedLater() {
				said[m.ID] = m.Addr
			}
			continue
		}
		p := c.liveness.peers[m.ID]
		if p == nil || p.echoedAt < 0 || c.now-p.echoedAt > window || p.heartbeat.GetEpoch() != v.Epoch {
			continue
		}
		if p.heartbeat.GetAccepted() <= v.Epoch || c.cfg.knobs.ConfirmAfterAccept {
			said[m.ID] = m.Addr
		}
	}
	return c.acceptor.isQuorum(v, said)
}

// Partitioned tells whether a change asked for here cannot be taken, as there has been no way to the chain for long. It is for
// callers that should rather ask another keeper at once; Submit and Read do not rest on it.
//
// It is false for a keeper that exchanges heartbeats with the head, and a change is sent on only while the head is alive here
// (see headLife). A lost head is replaced by a majority of the voters, so while a majority is alive here the repair is waited
// for, however long it takes. What is asked for while Partitioned is true can thus be taken only if the way comes back meanwhile.
func (c *Core) Partitioned(now time.Duration) bool {
	c.advance(now)
	c.liveness.observeReach()
	return c.now-c.liveness.chainReachedAt >= c.cfg.SuspectTimeout*partitionedNumerator/partitionedDenominator
}

// currentWindow is how old a majority's word may be for this keeper to be current: what it then holds lacks nothing that
// was acknowledged longer ago. It is below a second with the default times, for observers too.
func (c *Core) currentWindow() time.Duration {
	if c.cfg.Observer {
		return c.cfg.SuspectTimeout * observerCurrentNumerator / observerCurrentDenominator
	}
	return c.cfg.SuspectTimeout * currentNumerator / currentDenominator
}
