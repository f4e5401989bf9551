package replication

import (
	"fmt"
	"time"

	"github.com/apex/log"
)

// Capacity compares the nodes that exist with those that the tolerance needs.
type Capacity struct {
	Nodes                 int    // alive, with a disk
	Observers             int    // alive, without a disk
	Voters                int    // of the present view
	TimedOutVoters        int    // of those, not alive: they count as part of what may be lost
	VotersDesired         int    // so that a majority is left after any loss that must be tolerated
	ChainReplicas         int    // of the present view
	ChainReplicasRequired int    // a shorter chain acknowledges no change
	ChainReplicasDesired  int    // so that after the loss of one, changes need not wait until another has caught up
	ToleranceMet          bool   // a majority of the voters and a chain replica are left after any loss that must be tolerated
	Remedy                string // in one line what is missing and what to do, empty when nothing is
}

// Capacity of the fleet as this core sees it.
func (c *Core) Capacity() Capacity {
	v := c.acceptor.view
	replicas := v.chainMembers()
	have := Capacity{
		Voters: len(v.Voters), VotersDesired: c.cfg.targetVoters(), ChainReplicas: len(v.Chain),
		ChainReplicasRequired: c.cfg.minChainLength(), ChainReplicasDesired: min(c.cfg.targetVoters(), c.cfg.targetChainLength()),
		ToleranceMet: v.Epoch > 0 && c.cfg.votersTolerateLosses(v.Voters) && c.cfg.chainToleratesLosses(replicas),
	}
	have.Nodes, have.Observers = c.countNodes()
	for _, m := range v.Voters {
		if !c.liveness.isAlive(m.ID) {
			have.TimedOutVoters++
		}
	}
	have.Remedy = c.remedy(have)
	return have
}

// countNodes counts those that are alive, with this one.
func (c *Core) countNodes() (withDisk, observers int) {
	if c.cfg.Observer {
		observers++
	} else {
		withDisk++
	}
	for id, p := range c.liveness.peers {
		switch {
		case !c.liveness.isAlive(id):
		case p.heartbeat.GetObserver():
			observers++
		default:
			withDisk++
		}
	}
	return withDisk, observers
}

// remedy is text for operators, in the words of their pages. It is part of the status JSON.
func (c *Core) remedy(have Capacity) string {
	view := c.acceptor.view
	switch {
	case view.Epoch == 0:
		return "no view has been formed: start a majority of the seeds that have a disk, with bootstrap = true at the first start of all"
	case have.ToleranceMet:
		return ""
	case have.Voters < have.VotersDesired && have.Nodes <= have.Voters:
		return fmt.Sprintf("%d keepers with a disk vote and %d are needed: run keepers on %d more machines with a disk, or lower [tolerance]",
			have.Voters, have.VotersDesired, have.VotersDesired-have.Voters)
	case have.Voters < have.VotersDesired:
		return fmt.Sprintf("%d of %d voters: others are being taken in; if this lasts, see whether they reach each other", have.Voters, have.VotersDesired)
	case !c.cfg.votersTolerateLosses(view.Voters):
		return fmt.Sprintf("the worst loss takes %d of %d voters: run keepers with a disk in at least %d zones (and %d regions), or lower [tolerance]",
			c.cfg.worstToleratedLoss(view.Voters), len(view.Voters), 2*c.cfg.ZoneLosses+1, 2*c.cfg.RegionLosses+1)
	}
	return fmt.Sprintf("%d links hold the changes and the worst loss takes all of them: bring the voters back that are no links", len(view.chainMembers()))
}

const (
	capacityInterval   = time.Second     // between two checks
	capacityStableTime = 5 * time.Second // a change is logged after so long: a repair takes less
)

// capacityReporter logs whether the tolerated losses are covered, when that has changed for good. The zero value is ready for use.
type capacityReporter struct {
	checkedAt, changedAt time.Duration
	current, logged      Capacity
}

// isLike reports whether two capacities ask the operator for the same.
func (c *Capacity) isLike(other Capacity) bool {
	return c.ToleranceMet == other.ToleranceMet && c.Remedy == other.Remedy
}

// report checks the capacity when that is due, and logs it when it is to be logged.
func (r *capacityReporter) report(now time.Duration, c *Core, logger log.Interface) {
	if now-r.checkedAt < capacityInterval {
		return
	}
	r.checkedAt = now
	have := c.Capacity()
	if !have.isLike(r.current) {
		r.changedAt = now
	}
	r.current = have
	if now-r.changedAt < capacityStableTime || have.isLike(r.logged) {
		return
	}
	r.logged = have
	entry := logger.WithFields(log.Fields{
		"voters": have.Voters, "silent": have.TimedOutVoters, "links": have.ChainReplicas, "keepers": have.Nodes, "observers": have.Observers,
	})
	if have.ToleranceMet {
		entry.Info("replication: the tolerated losses are covered")
		return
	}
	entry.Warn("replication: the tolerated losses are not covered: " + have.Remedy)
}
