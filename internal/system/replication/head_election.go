package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	sealTimeout      = time.Second // without a link that may lead
	maxEarlierChains = 64
)

// durableEpochs is what a keeper has on disk about itself.
type durableEpochs struct {
	known                 bool
	active, sealed, epoch uint64
}

// durableEpochsOf gives what id last said. It may have changed since, but only upwards.
func (c *liveness) durableEpochsOf(id ID) durableEpochs {
	if id == c.self.ID {
		return durableEpochs{known: true, active: c.acceptor.durableActive, sealed: c.acceptor.durableSealed, epoch: c.acceptor.durableEpoch}
	}
	if p := c.peers[id]; p != nil {
		return durableEpochs{known: true, active: p.heartbeat.GetActive(), sealed: p.heartbeat.GetSealed(), epoch: p.heartbeat.GetEpoch()}
	}
	return durableEpochs{}
}

// mayLead tells whether id holds everything that the present and earlier chains have acknowledged and ever will.
//
// A link that was active in epoch f holds what was acknowledged up to f. An acknowledgement in a later epoch g takes
// every link of g to be active in it. So when one link of g was not active in it and never will be, since it has gone
// on to a later epoch or is sealed, g has acknowledged nothing. When that holds for all epochs after f, id holds
// everything. A candidate speaks for itself: it leaves the present epoch by entering the next as its head, before
// anything can be acknowledged there.
//
// With suppose, links that could be sealed count as sealed.
func (c *planner) mayLead(id ID, suppose bool) bool {
	if c.cfg.knobs.AllowAnyHead {
		return true
	}
	x := c.liveness.durableEpochsOf(id)
	if !x.known {
		return false
	}
	for g := c.acceptor.view.Epoch; g > x.active; g-- {
		if !c.cannotHaveAcknowledged(g, id, suppose) {
			return false
		}
	}
	return true
}

// cannotHaveAcknowledged tells whether epoch g is known to have acknowledged nothing, provided that candidate leads next.
func (c *planner) cannotHaveAcknowledged(g uint64, candidate ID, suppose bool) bool {
	return slices.ContainsFunc(c.acceptor.view.chainOf(g), func(id ID) bool {
		s := c.liveness.durableEpochsOf(id)
		return s.known && s.active < g &&
			(id == candidate || s.epoch > g || s.sealed == g || c.cfg.knobs.PresumeUnacknowledged || suppose && g == c.acceptor.view.Epoch && c.liveness.isAlive(id))
	})
}

// earlierChains lists the chains that the next view must remember.
func (c *planner) earlierChains() map[uint64][]ID {
	cur := c.acceptor.view
	out := map[uint64][]ID{}
	if c.liveness.durableEpochsOf(cur.Tail()).active == cur.Epoch {
		return out // the tail is active only after all others: what was before does not matter any more
	}
	maps.Copy(out, cur.past)
	out[cur.Epoch] = cur.Chain
	for len(out) > maxEarlierChains {
		delete(out, slices.Min(slices.Collect(maps.Keys(out))))
	}
	return out
}

// findHead looks for a head outside the chain, when none of its links may lead: all that were active are gone. Links
// that are not active are asked to seal the epoch when that helps.
func (c *planner) findHead(voters []Member) []Member {
	if c.headlessSince < 0 {
		c.headlessSince = c.now
	}
	if c.now-c.headlessSince < sealTimeout {
		return nil
	}
	for _, suppose := range []bool{false, true} {
		for _, m := range voters {
			if !c.liveness.isHealthy(m.ID) || !c.mayLead(m.ID, suppose) {
				continue
			}
			if !suppose {
				return []Member{m}
			}
			for _, id := range c.acceptor.view.Chain {
				if c.liveness.isAlive(id) {
					c.send(id, &replicationpb.Message{Body: &replicationpb.Message_Seal{Seal: &replicationpb.Seal{Epoch: c.acceptor.view.Epoch}}})
				}
			}
			c.headlessSince = c.now // once a second
			return nil
		}
	}
	return nil
}

// isSealed tells whether a link has sealed the epoch, so that it needs a successor whatever else is well.
func (c *planner) isSealed() bool {
	return slices.ContainsFunc(c.acceptor.view.Chain, func(id ID) bool { return c.liveness.durableEpochsOf(id).sealed == c.acceptor.view.Epoch })
}
