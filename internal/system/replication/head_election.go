package replication

import (
	"maps"
	"slices"
	"time"
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
func (lv *liveness) durableEpochsOf(id ID) durableEpochs {
	if id == lv.self.ID {
		return durableEpochs{known: true, active: lv.acceptor.durableActive, sealed: lv.acceptor.durableSealed, epoch: lv.acceptor.durableEpoch}
	}
	if p := lv.peers[id]; p != nil {
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
func (pl *planner) mayLead(id ID, suppose bool) bool {
	if pl.cfg.knobs.AllowAnyHead {
		return true
	}
	x := pl.liveness.durableEpochsOf(id)
	if !x.known {
		return false
	}
	for g := pl.acceptor.view.Epoch; g > x.active; g-- {
		if !pl.cannotHaveAcknowledged(g, id, suppose) {
			return false
		}
	}
	return true
}

// cannotHaveAcknowledged tells whether epoch g is known to have acknowledged nothing, provided that candidate leads next.
func (pl *planner) cannotHaveAcknowledged(g uint64, candidate ID, suppose bool) bool {
	return slices.ContainsFunc(pl.acceptor.view.chainOf(g), func(id ID) bool {
		s := pl.liveness.durableEpochsOf(id)
		return s.known && s.active < g &&
			(id == candidate || s.epoch > g || s.sealed == g || pl.cfg.knobs.PresumeUnacknowledged || suppose && g == pl.acceptor.view.Epoch && pl.liveness.isAlive(id))
	})
}

// earlierChains lists the chains that the next view must remember.
func (pl *planner) earlierChains() map[uint64][]ID {
	cur := pl.acceptor.view
	out := map[uint64][]ID{}
	if pl.liveness.durableEpochsOf(cur.Tail()).active == cur.Epoch {
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
func (pl *planner) findHead(voters []Member) []Member {
	if pl.headlessSince < 0 {
		pl.headlessSince = pl.now
	}
	if pl.now-pl.headlessSince < sealTimeout {
		return nil
	}
	for _, suppose := range []bool{false, true} {
		for _, m := range voters {
			if !pl.liveness.isHealthy(m.ID) || !pl.mayLead(m.ID, suppose) {
				continue
			}
			if !suppose {
				return []Member{m}
			}
			for _, id := range pl.acceptor.view.Chain {
				if pl.liveness.isAlive(id) {
					pl.send(id, sealMessage(pl.acceptor.view.Epoch))
				}
			}
			pl.headlessSince = pl.now // once a second
			return nil
		}
	}
	return nil
}

// isSealed tells whether a link has sealed the epoch, so that it needs a successor whatever else is well.
func (pl *planner) isSealed() bool {
	return slices.ContainsFunc(pl.acceptor.view.Chain, func(id ID) bool { return pl.liveness.durableEpochsOf(id).sealed == pl.acceptor.view.Epoch })
}
