package replication

import (
	"fmt"
	"time"

	"github.com/apex/log"
)

// Capacity compares the keepers that exist with those that the tolerance needs.
type Capacity struct {
	Nodes                 int // with a disk, heard from lately
	Observers             int // without a disk, heard from lately
	Voters                int // of the present view
	TimedOutVoters        int // of those, not heard from lately: they count as part of what may be lost
	VotersDesired         int // so that a majority is left after any loss that is tolerated
	ChainReplicas         int // of the present view
	ChainReplicasRequired int // fewer acknowledge no change
	ChainReplicasDesired  int // so that the loss of one need not wait for another to catch up
	// Bears tells whether a majority of the present voters and one of the present links are left, whatever is lost of
	// what may be lost at once.
	ToleranceMet bool
	// Remedy says in one line what is missing and what to do, empty when nothing is.
	Remedy string
}

// Capacity of the keepers as this core sees them.
func (c *Core) Capacity() Capacity {
	v := c.acceptor.view
	out := Capacity{
		Voters: len(v.Voters), VotersDesired: c.cfg.targetVoters(),
		ChainReplicas: len(v.Chain), ChainReplicasRequired: c.cfg.minChainLength(), ChainReplicasDesired: min(c.cfg.targetVoters(), c.cfg.targetChainLength()),
	}
	if c.cfg.Observer {
		out.Observers++
	} else {
		out.Nodes++
	}
	for id, p := range c.liveness.peers {
		switch {
		case !c.liveness.isAlive(id):
		case p.heartbeat.GetObserver():
			out.Observers++
		default:
			out.Nodes++
		}
	}
	for _, m := range v.Voters {
		if !c.liveness.isAlive(m.ID) {
			out.TimedOutVoters++
		}
	}
	var links []Member
	for _, id := range v.Chain {
		if m, ok := v.Voter(id); ok {
			links = append(links, m)
		}
	}
	out.ToleranceMet = v.Epoch > 0 && c.cfg.votersTolerateLosses(v.Voters) && c.cfg.chainToleratesLosses(links)
	out.Remedy = c.remedy(out, links)
	return out
}

func (c *Core) remedy(have Capacity, links []Member) string {
	v := c.acceptor.view
	switch {
	case v.Epoch == 0:
		return "no view has been formed: start a majority of the seeds that have a disk, with bootstrap = true at the first start of all"
	case have.ToleranceMet:
		return ""
	case have.Voters < have.VotersDesired && have.Nodes <= have.Voters:
		return fmt.Sprintf("%d keepers with a disk vote and %d are needed: run keepers on %d more machines with a disk, or lower [tolerance]",
			have.Voters, have.VotersDesired, have.VotersDesired-have.Voters)
	case have.Voters < have.VotersDesired:
		return fmt.Sprintf("%d of %d voters: others are being taken in; if this lasts, see whether they reach each other", have.Voters, have.VotersDesired)
	case !c.cfg.votersTolerateLosses(v.Voters):
		return fmt.Sprintf("the worst loss takes %d of %d voters: run keepers with a disk in at least %d zones (and %d regions), or lower [tolerance]",
			max(c.cfg.MachineLosses, worstLoss(v.Voters, zoneOf, c.cfg.ZoneLosses), worstLoss(v.Voters, regionOf, c.cfg.RegionLosses)),
			len(v.Voters), 2*c.cfg.ZoneLosses+1, 2*c.cfg.RegionLosses+1)
	}
	return fmt.Sprintf("%d links hold the changes and the worst loss takes all of them: bring the voters back that are no links", len(links))
}

const (
	capacityInterval   = time.Second     // between two looks at it
	capacityStableTime = 5 * time.Second // a repair takes less, and is no news
)

// capacityReporter logs what the keepers bear when that has changed for good. The zero value is ready for use.
type capacityReporter struct {
	checkedAt, changedAt time.Duration
	current, logged      Capacity
}

func (l *capacityReporter) report(now time.Duration, c *Core, to log.Interface) {
	if now-l.checkedAt < capacityInterval {
		return
	}
	l.checkedAt = now
	have := c.Capacity()
	if have.ToleranceMet != l.current.ToleranceMet || have.Remedy != l.current.Remedy {
		l.changedAt = now
	}
	l.current = have
	if now-l.changedAt < capacityStableTime || have.ToleranceMet == l.logged.ToleranceMet && have.Remedy == l.logged.Remedy {
		return
	}
	l.logged = have
	entry := to.WithFields(log.Fields{
		"voters": have.Voters, "silent": have.TimedOutVoters, "links": have.ChainReplicas, "keepers": have.Nodes, "observers": have.Observers,
	})
	if have.ToleranceMet {
		entry.Info("replication: the keepers bear the losses that are tolerated")
		return
	}
	entry.Warn("replication: the keepers do not bear the losses that are tolerated: " + have.Remedy)
}

// Capacity compares the keepers that exist with those that the tolerance needs, as this keeper sees them now.
func (k *Node) Capacity() Capacity {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Capacity()
}
