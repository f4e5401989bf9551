package replication

import (
	"maps"
	"slices"
)

const maxEarlierChains = 64 // number of chains that a view remembers

// durableEpochs is what a node has on disk about the epochs in which it was a chain replica.
type durableEpochs struct {
	known  bool   // a heartbeat of the node has reported it
	active uint64 // newest epoch in which it was active
	sealed uint64 // epoch in which it will never be active
	epoch  uint64 // of its view
}

// isInactiveIn reports whether, according to its newest heartbeat, the node was not active in the epoch.
func (e durableEpochs) isInactiveIn(epoch uint64) bool { return e.known && e.active < epoch }

// cannotActivateIn reports whether a node that was not active in the epoch never will be: it is in a later epoch, or has sealed this
// one.
func (e durableEpochs) cannotActivateIn(epoch uint64) bool {
	return e.epoch > epoch || e.sealed == epoch
}

// durableEpochsOf returns what the newest heartbeat of a node reports. The numbers may have changed since, but they only increase.
func (lv *liveness) durableEpochsOf(id ID) durableEpochs {
	if id == lv.self.ID {
		return durableEpochs{known: true, active: lv.acceptor.durableActiveEpoch, sealed: lv.acceptor.durableSealedEpoch, epoch: lv.acceptor.durableViewEpoch}
	}
	if p := lv.peers[id]; p != nil {
		return durableEpochs{known: true, active: p.heartbeat.GetActive(), sealed: p.heartbeat.GetSealed(), epoch: p.heartbeat.GetEpoch()}
	}
	return durableEpochs{}
}

// sealAssumption selects what mayLead assumes of replicas that have not sealed the current epoch.
type sealAssumption bool

const (
	reportedSealsOnly sealAssumption = false // count only the seals that heartbeats report
	assumeAliveSealed sealAssumption = true  // count replicas that are alive as sealed, since they can be asked to seal
)

// mayLead reports whether the candidate holds everything that the current and earlier chains have acknowledged and ever will
// (invariant 3 of the package).
//
// Proof. A replica that was active in epoch f holds what was acknowledged up to f: it had everything that its predecessor had when f
// began, by induction everything that the head had, and the head of f held everything that was acknowledged before. An
// acknowledgement in a later epoch g requires each replica of g to be active in g, since only active replicas replicate further. So
// if one replica of g was not active in g and never will be, g has acknowledged nothing and never will (cannotHaveAcknowledged). If
// that is true of all epochs after f up to the current one, the candidate holds everything. The candidate itself needs no seal: it
// leaves the current epoch by entering the next one as its head, before anything can be acknowledged there.
func (pl *planner) mayLead(candidate ID, seals sealAssumption) bool {
	if pl.cfg.knobs.AllowAnyHead {
		return true
	}
	held := pl.liveness.durableEpochsOf(candidate)
	if !held.known {
		return false
	}
	for epoch := pl.acceptor.view.Epoch; epoch > held.active; epoch-- {
		if !pl.cannotHaveAcknowledged(epoch, candidate, seals) {
			return false
		}
	}
	return true
}

// cannotHaveAcknowledged reports whether it is known that the epoch has acknowledged nothing and never will, provided that the
// candidate leads next. One replica of its chain that was not active and cannot become active is sufficient. An epoch whose chain is
// no longer remembered may have acknowledged something.
func (pl *planner) cannotHaveAcknowledged(epoch uint64, candidate ID, seals sealAssumption) bool {
	return slices.ContainsFunc(pl.acceptor.view.chainOf(epoch), func(id ID) bool {
		reported := pl.liveness.durableEpochsOf(id)
		if !reported.isInactiveIn(epoch) {
			return false // it may be active
		}
		return id == candidate || reported.cannotActivateIn(epoch) || pl.cfg.knobs.PresumeUnacknowledged ||
			seals == assumeAliveSealed && pl.canBeAskedToSeal(id, epoch)
	})
}

// canBeAskedToSeal reports whether a replica that was not active in the epoch can still promise never to be.
func (pl *planner) canBeAskedToSeal(id ID, epoch uint64) bool {
	return epoch == pl.acceptor.view.Epoch && pl.liveness.isAlive(id)
}

// earlierChains returns the chains that the next view must remember for mayLead.
func (pl *planner) earlierChains() map[uint64][]ID {
	current := pl.acceptor.view
	chains := map[uint64][]ID{}
	if pl.liveness.durableEpochsOf(current.Tail()).active == current.Epoch {
		return chains // the tail becomes active only after all others, so earlier chains no longer matter
	}
	maps.Copy(chains, current.earlierChains)
	chains[current.Epoch] = current.Chain
	for len(chains) > maxEarlierChains {
		delete(chains, slices.Min(slices.Collect(maps.Keys(chains))))
	}
	return chains
}
