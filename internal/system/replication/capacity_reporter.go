package replication

import (
	"time"

	"github.com/apex/log"
)

const (
	capacityInterval   = time.Second     // between two checks
	capacityStableTime = 5 * time.Second // a change must last this long before it is logged; a repair takes less
)

// capacityReporter logs whether the tolerated losses are covered, whenever that has changed for longer than capacityStableTime. The
// zero value is ready for use.
type capacityReporter struct {
	checkedAt, changedAt time.Duration
	current, logged      Capacity
}

// report checks the capacity every capacityInterval, and logs it if it has changed and is stable.
func (r *capacityReporter) report(now time.Duration, c *Core, logger log.Interface) {
	if now-r.checkedAt < capacityInterval {
		return
	}
	r.checkedAt = now
	have := c.Capacity()
	if !have.needsSameAction(r.current) {
		r.changedAt = now
	}
	r.current = have
	if now-r.changedAt < capacityStableTime || have.needsSameAction(r.logged) {
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
